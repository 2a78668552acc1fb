package simulate

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/subscription"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	maximumRedirects = 3
	silentRenewals   = 3
)

// subscriber is the client of a controller session, as internal/subscription
// runs it: it finds a controller, keeps the routing table at the newest
// revision, confirms it, renews the lease or asks for freshness.
type subscriber struct {
	*process
	cluster *cluster
	role    topology.Role
	address string
	hooks   subscriberHooks

	// The rest belongs to one life.
	boot       uint64
	connection *connection
	// opening is the session that was asked for, session the one that is open.
	opening, session *session
	attempt          uint64
	table            *routing.Table
	freshAt          time.Duration
	fresh            bool
	backend          topology.BackendID
	redirects        int
	failures         int
	useful           bool
	askWhole         bool
	heardAt          time.Duration
	sequence         uint64
	renewing         bool
	greeted          bool
}

// subscriberHooks is what a role does with its session.
type subscriberHooks struct {
	onTable   func(table *routing.Table)
	onWelcome func()
	// granted takes a lease; nil at a router.
	granted func(sentAt, granted time.Duration)
	// report fills a renewal.
	report func() wire.Renew
}

// begin starts the client of a new life.
func (s *subscriber) begin() {
	s.boot = s.world.random.Uint64()
	s.connection, s.opening, s.session = nil, nil, nil
	s.table = nil
	s.fresh = false
	s.backend = 0
	s.redirects, s.failures = 0, 0
	s.askWhole = false
	s.connect("")
}

// connect opens a session with the controller of a name, or any.
func (s *subscriber) connect(name string) {
	s.attempt++
	attempt := s.attempt
	target := s.cluster.controllerNamed(name)
	if target == nil {
		target = pick(s.world, s.cluster.controllers)
	}
	over := s.cluster.network.connect(s.process, target.process)
	s.connection = over
	s.opening = &session{controller: target, connection: over, client: s, hello: s.hello()}
	s.greeted, s.useful, s.renewing = false, false, false
	s.heardAt = s.clock()
	opening := s.opening
	over.onClientEnd = func() { s.lost(attempt, "") }
	over.toServer(func() { target.open(opening) })
	s.after(subscription.DefaultConnectTimeout, func() {
		if s.attempt == attempt && !s.greeted {
			s.lost(attempt, "")
		}
	})
}

func (s *subscriber) hello() wire.Hello {
	hello := wire.Hello{
		Group: groupID, Role: s.role, Name: s.name, Boot: s.boot, Address: s.address,
	}
	if s.table != nil && !s.askWhole {
		hello.Applied = s.table.Revision()
	}
	return hello
}

// lost ends a session and tries another controller: the named one at once,
// any other after a wait that grows with each failure.
func (s *subscriber) lost(attempt uint64, named string) {
	if s.attempt != attempt {
		return
	}
	s.connection.closeClient()
	s.connection = nil
	s.session = nil
	s.attempt++
	if s.useful {
		s.failures, s.redirects = 0, 0
	}
	if named != "" && s.redirects < maximumRedirects {
		s.redirects++
		s.connect(named)
		return
	}
	s.redirects = 0
	wait := time.Duration(0)
	if !s.useful {
		limit := min(subscription.DefaultBackOffFirst<<min(s.failures, 16), subscription.DefaultBackOffLimit)
		wait = s.world.between(0, limit)
		s.failures++
	}
	next := s.attempt
	s.after(wait, func() {
		if s.attempt == next {
			s.connect("")
		}
	})
}

// receive takes a message of the session's controller.
func (s *subscriber) receive(over *connection, message wire.FromController) {
	if s.connection != over {
		return
	}
	s.heardAt = s.clock()
	attempt := s.attempt
	switch {
	case message.Welcome != nil:
		s.welcomed(*message.Welcome)
	case message.RenewAck != nil:
		s.renewed(*message.RenewAck)
	case message.Snapshot != nil:
		s.applySnapshot(*message.Snapshot)
	case message.Delta != nil:
		s.applyDelta(*message.Delta)
	case message.Alive != nil:
		s.alive(*message.Alive)
	case message.Redirect != nil:
		s.lost(attempt, message.Redirect.LeaderAddress)
	}
}

func (s *subscriber) welcomed(welcome wire.Welcome) {
	attempt := s.attempt
	if welcome.Refusal != "" {
		s.lost(attempt, "")
		return
	}
	if s.role == topology.RoleAgent && !welcome.Leader {
		s.lost(attempt, welcome.LeaderAddress)
		return
	}
	s.greeted = true
	s.session = s.opening
	if s.backend != welcome.Backend {
		s.backend = welcome.Backend
		s.hooks.onWelcome()
	}
	s.watchSilence(attempt)
	if !s.renewing && (s.role == topology.RoleRouter || s.backend != 0) {
		s.renewing = true
		s.renewEach(attempt)
	}
}

// watchSilence ends a session on which nothing arrives.
func (s *subscriber) watchSilence(attempt uint64) {
	limit := subscription.DefaultSilenceLimit
	if s.role == topology.RoleAgent && s.backend != 0 {
		limit = silentRenewals * ownership.DefaultRenewInterval
	}
	s.after(limit/4, func() {
		switch {
		case s.attempt != attempt:
		case s.clock()-s.heardAt > limit:
			s.lost(attempt, "")
		default:
			s.watchSilence(attempt)
		}
	})
}

func (s *subscriber) renewEach(attempt uint64) {
	if s.attempt != attempt {
		return
	}
	s.renewNow()
	interval := ownership.DefaultRenewInterval
	if s.role == topology.RoleRouter {
		interval = subscription.DefaultPingInterval
	}
	s.after(interval, func() { s.renewEach(attempt) })
}

// renewNow sends a renewal, or a router's question for freshness.
func (s *subscriber) renewNow() {
	if s.session == nil || !s.renewing {
		return
	}
	if s.role == topology.RoleRouter {
		s.send(wire.ToController{Ping: &wire.Ping{SentAt: s.clock()}})
		return
	}
	renew := s.hooks.report()
	s.sequence++
	renew.Sequence = s.sequence
	renew.SentAt = s.clock()
	if s.table != nil {
		renew.Applied = s.table.Revision()
	}
	s.send(wire.ToController{Renew: &renew})
}

// send sends on the open session, or drops the message.
func (s *subscriber) send(message wire.ToController) {
	open := s.session
	if open == nil {
		return
	}
	s.connection.toServer(func() { open.receive(message) })
}

func (s *subscriber) renewed(ack wire.RenewAck) {
	if s.hooks.granted == nil || ack.SentAt > s.clock() {
		return
	}
	if ack.Granted > 0 {
		s.useful = true
		s.hooks.granted(ack.SentAt, ack.Granted)
	}
	s.freshIfAt(ack.Revision, ack.SentAt)
}

func (s *subscriber) freshIfAt(revision topology.Revision, at time.Duration) {
	if s.table == nil || s.table.Revision() < revision {
		return
	}
	s.useful = true
	if !s.fresh || at > s.freshAt {
		s.fresh, s.freshAt = true, at
	}
}

func (s *subscriber) alive(message wire.Alive) {
	if s.role == topology.RoleRouter && message.LeaderContact > subscription.DefaultLeaderContactLimit {
		s.lost(s.attempt, "")
		return
	}
	if message.Answers && message.PingSentAt <= s.clock() {
		s.freshIfAt(message.Revision, message.PingSentAt-message.LeaderContact)
	}
}

// relies reports whether the routing table may still be used.
func (s *subscriber) relies() bool {
	if s.table == nil {
		return false
	}
	if s.cluster.has(DefectNeverStale) {
		return true
	}
	return s.fresh && s.clock()-s.freshAt <= wire.MaxRoutingStaleness
}

func (s *subscriber) applySnapshot(snapshot wire.RoutingSnapshot) {
	if s.table != nil && snapshot.Revision < s.table.Revision() && !s.cluster.has(DefectAcceptOlder) {
		s.lost(s.attempt, "")
		return
	}
	table, err := routing.FromSnapshot(snapshot)
	if err != nil {
		s.world.violate(NoRevert, "%s cannot use a snapshot: %v", s.name, err)
		return
	}
	s.askWhole = false
	s.inForce(table)
}

func (s *subscriber) applyDelta(delta wire.RoutingDelta) {
	if s.table == nil {
		s.askWhole = true
		s.lost(s.attempt, "")
		return
	}
	if delta.To <= s.table.Revision() {
		return
	}
	table, err := s.table.Apply(delta)
	if err != nil {
		s.askWhole = true
		s.lost(s.attempt, "")
		return
	}
	s.inForce(table)
}

func (s *subscriber) inForce(table *routing.Table) {
	s.table = table
	s.cluster.revisions.observe(s)
	s.hooks.onTable(table)
	s.send(wire.ToController{Applied: &wire.Applied{Revision: table.Revision()}})
}
