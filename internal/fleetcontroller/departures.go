package fleetcontroller

import (
	"maps"
	"slices"

	"github.com/quartzdock/quartzdock/internal/departure"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// departureState is the leader's working state for announced departures of back ends. The control
// goroutine owns it. One change is proposed at a time; further announcements are collected in
// pending, each once, since gateways repeat them in each report.
type departureState struct {
	pending   map[departure.Announcement]bool
	proposing bool
}

// recordDepartures proposes to record what a gateway's back ends have announced, at most
// MaxPerGateway of them.
func (c *Controller) recordDepartures(node string, instances []string) {
	if len(instances) == 0 {
		return
	}
	state := &c.control.departures
	if state.pending == nil {
		state.pending = map[departure.Announcement]bool{}
	}
	for _, instance := range instances[:min(len(instances), departure.MaxPerGateway)] {
		state.pending[departure.Announcement{Gateway: node, Instance: instance}] = true
	}
	c.proposeDepartures()
}

// proposeDepartures proposes the pending announcements that aren't recorded yet.
func (c *Controller) proposeDepartures() {
	state := &c.control.departures
	if state.proposing || len(state.pending) == 0 || c.control.planner == nil {
		return
	}
	announced := departure.Change{Announced: slices.Collect(maps.Keys(state.pending))}
	state.pending = nil
	change := c.control.state.Departures().Missing(&announced)
	if len(change.Announced) == 0 {
		return
	}
	data, err := (&fleetstate.Command{Departures: &change}).Encode()
	if err != nil {
		c.config.Log.Error("encoding announced departures failed", "error", err)
		return
	}
	state.proposing = true
	planner := c.control.planner
	c.replica.ProposeAsync(data, func(_ any, err error) {
		if c.control.planner != planner {
			return
		}
		state.proposing = false
		if err == nil {
			c.departuresRecorded(&change)
		}
		c.proposeDepartures()
	})
}

// departuresRecorded tells the gateways concerned that their back ends' departures are recorded.
func (c *Controller) departuresRecorded(change *departure.Change) {
	gateways := map[string]bool{}
	for _, announced := range change.Announced {
		gateways[announced.Gateway] = true
		c.metrics.departures.Inc()
		c.config.Log.Info("departure of a back end recorded", "gateway", announced.Gateway, "instance", announced.Instance)
	}
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	for s := range c.sessions {
		if gateways[s.node] {
			c.queueDepartures(s)
			s.notify()
		}
	}
}

// queueDepartures makes the next message of a session list the recorded departures at its gateway,
// if they have changed. It runs on the control goroutine of the leader.
func (c *Controller) queueDepartures(s *session) {
	set := c.control.state.Departures()
	newest := set.NewestAt(s.node)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if newest != s.departuresAt {
		s.departures, s.departuresAt = &fleetwire.Departures{Instances: set.At(s.node)}, newest
	}
}
