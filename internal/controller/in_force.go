package controller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// inForceRecheck is how often time alone is looked at while waiting: a silent
// subscriber stops counting without an event.
const inForceRecheck = 50 * time.Millisecond

// inForce is how far a revision has come.
type inForce struct {
	revision   topology.Revision
	everywhere bool
	lagging    []subscriber
}

// inForceNow tells who does not have a revision in force yet. Only the leader
// knows.
//
// A revision is in force everywhere when every subscriber has confirmed it, of
// this controller and of all others. It is so at the latest
// wire.StopRelyingAfter, and a bound of clock drift, after it was committed: a
// router without it cannot have a proof of freshness from a later moment than
// that, and without one it stops serving.
func (c *Controller) inForceNow(revision topology.Revision, now time.Time) inForce {
	result := inForce{revision: revision}
	if now.Sub(c.committedAt(revision)) > relyingBound {
		result.everywhere = true
		return result
	}
	for _, entry := range c.subscribers.list(c.replica.Status().ID) {
		if entry.applied < revision && !entry.stoppedRelying(now) {
			result.lagging = append(result.lagging, entry)
		}
	}
	result.lagging = append(result.lagging, c.silentControllers(now)...)
	result.everywhere = len(result.lagging) == 0
	return result
}

// relyingBound is how long after its commit a revision is in force everywhere,
// whoever was heard.
const relyingBound = wire.StopRelyingAfter + wire.StopRelyingAfter/50

// committedAt returns a time by which a revision was certainly committed.
func (c *Controller) committedAt(revision topology.Revision) time.Time {
	return c.commits.at(revision)
}

// commitTimes remembers when this controller applied its latest revisions.
type commitTimes struct {
	mutex sync.Mutex
	times []commitTime
}

type commitTime struct {
	revision topology.Revision
	at       time.Time
}

// add notes a revision and forgets what no one asks for any more.
func (t *commitTimes) add(revision topology.Revision, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.times = append(t.times, commitTime{revision, at})
	for len(t.times) > 1 && at.Sub(t.times[0].at) > 2*relyingBound {
		t.times = t.times[1:]
	}
}

// at returns when the first kept revision that includes the given one was
// applied. For a revision that is older than all kept ones this is late, and
// so on the safe side.
func (t *commitTimes) at(revision topology.Revision) time.Time {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, entry := range t.times {
		if entry.revision >= revision {
			return entry.at
		}
	}
	return time.Now()
}

// silentControllers lists the members that have not reported who has what.
func (c *Controller) silentControllers(now time.Time) []subscriber {
	status := c.replica.Status()
	c.subscribers.mutex.Lock()
	defer c.subscribers.mutex.Unlock()
	var silent []subscriber
	for _, member := range status.Membership.Members {
		if member.ID == status.ID {
			continue
		}
		heard := c.subscribers.members[member.ID]
		if now.Sub(heard) > 2*relayInterval+relaySlack {
			silent = append(silent, silentController(member, heard))
		}
	}
	return silent
}

func silentController(member consensus.Member, heard time.Time) subscriber {
	name := fmt.Sprintf("controller-%d", member.ID)
	key := subscriberKey{role: topology.RoleController, name: name, address: member.Address}
	return subscriber{key: key, heardAt: heard, controller: member.ID}
}

// waitInForce waits until a revision is in force everywhere or the context
// ends, and tells how far it came.
func (c *Controller) waitInForce(ctx context.Context, revision topology.Revision) inForce {
	timer := time.NewTicker(inForceRecheck)
	defer timer.Stop()
	for {
		changed := c.subscribers.changed.wait()
		state := c.inForceNow(revision, time.Now())
		if state.everywhere {
			return state
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return state
		}
	}
}

// waitApplied returns once this controller has applied a revision.
func (c *Controller) waitApplied(ctx context.Context, revision topology.Revision) error {
	const poll = time.Millisecond
	timer := time.NewTicker(poll)
	defer timer.Stop()
	for c.view.Load().Newest() < revision {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
