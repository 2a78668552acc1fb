package replica

import (
	"context"
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// promotion is a request that waits until an index is committed and durable on
// the new voter.
type promotion struct {
	change consensus.Change
	index  uint64
	done   func(any, error)
}

// membershipRetryInterval is the interval at which a membership change that cannot be proposed
// yet is retried.
const membershipRetryInterval = 20 * time.Millisecond

func (c *control) changeMembership(ctx context.Context, change consensus.Change, done func(any, error)) {
	if err := c.checkCanPropose(); err != nil {
		done(nil, err)
		return
	}
	if change.Kind == consensus.Promote && c.core.Membership().IsVoter(change.Member.ID) {
		c.awaitPromotion(change, done)
		return
	}
	index, term, err := c.core.ProposeMembership(change)
	switch {
	case errors.Is(err, consensus.ErrNotCaughtUp), errors.Is(err, consensus.ErrTermNotCommitted), errors.Is(err, consensus.ErrChangeInProgress):
		c.retryMembershipChange(ctx, change, done, err)
		return
	case err != nil:
		done(nil, c.translateError(err))
		return
	}
	change = c.withAssignedID(change)
	c.pendingProposals[index] = proposal{term, func(_ any, err error) {
		if err != nil || change.Kind != consensus.Promote {
			done(change, err)
			return
		}
		c.awaitPromotion(change, done)
	}}
}

// awaitPromotion waits until all entries that are in the log now, including the
// promotion, are committed and durable on the new voter. A promotion that is
// requested again because its result was lost waits for the same.
func (c *control) awaitPromotion(change consensus.Change, done func(any, error)) {
	c.promotions = append(c.promotions, promotion{change, c.core.Status().LastIndex, done})
	c.completePromotions()
}

func (c *control) retryMembershipChange(ctx context.Context, change consensus.Change, done func(any, error), cause error) {
	if ctx.Err() != nil {
		done(nil, cause)
		return
	}
	time.AfterFunc(membershipRetryInterval, func() {
		c.r.Post(func() { c.changeMembership(ctx, change, done) })
	})
}

// withAssignedID fills in the ID that the group assigned to a new member.
func (c *control) withAssignedID(change consensus.Change) consensus.Change {
	for _, member := range c.core.Membership().Members {
		if change.Kind == consensus.AddLearner && member.Incarnation == change.Member.Incarnation {
			change.Member = member
		}
	}
	return change
}

// completePromotions ends the promotions whose index is committed and durable on
// the new voter, and fails all of them if this replica is not the leader.
func (c *control) completePromotions() {
	if len(c.promotions) == 0 {
		return
	}
	status := c.core.Status()
	var pending []promotion
	for _, p := range c.promotions {
		switch {
		case status.Role != consensus.Leader:
			p.done(nil, c.notLeader())
		case status.Commit >= p.index && durableIndex(status, p.change.Member.ID) >= p.index:
			p.done(p.change, nil)
		default:
			pending = append(pending, p)
		}
	}
	c.promotions = pending
}

func durableIndex(status consensus.Status, id topology.ReplicaID) uint64 {
	if id == status.ID {
		return status.Durable
	}
	for _, peer := range status.Peers {
		if peer.ID == id {
			return peer.Match
		}
	}
	return 0
}
