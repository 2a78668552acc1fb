package fleetcontroller

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/quarantine"
)

// quarantineDesk is the leader's work on requests under which back ends have ended. It belongs
// to the control goroutine. One change is proposed at a time; what comes meanwhile waits.
type quarantineDesk struct {
	desk      quarantine.Desk
	waiting   quarantine.Change
	proposing bool
	reviewAt  time.Duration
}

const (
	// quarantineReview is how often the leader looks for trials that are overdue.
	quarantineReview = time.Second
	// mostWaiting bounds the events that wait; further ones are told again by their gateways.
	mostWaiting = 4096
)

// takeQuarantine takes what a gateway's report tells, and returns the lives that it told the
// end of and that the present view has counted.
func (c *Controller) takeQuarantine(told *quarantine.Change) (known []string) {
	if told == nil {
		return nil
	}
	set := c.control.state.Quarantine()
	for _, ended := range told.Ended {
		if set.Knows(ended.Life) && c.control.published.quarantineIndex == set.Index {
			known = append(known, ended.Life)
		}
	}
	waiting := &c.control.quarantine.waiting
	if len(waiting.Ended)+len(waiting.Answered)+len(waiting.Over)+len(waiting.Asked) < mostWaiting {
		// What only the leader and operators decide is not a gateway's to tell.
		waiting.Add(&quarantine.Change{Ended: told.Ended, Answered: told.Answered, Over: told.Over, Asked: told.Asked})
	}
	c.proposeQuarantine()
	return known
}

// reviewQuarantine looks for what is due.
func (c *Controller) reviewQuarantine(now time.Duration) {
	desk := &c.control.quarantine
	if now < desk.reviewAt {
		return
	}
	desk.reviewAt = now + quarantineReview
	due := desk.desk.Review(c.control.state.Quarantine(), c.config.Quarantine, now)
	desk.waiting.Add(&due)
	c.proposeQuarantine()
}

// proposeQuarantine proposes what waits, as far as it changes anything.
func (c *Controller) proposeQuarantine() {
	desk := &c.control.quarantine
	if desk.proposing || desk.waiting.Empty() || c.control.planner == nil {
		return
	}
	change := c.control.state.Quarantine().Effective(&desk.waiting)
	desk.waiting = quarantine.Change{}
	if change.Empty() {
		return
	}
	data, err := (&fleetstate.Command{Quarantine: &change}).Encode()
	if err != nil {
		c.config.Log.Error("quarantine not changed", "error", err)
		return
	}
	desk.proposing = true
	planner := c.control.planner
	c.member.ProposeAsync(data, func(any, error) {
		if c.control.planner == planner {
			desk.proposing = false
			c.publish()
			c.proposeQuarantine()
		}
	})
}

// logQuarantine tells which requests came to be held back and which ones are no more, between
// two states.
func (c *Controller) logQuarantine(before, after *quarantine.Set) {
	for i := range after.Suspects {
		suspect := &after.Suspects[i]
		earlier := before.Find(suspect.Request)
		if suspect.Held() && (earlier == nil || !earlier.Held()) {
			c.metrics.held.Inc()
			c.config.Log.Warn("request held back", "digest", suspect.Request.String(), "service", suspect.Service, "ends", suspect.Ends,
				"failed_trials", suspect.FailedTrials, "late_trials", suspect.LateTrials)
		}
	}
	for i := range before.Suspects {
		suspect := &before.Suspects[i]
		if after.Find(suspect.Request) != nil {
			continue
		}
		c.metrics.cleared.Inc()
		if suspect.Held() {
			c.config.Log.Info("request no longer held back", "digest", suspect.Request.String(), "service", suspect.Service)
		}
	}
}
