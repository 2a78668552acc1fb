package fleetcontroller

import (
	"context"
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/replica"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
)

const (
	// joinInterval is how often a controller that isn't a voter requests admission.
	joinInterval = 500 * time.Millisecond
	// joinTimeout limits one request.
	joinTimeout = 4 * time.Second
	// maxLeaderSilence is how long a member receives nothing from a leader before it asks
	// whether it is still a member.
	maxLeaderSilence = 3 * time.Second
	admitTimeout     = 3 * time.Second
)

// joinLoop requests admission to the group from the other controllers while needsAdmission
// reports true.
func (c *Controller) joinLoop(ctx context.Context) {
	defer c.ended.Done()
	ticks := time.NewTicker(joinInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		if !c.needsAdmission() {
			continue
		}
		if c.requestAdmission(ctx) {
			c.config.Log.Warn("this member was removed from the group; restarting with an empty data folder")
			c.handleRemoval()
			return
		}
	}
}

// needsAdmission reports whether this controller isn't a voter, or has received nothing from a
// leader for maxLeaderSilence and may have been removed without its knowledge.
func (c *Controller) needsAdmission() bool {
	status := c.replica.Status()
	if !status.Membership.HasIncarnation(status.ID, status.Incarnation) {
		return true
	}
	if !status.Membership.IsVoter(status.ID) {
		return true
	}
	return status.Role != consensus.Leader && c.replica.Now() > status.LeaderHeardAt+maxLeaderSilence
}

// requestAdmission sends a Join to the known controllers, one after the other, until the leader
// has responded. It reports whether the leader has responded that this member was removed.
func (c *Controller) requestAdmission(ctx context.Context) bool {
	contacted := map[string]bool{c.config.SessionListen: true}
	pending := append(c.controllers(c.replica.Status().Membership), c.config.Seeds...)
	for len(pending) > 0 && ctx.Err() == nil {
		address := pending[0]
		pending = pending[1:]
		if contacted[address] {
			continue
		}
		contacted[address] = true
		response := c.sendJoin(ctx, address)
		if response.Admission != nil {
			return response.Admission.Refused
		}
		if response.Redirect != nil {
			pending = append([]string{response.Redirect.Leader}, pending...)
			pending = append(pending, response.Redirect.Controllers...)
		}
	}
	return false
}

// sendJoin sends a Join to one controller. The result is empty if there was no response.
func (c *Controller) sendJoin(ctx context.Context, address string) fleetwire.FromController {
	if address == "" {
		return fleetwire.FromController{}
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	dialContext, cancelDial := context.WithTimeout(ctx, time.Second)
	defer cancelDial()
	conn, err := transport.Dial(dialContext, address, sessionOptions)
	if err != nil {
		return fleetwire.FromController{}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	status := c.replica.Status()
	join := &fleetwire.Join{Incarnation: c.replica.Incarnation(), Replica: status.ID, PeerAddress: c.config.PeerListen}
	if conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: c.config.Name, Join: join}}) != nil {
		return fleetwire.FromController{}
	}
	var response fleetwire.FromController
	if conn.Receive(&response) != nil {
		return fleetwire.FromController{}
	}
	return response
}

// handleRemoval empties the data folder of a member that was removed from the group. No data is
// lost, because the group that committed the removal has it. If a write to the folder is
// still in progress, the folder is left as it is. The next start then finds out about the
// removal again.
func (c *Controller) handleRemoval() {
	if err := c.replica.Stop(); errors.Is(err, replica.ErrStillWriting) {
		c.config.Log.Error("data folder not emptied", "error", err)
		c.config.OnRemoved()
		return
	}
	if err := removeContents(c.config.DataDir); err != nil {
		c.config.Log.Error("data folder not emptied", "error", err)
	}
	c.config.OnRemoved()
}

// admit makes a controller a learner and, once there is a seat for it, a voter; it runs at the
// leader. The controller sends its Join again until it is a voter.
func (c *Controller) admit(ctx context.Context, join *fleetwire.Join) *fleetwire.Admission {
	if !c.lockMembership(ctx) {
		return &fleetwire.Admission{}
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	learner, refused := c.addLearner(ctx, join)
	c.unlockMembership()
	if learner != nil {
		c.giveSeat(ctx, *learner)
	}
	return &fleetwire.Admission{Refused: refused}
}

// addLearner makes a controller a learner and returns it. It returns nil if there is no seat to be
// given: the controller is a voter, was removed from the group (refused), or could not be added. The
// caller has locked the membership.
func (c *Controller) addLearner(ctx context.Context, join *fleetwire.Join) (learner *consensus.Member, refused bool) {
	if c.replica.ReadBarrier(ctx) != nil {
		return nil, false
	}
	membership := c.replica.Status().Membership
	if join.Replica != 0 && !membership.HasIncarnation(join.Replica, join.Incarnation) {
		return nil, true
	}
	member, ok := findIncarnation(membership, join.Incarnation)
	if ok && !member.Learner {
		return nil, false
	}
	if !ok {
		change := consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{Incarnation: join.Incarnation, Address: join.PeerAddress}}
		added, err := c.replica.ChangeMembership(ctx, change)
		if err != nil {
			c.config.Log.Warn("member not added", "address", join.PeerAddress, "error", err)
			return nil, false
		}
		member = added.Member
	}
	if !c.replaceLostDisk(ctx, membership, member) {
		return nil, false
	}
	return &member, false
}

// lockMembership begins a change of the membership. It returns false if the context ends first.
func (c *Controller) lockMembership(ctx context.Context) bool {
	select {
	case c.membershipLock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// unlockMembership allows the next change of the membership.
func (c *Controller) unlockMembership() { <-c.membershipLock }

// replaceLostDisk removes other members that have the address of a learner. They are the same
// controller, which has lost its disk and with it its identity, and the learner gets their seat. It
// reports whether none is left.
func (c *Controller) replaceLostDisk(ctx context.Context, membership consensus.Membership, learner consensus.Member) bool {
	seated := learner.Seat
	for _, member := range membership.Members {
		if member.Address != learner.Address || member.ID == learner.ID {
			continue
		}
		change := consensus.Change{Kind: consensus.Remove, Member: member}
		if !seated {
			change.Successor = learner.ID
		}
		_, err := c.replica.ChangeMembership(ctx, change)
		c.config.Log.Info("removal of a member with a lost disk ended", "id", uint64(member.ID), "address", member.Address, "successor", uint64(change.Successor), "error", err)
		if err != nil {
			return false
		}
		seated = seated || member.HoldsSeat()
	}
	return true
}

func findIncarnation(membership consensus.Membership, incarnation topology.Incarnation) (consensus.Member, bool) {
	for _, member := range membership.Members {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return consensus.Member{}, false
}
