package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
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

// inForceNow tells who does not have a revision in force yet. Controllers that
// have not reported their subscribers count as lagging until those must have
// stopped relying on older data. Only the leader knows.
func (c *Controller) inForceNow(revision topology.Revision, now time.Time) inForce {
	result := inForce{revision: revision}
	for _, entry := range c.subscribers.list(c.replica.Status().ID) {
		if entry.applied < revision && !entry.stoppedRelying(now) {
			result.lagging = append(result.lagging, entry)
		}
	}
	result.lagging = append(result.lagging, c.silentControllers(now)...)
	result.everywhere = len(result.lagging) == 0
	return result
}

// silentControllers lists the members whose subscribers are not known.
func (c *Controller) silentControllers(now time.Time) []subscriber {
	status := c.replica.Status()
	c.subscribers.mutex.Lock()
	defer c.subscribers.mutex.Unlock()
	since := c.subscribers.leadsSince
	var silent []subscriber
	for _, member := range status.Membership.Members {
		if member.ID == status.ID {
			continue
		}
		heard, reported := c.subscribers.members[member.ID]
		if !reported {
			heard = since
		}
		fresh := reported && now.Sub(heard) < 2*relayInterval+relaySlack
		if fresh || now.Sub(heard) > 2*wireStopRelying {
			continue
		}
		silent = append(silent, silentController(member, heard))
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
