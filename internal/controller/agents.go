package controller

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// agentSessions holds the sessions of agents by their address; it belongs to
// the control goroutine.
type agentSessions map[string]*session

// serveAgent serves an agent at the leader and sends it there otherwise.
func (s *session) serveAgent() {
	c := s.controller
	welcome, open := s.awaitLeader(func(welcome *wire.Welcome) {
		c.registerAgent(s)
		welcome.Backend, welcome.Service = s.backend, s.service()
	})
	if !open {
		return
	}
	if !welcome.Leader {
		_ = s.conn.Send(wire.FromController{Welcome: &welcome})
		return
	}
	s.outbox.welcome(welcome)
	s.converse()
	s.onControlAfterEnd(func() { c.forgetAgent(s) })
}

// onControlAfterEnd posts an event without waiting for it.
func (s *session) onControlAfterEnd(event func()) { s.controller.replica.Post(event) }

// registerAgent makes a session the one of its address; an earlier one ends.
func (c *Controller) registerAgent(s *session) {
	if earlier, ok := c.agents[s.hello.Address]; ok && earlier != s {
		earlier.close()
	}
	c.agents[s.hello.Address] = s
	c.identify(s, c.replica.Now())
}

func (c *Controller) forgetAgent(s *session) {
	if c.agents[s.hello.Address] == s {
		delete(c.agents, s.hello.Address)
	}
}

// identify finds the back end beside an agent. It reports whether the identity
// has changed.
func (c *Controller) identify(s *session, now time.Duration) bool {
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
	c.coordinator.Attach(info.ID, &s.hello, now)
	s.outbox.route([]topology.ServiceID{info.Service})
	return true
}

// identifyAgents finds the back ends anew after a change of configuration.
func (c *Controller) identifyAgents(now time.Duration) {
	for _, s := range c.agents {
		if !c.identify(s, now) {
			continue
		}
		welcome := c.welcome()
		welcome.Backend, welcome.Service = s.backend, s.service()
		s.outbox.welcome(welcome)
	}
}

func (s *session) service() topology.ServiceID {
	info, _ := s.controller.state.Backend(s.backend)
	return info.Service
}

// renew answers a renewal; on the control goroutine. Without the leader lease
// nothing is granted, and the agent's wait ends it.
func (s *session) renew(renew *wire.Renew) {
	c := s.controller
	now := c.replica.Now()
	if s.backend == 0 || !c.leads(now) || c.agents[s.hello.Address] != s {
		c.metrics.refusedRenewals.Inc()
		return
	}
	ack := c.coordinator.Renew(s.backend, s.hello.Boot, renew, now)
	if ack.Granted > 0 {
		c.metrics.renewals.Inc()
	} else {
		c.metrics.refusedRenewals.Inc()
	}
	s.outbox.renewAck(ack)
}

// redirectAgents sends all agents to the new leader, if it is known.
func (c *Controller) redirectAgents(address string) {
	for _, s := range c.agents {
		s.backend = 0
		s.outbox.redirect(address)
	}
	clear(c.agents)
}

// takeRouterLoad hands a router's report to the leader.
func (c *Controller) takeRouterLoad(router string, load *wire.RouterLoad) {
	c.replica.Post(func() {
		if c.leads(c.replica.Now()) {
			c.coordinator.RouterLoad(router, load, c.replica.Now())
			return
		}
		c.relay.addLoad(router, load)
	})
}
