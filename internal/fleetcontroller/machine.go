package fleetcontroller

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// machine fits a controller to replica.StateMachine.
type machine struct{ c *Controller }

// Apply implements replica.StateMachine.
func (m machine) Apply(index topology.Revision, command []byte) any {
	before := m.c.control.state.Version()
	result := m.c.control.state.Apply(uint64(index), command)
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

// view is an immutable picture of what gateways need.
type view struct {
	document    *fleetwire.Shared[*routeconfig.Document]
	ownersIndex uint64
	owners      *fleetwire.Shared[[]fleetwire.ServiceOwners]
	// instances are those that the planner of a term knows at a revision.
	term              uint64
	instancesRevision uint64
	instances         []fleetwire.Instance
	complete          bool
	controllers       []string
}

// published remembers from what the last view was made.
type published struct {
	version           routeconfig.Version
	ownersIndex       uint64
	term              uint64
	instancesRevision uint64
	complete          bool
	members           int
}

// publish makes a new view where anything has changed, and wakes the senders.
func (c *Controller) publish() {
	control := &c.control
	if control.planner == nil {
		return
	}
	members := c.member.Status().Membership
	now := published{
		version:           control.state.Version(),
		ownersIndex:       control.state.OwnersIndex(),
		term:              control.leadership.Term(),
		instancesRevision: control.planner.Revision(),
		complete:          control.planner.Complete(c.member.Now()),
		members:           len(members.Members),
	}
	if now == control.published {
		return
	}
	before := c.view.Load()
	next := *before
	if document := control.state.Document(); document != nil && (before.document == nil || before.document.Value != document) {
		next.document = &fleetwire.Shared[*routeconfig.Document]{Value: document}
	}
	next.term, next.instancesRevision, next.complete = now.term, now.instancesRevision, now.complete
	if now.ownersIndex != control.published.ownersIndex || before.owners == nil {
		next.ownersIndex = now.ownersIndex
		next.owners = &fleetwire.Shared[[]fleetwire.ServiceOwners]{Value: ownersOf(control.state)}
	}
	next.instances = control.planner.Instances()
	next.controllers = c.controllers(members)
	control.published = now
	c.view.Store(&next)
	c.wakeSessions()
}

func ownersOf(state *fleetstate.State) []fleetwire.ServiceOwners {
	owners := []fleetwire.ServiceOwners{}
	for service, keys := range state.AllOwners() {
		owners = append(owners, fleetwire.ServiceOwners{Service: service, Assignments: keys.All()})
	}
	return owners
}

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
	c.publish()
	if now >= control.healAt {
		control.healAt = now + healInterval
		c.removeDead(status, now)
	}
}

func (c *Controller) stepDown() {
	if c.control.planner != nil {
		c.config.Log.Info("leadership ended")
	}
	c.control.planner = nil
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
		c.config.Log.Info("leadership begins", "term", term, "version", uint64(c.control.state.Version()))
		c.control.planner = keylease.New(c.config.Planner, c.control.state, status.EarlierLeasesEnd, now)
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
