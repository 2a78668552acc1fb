package controller

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// agentSessionsByAddress maps an agent's address to its session. It is accessed
// only on the control goroutine.
type agentSessionsByAddress map[string]*session

// serveAgent serves an agent if this controller leads, and otherwise tells it
// the leader's address.
func (s *session) serveAgent() {
	c := s.controller
	welcome, open := s.waitForLeader(func(welcome *wire.Welcome) {
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
	s.exchangeMessages()
	s.postToControl(func() { c.unregisterAgent(s) })
}

// postToControl runs event on the control goroutine without waiting for it, so
// it also runs after the session has ended.
func (s *session) postToControl(event func()) { s.controller.replica.Post(event) }

// registerAgent makes s the session of its agent's address and closes an
// earlier session of the same address.
func (c *Controller) registerAgent(s *session) {
	if earlier, ok := c.agents[s.hello.Address]; ok && earlier != s {
		earlier.close()
	}
	c.agents[s.hello.Address] = s
	c.resolveBackend(s, c.replica.Now())
}

func (c *Controller) unregisterAgent(s *session) {
	if c.agents[s.hello.Address] == s {
		delete(c.agents, s.hello.Address)
	}
}

// resolveBackend looks up the back end that the agent serves, by the agent's
// address. It reports whether the result has changed.
func (c *Controller) resolveBackend(s *session, now time.Duration) bool {
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
	s.outbox.setRouting([]topology.ServiceID{info.Service})
	return true
}

// resolveAgentBackends looks up the agents' back ends again after a
// configuration change.
func (c *Controller) resolveAgentBackends(now time.Duration) {
	for _, s := range c.agents {
		if !c.resolveBackend(s, now) {
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

// renew answers a lease renewal. It runs on the control goroutine. Without the
// leader lease it sends no answer, and the agent gives up after its timeout.
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

// redirectAgents redirects all agents to the new leader. The address is empty
// if the leader is not known.
func (c *Controller) redirectAgents(address string) {
	for _, s := range c.agents {
		s.backend = 0
		s.outbox.redirect(address)
	}
	clear(c.agents)
}

// recordRouterLoad passes a router's load report to the coordinator, or keeps
// it for the relay to the leader if this controller does not lead.
func (c *Controller) recordRouterLoad(router string, load *wire.RouterLoad) {
	c.replica.Post(func() {
		if c.leads(c.replica.Now()) {
			c.coordinator.RecordRouterLoad(router, load, c.replica.Now())
			return
		}
		c.relay.addLoad(router, load)
	})
}
