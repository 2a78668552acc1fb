package fleetcontroller

import (
	"context"
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/seats"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	// memberCheckInterval is how often the leader checks for dead members.
	memberCheckInterval = time.Second
	// seatCheckInterval is how often the leader checks whether there is a seat for a learner.
	seatCheckInterval = 50 * time.Millisecond
)

// errNotLeading means that this controller stopped leading before it could decide.
var errNotLeading = errors.New("this controller no longer leads")

// removeDeadMember removes one member that has been silent for DeadAfter.
func (c *Controller) removeDeadMember(status *consensus.Status) {
	dead, ok := status.Membership.Find(seats.Remove(c.control.silence.Members(status), c.config.DeadAfter))
	if ok {
		go c.removeMember(dead)
	}
}

func (c *Controller) removeMember(dead consensus.Member) {
	select {
	case c.membershipLock <- struct{}{}:
	default:
		return
	}
	defer c.unlockMembership()
	ctx, cancel := context.WithTimeout(c.runContext, admitTimeout)
	defer cancel()
	_, err := c.replica.ChangeMembership(ctx, consensus.Change{Kind: consensus.Remove, Member: dead})
	c.config.Log.Info("removal of a silent member ended", "id", uint64(dead.ID), "address", dead.Address, "error", err)
}

// recordSilence proposes to record how long members have not been heard, for the next leader.
func (c *Controller) recordSilence() {
	if c.control.recordingSilence {
		return
	}
	record, changed := c.control.silence.Record(c.control.state.Silence(), c.config.DeadAfter-seats.ReplaceAfter)
	if !changed {
		return
	}
	data, err := (&fleetstate.Command{Silence: &fleetstate.SilenceRecord{Members: record}}).Encode()
	if err != nil {
		c.config.Log.Error("encoding the record of silent members failed", "error", err)
		return
	}
	c.control.recordingSilence = true
	c.replica.ProposeAsync(data, func(any, error) { c.control.recordingSilence = false })
}

// decideAdmission decides whether a learner gets a seat, and whose.
func (c *Controller) decideAdmission(ctx context.Context, joining topology.ReplicaID) (seats.Admission, error) {
	decided := make(chan *seats.Admission, 1)
	c.replica.Post(func() {
		if c.control.planner == nil {
			decided <- nil
			return
		}
		status := c.replica.Status()
		admission := seats.Admit(c.control.silence.Members(&status), joining)
		decided <- &admission
	})
	select {
	case admission := <-decided:
		if admission == nil {
			return seats.Admission{}, errNotLeading
		}
		return *admission, nil
	case <-ctx.Done():
		return seats.Admission{}, ctx.Err()
	}
}

// giveSeat makes a learner a voter once there is a seat for it. The membership is not locked while the
// learner waits, since others may join or leave meanwhile.
func (c *Controller) giveSeat(ctx context.Context, learner consensus.Member) {
	ticks := time.NewTicker(seatCheckInterval)
	defer ticks.Stop()
	given, err := c.giveFreeSeat(ctx, learner)
	for !given && err == nil {
		select {
		case <-ticks.C:
			given, err = c.giveFreeSeat(ctx, learner)
		case <-ctx.Done():
			err = ctx.Err()
		}
	}
	if err != nil {
		c.config.Log.Info("member has no seat yet", "id", uint64(learner.ID), "address", learner.Address, "error", err)
	}
}

// giveFreeSeat makes a learner a voter if there is a seat for it, and reports whether there is one.
func (c *Controller) giveFreeSeat(ctx context.Context, learner consensus.Member) (given bool, err error) {
	if !c.lockMembership(ctx) {
		return false, ctx.Err()
	}
	defer c.unlockMembership()
	admission, err := c.decideAdmission(ctx, learner.ID)
	if err != nil || admission.Action == seats.Wait {
		return false, err
	}
	if admission.Action == seats.Replace {
		// The removal comes first: it doesn't depend on the learner's disk.
		change := consensus.Change{Kind: consensus.Remove, Member: consensus.Member{ID: admission.Replaced}, Successor: learner.ID}
		_, err = c.replica.ChangeMembership(ctx, change)
		c.config.Log.Info("voter replaced", "id", uint64(admission.Replaced), "by", uint64(learner.ID), "error", err)
		if err != nil {
			return false, err
		}
	}
	_, err = c.replica.ChangeMembership(ctx, consensus.Change{Kind: consensus.Promote, Member: learner})
	c.config.Log.Info("member admitted", "id", uint64(learner.ID), "address", learner.Address, "error", err)
	return true, nil
}
