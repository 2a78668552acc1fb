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
	// joinInterval is how often a controller without a part in the group asks.
	joinInterval = 500 * time.Millisecond
	// joinTimeout bounds one question.
	joinTimeout = 4 * time.Second
	// leaderlessFor is how long a member hears no leader before it asks whether
	// it is still one.
	leaderlessFor = 3 * time.Second
	admitTimeout  = 3 * time.Second
)

// seekAdmission asks the other controllers for a part in the group while this
// one has none.
func (c *Controller) seekAdmission(ctx context.Context) {
	defer c.ended.Done()
	ticks := time.NewTicker(joinInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks.C:
		}
		if !c.outside() {
			continue
		}
		if c.askAll(ctx) {
			c.config.Log.Warn("the group has removed this member; starting anew with an empty folder")
			c.expelled()
			return
		}
	}
}

// outside says that this controller has no vote, or has long heard no leader.
func (c *Controller) outside() bool {
	status := c.member.Status()
	if !status.Membership.Names(status.ID, status.Incarnation) {
		return true
	}
	if !status.Membership.IsVoter(status.ID) {
		return true
	}
	return status.Role != consensus.Leader && c.member.Now() > status.LeaderHeardAt+leaderlessFor
}

// askAll asks the known controllers until the leader has answered. It reports
// that the leader knows this member as removed.
func (c *Controller) askAll(ctx context.Context) bool {
	asked := map[string]bool{c.config.SessionListen: true}
	waiting := append(c.controllers(c.member.Status().Membership), c.config.Seeds...)
	for len(waiting) > 0 && ctx.Err() == nil {
		address := waiting[0]
		waiting = waiting[1:]
		if asked[address] {
			continue
		}
		asked[address] = true
		answer := c.ask(ctx, address)
		if answer.Admission != nil {
			return answer.Admission.Refused
		}
		if answer.Redirect != nil {
			waiting = append([]string{answer.Redirect.Leader}, waiting...)
			waiting = append(waiting, answer.Redirect.Controllers...)
		}
	}
	return false
}

// ask sends one question; an empty answer is none.
func (c *Controller) ask(ctx context.Context, address string) fleetwire.FromController {
	if address == "" {
		return fleetwire.FromController{}
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	dialing, dialed := context.WithTimeout(ctx, time.Second)
	defer dialed()
	conn, err := transport.Dial(dialing, address, sessionOptions)
	if err != nil {
		return fleetwire.FromController{}
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	status := c.member.Status()
	join := &fleetwire.Join{Incarnation: c.member.Incarnation(), Replica: status.ID, PeerAddress: c.config.PeerListen}
	if conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: c.config.Name, Join: join}}) != nil {
		return fleetwire.FromController{}
	}
	var answer fleetwire.FromController
	if conn.Receive(&answer) != nil {
		return fleetwire.FromController{}
	}
	return answer
}

// expelled empties the folder of a member that the group has removed. What it
// held is held by the group, which committed the removal. A folder that the disk
// still writes to is left for the next start, which is refused again.
func (c *Controller) expelled() {
	if err := c.member.Stop(); errors.Is(err, replica.ErrStillWriting) {
		c.config.Log.Error("data folder not emptied", "error", err)
		c.config.OnExpelled()
		return
	}
	if err := empty(c.config.DataDir); err != nil {
		c.config.Log.Error("data folder not emptied", "error", err)
	}
	c.config.OnExpelled()
}

// admit makes a controller a voter, at the leader. It is called again until it
// is one.
func (c *Controller) admit(ctx context.Context, join *fleetwire.Join) *fleetwire.Admission {
	select {
	case c.admitting <- struct{}{}:
	case <-ctx.Done():
		return &fleetwire.Admission{}
	}
	defer c.admitted()
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	if c.member.ReadBarrier(ctx) != nil {
		return &fleetwire.Admission{}
	}
	membership := c.member.Status().Membership
	if join.Replica != 0 && !membership.Names(join.Replica, join.Incarnation) {
		return &fleetwire.Admission{Refused: true}
	}
	present, ok := find(membership, join.Incarnation)
	if ok && !present.Learner {
		return &fleetwire.Admission{}
	}
	if !ok {
		c.replaceLostDisk(ctx, membership, join)
		change := consensus.Change{Kind: consensus.AddLearner, Member: consensus.Member{Incarnation: join.Incarnation, Address: join.PeerAddress}}
		added, err := c.member.ChangeMembership(ctx, change)
		if err != nil {
			c.config.Log.Warn("member not added", "address", join.PeerAddress, "error", err)
			return &fleetwire.Admission{}
		}
		present = added.Member
	}
	_, err := c.member.ChangeMembership(ctx, consensus.Change{Kind: consensus.Promote, Member: present})
	c.config.Log.Info("member admitted", "id", uint64(present.ID), "address", join.PeerAddress, "error", err)
	return &fleetwire.Admission{}
}

// admitted lets the next change of membership begin.
func (c *Controller) admitted() { <-c.admitting }

// replaceLostDisk removes the member that had the joining one's address: its
// disk is gone.
func (c *Controller) replaceLostDisk(ctx context.Context, membership consensus.Membership, join *fleetwire.Join) {
	for _, member := range membership.Members {
		if member.Address != join.PeerAddress {
			continue
		}
		_, err := c.member.ChangeMembership(ctx, consensus.Change{Kind: consensus.Remove, Member: member})
		c.config.Log.Info("member with a lost disk removed", "id", uint64(member.ID), "address", member.Address, "error", err)
	}
}

func find(membership consensus.Membership, incarnation topology.Incarnation) (consensus.Member, bool) {
	for _, member := range membership.Members {
		if member.Incarnation == incarnation {
			return member, true
		}
	}
	return consensus.Member{}, false
}
