package fleetcontroller

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
)

const (
	// healInterval is how often the leader looks for dead members.
	healInterval = time.Second
	// aliveWithin is when a member counts as answering.
	aliveWithin = time.Second
	// leastVoters is how many voters a removal must leave.
	leastVoters = 3
)

// removeDead takes one member out that has been silent for long, if all others
// answer: a further loss then leaves a quorum.
func (c *Controller) removeDead(status consensus.Status, now time.Duration) {
	var dead consensus.Member
	answering := 1
	for _, peer := range status.Peers {
		heardAt := max(peer.HeardAt, c.control.planner.Began())
		member, ok := status.Membership.Find(peer.ID)
		switch {
		case now < heardAt+aliveWithin:
			if ok && !member.Learner {
				answering++
			}
		case now > heardAt+c.config.DeadAfter && ok:
			dead = member
		}
	}
	if dead.ID == 0 || answering < leastVoters || answering < status.Membership.Voters()-1 {
		return
	}
	go c.remove(dead)
}

func (c *Controller) remove(dead consensus.Member) {
	select {
	case c.admitting <- struct{}{}:
	default:
		return
	}
	defer c.admitted()
	ctx, cancel := context.WithTimeout(c.running, admitTimeout)
	defer cancel()
	_, err := c.member.ChangeMembership(ctx, consensus.Change{Kind: consensus.Remove, Member: dead})
	c.config.Log.Info("silent member removed", "id", uint64(dead.ID), "address", dead.Address, "error", err)
}
