package fleetcontroller

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
)

const (
	// memberCheckInterval is how often the leader checks for dead members.
	memberCheckInterval = time.Second
	// aliveTimeout is how recently a message of a member must have arrived for it to count as
	// alive.
	aliveTimeout = time.Second
	// minVoters is the minimum number of voters that must remain, and be alive, after a
	// removal.
	minVoters = 3
)

// removeDeadMember removes one member that has been silent for DeadAfter, if all others are
// alive, so that the group still has a quorum after the loss of another member.
func (c *Controller) removeDeadMember(status consensus.Status, now time.Duration) {
	var dead consensus.Member
	alive := 1
	for _, peer := range status.Peers {
		lastMessageAt := max(peer.HeardAt, c.control.planner.Began())
		member, ok := status.Membership.Find(peer.ID)
		switch {
		case now < lastMessageAt+aliveTimeout:
			if ok && !member.Learner {
				alive++
			}
		case now > lastMessageAt+c.config.DeadAfter && ok:
			dead = member
		}
	}
	if dead.ID == 0 || alive < minVoters || alive < status.Membership.Voters()-1 {
		return
	}
	go c.removeMember(dead)
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
