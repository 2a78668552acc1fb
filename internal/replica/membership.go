package replica

import (
	"context"
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// promotion waits until a new voter durably holds an index and it is
// committed.
type promotion struct {
	change consensus.Change
	index  uint64
	done   func(any, error)
}

// membershipRetry is how often a change is tried that cannot be proposed yet.
const membershipRetry = 20 * time.Millisecond

func (c *control) changeMembership(ctx context.Context, change consensus.Change, done func(any, error)) {
	if err := c.mayPropose(); err != nil {
		done(nil, err)
		return
	}
	if change.Kind == consensus.Promote && c.core.Membership().IsVoter(change.Member.ID) {
		c.awaitPromoted(change, done)
		return
	}
	index, term, err := c.core.ProposeMembership(change)
	switch {
	case errors.Is(err, consensus.ErrNotCaughtUp), errors.Is(err, consensus.ErrTermNotCommitted), errors.Is(err, consensus.ErrChangeInProgress):
		c.retryChange(ctx, change, done, err)
		return
	case err != nil:
		done(nil, c.translate(err))
		return
	}
	change = c.named(change)
	c.proposals[index] = proposal{term, func(_ any, err error) {
		if err != nil || change.Kind != consensus.Promote {
			done(change, err)
			return
		}
		c.awaitPromoted(change, done)
	}}
}

// awaitPromoted waits until a voter durably holds all that is committed now,
// its promotion included. A promotion that is asked for again, because the
// answer was lost, waits as well.
func (c *control) awaitPromoted(change consensus.Change, done func(any, error)) {
	c.promoted = append(c.promoted, promotion{change, c.core.Status().LastIndex, done})
	c.checkPromotions()
}

func (c *control) retryChange(ctx context.Context, change consensus.Change, done func(any, error), cause error) {
	if ctx.Err() != nil {
		done(nil, cause)
		return
	}
	time.AfterFunc(membershipRetry, func() {
		c.r.Post(func() { c.changeMembership(ctx, change, done) })
	})
}

// named fills in the ID that the group gave to a new member.
func (c *control) named(change consensus.Change) consensus.Change {
	for _, member := range c.core.Membership().Members {
		if change.Kind == consensus.AddLearner && member.Incarnation == change.Member.Incarnation {
			change.Member = member
		}
	}
	return change
}

// checkPromotions ends the promotions whose new voter holds all that was
// committed.
func (c *control) checkPromotions() {
	if len(c.promoted) == 0 {
		return
	}
	status := c.core.Status()
	var waiting []promotion
	for _, p := range c.promoted {
		switch {
		case status.Role != consensus.Leader:
			p.done(nil, c.notLeader())
		case status.Commit >= p.index && durableAt(status, p.change.Member.ID) >= p.index:
			p.done(p.change, nil)
		default:
			waiting = append(waiting, p)
		}
	}
	c.promoted = waiting
}

func durableAt(status consensus.Status, id topology.ReplicaID) uint64 {
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
