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

// stateMachine adapts a Controller to replica.StateMachine.
type stateMachine struct{ c *Controller }

// Apply implements replica.StateMachine.
func (m stateMachine) Apply(index topology.Revision, command []byte) any {
	before, evacuationsBefore := m.c.control.state.Version(), m.c.control.state.EvacuationsIndex()
	quarantineBefore := *m.c.control.state.Quarantine()
	result := m.c.control.state.Apply(uint64(index), command)
	if result.Outcome == fleetstate.Invalid {
		m.c.config.Log.Warn("invalid log entry ignored", "index", uint64(index), "bytes", len(command), "findings", len(result.Findings), "first", fmt.Sprintf("%.256s", result.Findings.Error()))
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
func (m stateMachine) Snapshot() ([]byte, error) { return m.c.control.state.Encode() }

// Restore implements replica.StateMachine.
func (m stateMachine) Restore(data []byte) error { return m.c.control.state.Decode(data) }

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

// tick follows changes of the replica's role and, at the leader, does the periodic work.
func (c *Controller) tick(now time.Duration, status consensus.Status) {
	control := &c.control
	duty := control.leadership.Tick(&status, now)
	if duty.StepDown {
		c.stepDown()
	}
	if duty.Announce {
		c.commitNoop(status.Term)
	}
	if status.IsLeader(now) {
		control.silence.Observe(&status, now)
	}
	if !duty.MayAct || control.planner == nil {
		return
	}
	c.recordSilence()
	c.proposeMoves(now)
	c.reviewQuarantine(now)
	c.publish()
	c.acknowledgeInForce(now)
	if now >= control.nextMemberCheck {
		control.nextMemberCheck = now + memberCheckInterval
		control.inForce.Expire(now)
		c.expireQuotaShares(now)
		c.removeDeadMember(&status)
	}
}

func (c *Controller) stepDown() {
	if c.control.planner != nil {
		c.config.Log.Info("leadership ended")
	}
	c.control.planner = nil
	c.control.quarantine = quarantineState{}
	c.control.departures = departureState{}
	c.control.inForce = nil
	c.control.quotas = nil
	c.failPendingAcks(ErrLeadershipLost)
	c.control.published = publishedState{}
	c.closeSessions(false)
}

// commitNoop proposes an empty command at the beginning of a term. Once it is applied, everything
// that earlier leaders committed is applied too, and the controller begins to act as leader.
func (c *Controller) commitNoop(term uint64) {
	data, err := (&fleetstate.Command{}).Encode()
	if err != nil {
		c.control.leadership.Refused(term)
		return
	}
	c.replica.ProposeAsync(data, func(_ any, err error) {
		status := c.replica.Status()
		if err != nil {
			c.control.leadership.Refused(term)
			return
		}
		if !c.control.leadership.Announced(&status, term) {
			return
		}
		now := c.replica.Now()
		c.metrics.leaderships.Inc()
		c.config.Log.Info("leadership begins", "term", term, "version", uint64(c.control.state.Version()), "all_started_anew", status.StartedAnew)
		c.control.planner = keylease.New(c.config.Planner, c.control.state, status.EarlierLeasesEnd, now)
		c.control.silence.Inherit(c.control.state.Silence())
		c.control.inForce = configlease.NewGrantor(c.config.Configuration, status.EarlierLeasesEnd)
		c.control.quotas = newQuotaState(c.config.Quota, status.EarlierLeasesEnd)
		c.publish()
	})
}

// proposeMoves proposes the planner's next batch of changes of owner.
func (c *Controller) proposeMoves(now time.Duration) {
	planner := c.control.planner
	batch := planner.Tick(now)
	if batch == nil {
		c.requestReports(planner.TakeNodesToReport())
		return
	}
	c.metrics.countMoves(batch)
	for _, change := range batch.Changes {
		c.config.Log.Info("keys change owner", "service", change.Service, "first", change.Keys.First, "last", change.Keys.Last,
			"from", change.From, "to", change.To, "handover", change.Handover != "")
	}
	data, err := (&fleetstate.Command{Ownership: batch}).Encode()
	if err != nil {
		planner.BatchDone()
		return
	}
	c.replica.ProposeAsync(data, func(any, error) {
		if c.control.planner == planner {
			planner.BatchDone()
			c.publish()
			c.requestReports(planner.TakeNodesToReport())
		}
	})
}
