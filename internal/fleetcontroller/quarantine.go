package fleetcontroller

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/quarantine"
)

// quarantineState is the leader's working state for requests during which back ends have
// crashed. The control goroutine owns it. One change is proposed at a time; further events
// are collected in pending.
type quarantineState struct {
	reviewer   quarantine.Timers
	pending    quarantine.Change
	proposing  bool
	nextReview time.Duration
}

const (
	// quarantineReviewInterval is how often the leader checks for overdue trials.
	quarantineReviewInterval = time.Second
	// maxPendingQuarantineEvents limits the pending events. Gateways report those that are
	// dropped again.
	maxPendingQuarantineEvents = 4096
)

// handleQuarantine queues the quarantine events of a gateway's report. It returns the crashed
// incarnations in the report that the published view already counts.
func (c *Controller) handleQuarantine(reported *quarantine.Change) (known []string) {
	if reported == nil {
		return nil
	}
	set := c.control.state.Quarantine()
	for _, crash := range reported.Ended {
		if set.HasCounted(crash.Life) && c.control.published.quarantineIndex == set.Index {
			known = append(known, crash.Life)
		}
	}
	pending := &c.control.quarantine.pending
	if len(pending.Ended)+len(pending.Answered)+len(pending.Over)+len(pending.Asked) < maxPendingQuarantineEvents {
		// The remaining fields are left out: only the leader and operators may set them.
		pending.Add(&quarantine.Change{Ended: reported.Ended, Answered: reported.Answered, Over: reported.Over, Asked: reported.Asked})
	}
	c.proposeQuarantine()
	return known
}

// reviewQuarantine proposes the changes that are due by time.
func (c *Controller) reviewQuarantine(now time.Duration) {
	state := &c.control.quarantine
	if now < state.nextReview {
		return
	}
	state.nextReview = now + quarantineReviewInterval
	due := state.reviewer.Due(c.control.state.Quarantine(), c.config.Quarantine, now)
	state.pending.Add(&due)
	c.proposeQuarantine()
}

// proposeQuarantine proposes the pending changes that have an effect on the state.
func (c *Controller) proposeQuarantine() {
	state := &c.control.quarantine
	if state.proposing || state.pending.Empty() || c.control.planner == nil {
		return
	}
	change := c.control.state.Quarantine().Effective(&state.pending)
	state.pending = quarantine.Change{}
	if change.Empty() {
		return
	}
	data, err := (&fleetstate.Command{Quarantine: &change}).Encode()
	if err != nil {
		c.config.Log.Error("encoding a change of the quarantine failed", "error", err)
		return
	}
	state.proposing = true
	planner := c.control.planner
	c.replica.ProposeAsync(data, func(any, error) {
		if c.control.planner == planner {
			state.proposing = false
			c.publish()
			c.proposeQuarantine()
		}
	})
}

// logQuarantine logs and counts the requests that are newly quarantined, and those that are no
// longer quarantined or suspect, between two states.
func (c *Controller) logQuarantine(before, after *quarantine.Set) {
	for i := range after.Suspects {
		suspect := &after.Suspects[i]
		earlier := before.Find(suspect.Request)
		if suspect.Quarantined() && (earlier == nil || !earlier.Quarantined()) {
			c.metrics.quarantined.Inc()
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
		if suspect.Quarantined() {
			c.config.Log.Info("request no longer held back", "digest", suspect.Request.String(), "service", suspect.Service)
		}
	}
}
