package simulate

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/distribution"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const aliveInterval = 500 * time.Millisecond

// session is a controller's side of a session with a router or an agent.
type session struct {
	controller *controller
	connection *connection
	client     *subscriber
	hello      wire.Hello
	backend    topology.BackendID
	services   []topology.ServiceID
	routing    bool
	sent       topology.Revision
	// waiting routers get their Welcome once the controller's state is
	// confirmed after since.
	waiting bool
	since   time.Duration
}

// open takes a Hello.
func (c *controller) open(s *session) {
	s.sent = s.hello.Applied
	s.connection.onServerEnd = func() { c.forget(s) }
	c.sessions = append(c.sessions, s)
	if s.hello.Role == topology.RoleAgent {
		s.greetAgent()
		return
	}
	s.waiting, s.since = true, c.clock()
	if c.cluster.has(DefectStaleWelcome) || c.cluster.has(DefectAcceptOlder) {
		s.greetRouter()
	}
}

func (c *controller) forget(s *session) {
	for i, known := range c.sessions {
		if known == s {
			c.sessions = append(c.sessions[:i], c.sessions[i+1:]...)
			break
		}
	}
	if c.agents[s.hello.Address] == s {
		delete(c.agents, s.hello.Address)
	}
	c.tracker.Disconnected(keyOf(s), s.hello.Boot, c.clock())
}

func (s *session) send(message wire.FromController) {
	client := s.client
	s.connection.toClient(func() { client.receive(s.connection, message) })
}

func (s *session) redirect(address string) {
	s.send(wire.FromController{Redirect: &wire.Redirect{LeaderAddress: address}})
}

func (c *controller) welcome() wire.Welcome {
	return wire.Welcome{
		Leader:        c.leads(),
		LeaderAddress: c.leaderName(),
		LeaseDuration: leaseDuration,
		RenewInterval: ownership.DefaultRenewInterval,
	}
}

func (s *session) greetAgent() {
	c := s.controller
	welcome := c.welcome()
	if !welcome.Leader {
		s.send(wire.FromController{Welcome: &welcome})
		return
	}
	if earlier, ok := c.agents[s.hello.Address]; ok && earlier != s {
		earlier.connection.closeServer()
		c.forget(earlier)
	}
	c.agents[s.hello.Address] = s
	c.identify(s)
	c.tracker.Connected(keyOf(s), &s.hello, c.clock())
	welcome.Backend, welcome.Service = s.backend, s.service()
	s.send(wire.FromController{Welcome: &welcome})
	s.update()
}

func (s *session) service() topology.ServiceID {
	info, _ := s.controller.state.Backend(s.backend)
	return info.Service
}

// identify finds the back end beside an agent; it reports a change.
func (c *controller) identify(s *session) bool {
	info, known := c.state.BackendByAddress(s.hello.Address)
	if !known {
		changed := s.backend != 0
		s.backend = 0
		return changed
	}
	if s.backend == info.ID {
		return false
	}
	s.backend = info.ID
	c.coordinator.Attach(info.ID, &s.hello, c.clock())
	s.services = []topology.ServiceID{info.Service}
	s.routing = true
	return true
}

func (c *controller) identifyAgents() {
	for _, s := range c.sessions {
		if c.agents[s.hello.Address] != s || !c.identify(s) {
			continue
		}
		welcome := c.welcome()
		welcome.Backend, welcome.Service = s.backend, s.service()
		s.send(wire.FromController{Welcome: &welcome})
		s.update()
	}
}

func (s *session) greetRouter() {
	c := s.controller
	s.waiting = false
	welcome := c.welcome()
	c.tracker.Connected(keyOf(s), &s.hello, c.clock())
	s.send(wire.FromController{Welcome: &welcome})
	s.routing = true
	s.update()
}

// greetWaiting welcomes the routers that waited for confirmation.
func (c *controller) greetWaiting() {
	for _, s := range append([]*session(nil), c.sessions...) {
		if s.waiting && c.freshness.ConfirmedSince(s.since) {
			s.greetRouter()
		}
	}
}

// publish makes the newest view visible and updates all sessions.
func (c *controller) publish() {
	c.view = c.deltas.View()
	for _, s := range c.sessions {
		s.update()
	}
}

// update brings a subscriber to the newest revision.
func (s *session) update() {
	view := s.controller.view
	if !s.routing || view.Newest() <= s.sent {
		return
	}
	if s.sent != 0 {
		if delta, ok := view.Since(s.sent); ok {
			delta = distribution.Filter(delta, s.services)
			s.sent = delta.To
			s.send(wire.FromController{Delta: &delta})
			return
		}
	}
	snapshot := distribution.FilterSnapshot(s.controller.state.Routing(), s.services)
	s.sent = snapshot.Revision
	s.send(wire.FromController{Snapshot: &snapshot})
}

// sendAlive keeps the sessions known to live.
func (c *controller) sendAlive() {
	for _, s := range c.sessions {
		if s.routing {
			s.send(wire.FromController{Alive: c.alive(nil)})
		}
	}
}

func (c *controller) alive(ping *wire.Ping) *wire.Alive {
	message := &wire.Alive{Revision: c.view.Newest(), LeaderContact: c.contactAge()}
	if ping != nil {
		message.Answers = true
		message.PingSentAt = ping.SentAt
	}
	return message
}

// receive takes a message of a router or an agent.
func (s *session) receive(message wire.ToController) {
	c := s.controller
	switch {
	case message.Renew != nil:
		c.tracker.Applied(keyOf(s), s.hello.Boot, message.Renew.Applied, c.clock())
		s.renew(message.Renew)
	case message.Applied != nil:
		c.tracker.Applied(keyOf(s), s.hello.Boot, message.Applied.Revision, c.clock())
	case message.Warmed != nil:
		c.coordinator.Warmed(s.backend, message.Warmed)
	case message.Released != nil:
		c.coordinator.Released(s.backend, message.Released)
	case message.Ping != nil:
		c.tracker.RecordMessage(keyOf(s), s.hello.Boot, c.clock())
		s.send(wire.FromController{Alive: c.alive(message.Ping)})
	case message.RouterLoad != nil:
		c.tracker.RecordMessage(keyOf(s), s.hello.Boot, c.clock())
		if c.leads() {
			c.coordinator.RecordRouterLoad(s.hello.Name, message.RouterLoad, c.clock())
		}
	}
}

func (s *session) renew(renew *wire.Renew) {
	c := s.controller
	if s.backend == 0 || !c.leads() || c.agents[s.hello.Address] != s {
		return
	}
	ack := c.coordinator.Renew(s.backend, s.hello.Boot, renew, c.clock())
	if ack.Granted > 0 {
		c.cluster.checkOnlyLeader(c)
	}
	s.send(wire.FromController{RenewAck: &ack})
}
