package fleetcontroller

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// machine fits a controller to replica.StateMachine.
type machine struct{ c *Controller }

// Apply implements replica.StateMachine.
func (m machine) Apply(index topology.Revision, command []byte) any {
	before, evacuationsBefore := m.c.control.state.Version(), m.c.control.state.EvacuationsIndex()
	quarantineBefore := *m.c.control.state.Quarantine()
	result := m.c.control.state.Apply(uint64(index), command)
	if result.Outcome == fleetstate.Invalid {
		m.c.config.Log.Warn("log entry changes nothing", "index", uint64(index), "bytes", len(command), "findings", len(result.Findings), "first", fmt.Sprintf("%.256s", result.Findings.Error()))
	}
	if m.c.control.state.EvacuationsIndex() != evacuationsBefore {
		m.c.config.Log.Info("evacuated zones", "zones", m.c.control.state.EvacuatedZones(), "index", uint64(index))
	}
	if after := m.c.control.state.Quarantine(); after.Index != quarantineBefore.Index {
		m.c.logQuarantine(&quarantineBefore, after)
	}
	if after := m.c.control.state.Version(); after != before {
		m.c.config.Log.Info("configuration applied", "version", uint64(after), "index", uint64(index))
	}
	m.c.publish()
	return result
}

// Snapshot implements replica.StateMachine.
func (m machine) Snapshot() ([]byte, error) { return m.c.control.state.Encode() }

// Restore implements replica.StateMachine.
func (m machine) Restore(data []byte) error { return m.c.control.state.Decode(data) }

// controllers returns the session addresses of the members.
func (c *Controller) controllers(members consensus.Membership) []string {
	var addresses []string
	for _, member := range members.Members {
		if address := c.config.sessionAddress(member.Address); address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// tick follows the replica's role and, at the leader, decides.
func (c *Controller) tick(now time.Duration, status consensus.Status) {
	control := &c.control
	duty := control.leadership.Tick(&status, now)
	if duty.StepDown {
		c.stepDown()
	}
	if duty.Announce {
		c.announce(status.Term)
	}
	if !duty.Act || control.planner == nil {
		return
	}
	c.decide(now)
	c.reviewQuarantine(now)
	c.publish()
	c.acknowledge(now)
	if now >= control.healAt {
		control.healAt = now + healInterval
		control.inForce.Forget(now)
		c.removeDead(status, now)
	}
}

func (c *Controller) stepDown() {
	if c.control.planner != nil {
		c.config.Log.Info("leadership ended")
	}
	c.control.planner = nil
	c.control.quarantine = quarantineDesk{}
	c.control.inForce = nil
	c.releaseAwaited(ErrLeadershipLost)
	c.control.published = published{}
	c.closeSessions(false)
}

// announce proposes an empty command of the term: once it is applied, all that
// earlier leaders committed is applied too.
func (c *Controller) announce(term uint64) {
	data, err := (&fleetstate.Command{}).Encode()
	if err != nil {
		c.control.leadership.Refused(term)
		return
	}
	c.member.ProposeAsync(data, func(_ any, err error) {
		status := c.member.Status()
		if err != nil {
			c.control.leadership.Refused(term)
			return
		}
		if !c.control.leadership.Announced(&status, term) {
			return
		}
		now := c.member.Now()
		c.metrics.leaderships.Inc()
		c.config.Log.Info("leadership begins", "term", term, "version", uint64(c.control.state.Version()), "all_started_anew", status.StartedAnew)
		c.control.planner = keylease.New(c.config.Planner, c.control.state, status.EarlierLeasesEnd, now)
		c.control.inForce = configlease.NewGrantor(c.config.Configuration, status.EarlierLeasesEnd)
		c.publish()
	})
}

// decide proposes the planner's next batch.
func (c *Controller) decide(now time.Duration) {
	planner := c.control.planner
	batch := planner.Tick(now)
	if batch == nil {
		c.askConcerned(planner.Concerned())
		return
	}
	c.metrics.moved(batch)
	for _, change := range batch.Changes {
		c.config.Log.Info("keys change owner", "service", change.Service, "first", change.Keys.First, "last", change.Keys.Last,
			"from", change.From, "to", change.To, "handover", change.Handover != "")
	}
	data, err := (&fleetstate.Command{Ownership: batch}).Encode()
	if err != nil {
		planner.BatchDone()
		return
	}
	c.member.ProposeAsync(data, func(any, error) {
		if c.control.planner == planner {
			planner.BatchDone()
			c.publish()
			c.askConcerned(planner.Concerned())
		}
	})
}
