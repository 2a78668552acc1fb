package controller

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// leadershipTransferTimeout limits the leadership transfer in Stop, including
	// the redirection of the agents.
	leadershipTransferTimeout = time.Second
	// redirectTimeout is how long a controller that lost leadership waits for the
	// new leader's address before it redirects its agents without one. Agents
	// give up a session without answers after three renewals.
	redirectTimeout = 250 * time.Millisecond
	// leaderWaitTimeout is how long an agent's handshake waits at a controller
	// that does not lead until some controller does. It is shorter than the
	// agent's timeout for Welcome.
	leaderWaitTimeout = 400 * time.Millisecond
	// leaderPollInterval is how often a goroutine that waits for a leader, or for
	// the redirection of the agents, checks again.
	leaderPollInterval = 10 * time.Millisecond
)

// transferLeadership transfers leadership to another voter before a graceful
// stop and waits until the agents are redirected there, so that their leases
// don't expire during an election.
func (c *Controller) transferLeadership() {
	status := c.replica.Status()
	if !c.leads(c.replica.Now()) {
		return
	}
	target := status.TransferTarget()
	if target == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancel()
	if err := c.replica.TransferLeadership(ctx, target); err != nil {
		c.log.Warn("leadership transfer failed", "to", target, "error", err)
		return
	}
	c.log.Info("leadership transferred", "to", target)
	c.waitAgentsRedirected(ctx)
}

// waitAgentsRedirected waits until no agent has a session here and no
// redirection is pending.
func (c *Controller) waitAgentsRedirected(ctx context.Context) {
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	for {
		redirected := make(chan bool, 1)
		c.replica.Post(func() { redirected <- len(c.agents) == 0 && c.redirectDeadline == 0 })
		select {
		case done := <-redirected:
			if done {
				return
			}
		case <-ctx.Done():
			return
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// redirectPendingAgents redirects the agents left from an ended leadership once
// the new leader's address is known, or without an address after
// redirectTimeout.
func (c *Controller) redirectPendingAgents(now time.Duration, status consensus.Status) {
	if c.redirectDeadline == 0 {
		return
	}
	address := c.leaderSessionAddress(status)
	if address == "" && now < c.redirectDeadline {
		return
	}
	c.redirectDeadline = 0
	c.redirectAgents(address)
}

// waitForLeader waits until this controller leads or knows another leader, and
// returns the Welcome message for that state. An agent that waits here reaches
// the new leader as soon as there is one; one that had to retry later would
// lose its lease.
func (s *session) waitForLeader(register func(*wire.Welcome)) (welcome wire.Welcome, open bool) {
	c := s.controller
	deadline := time.Now().Add(leaderWaitTimeout)
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	for {
		if !s.runOnControl(func() {
			welcome = c.welcome()
			if welcome.Leader {
				register(&welcome)
			}
		}) {
			return welcome, false
		}
		otherLeads := welcome.LeaderAddress != "" && welcome.LeaderAddress != c.sessionAddress()
		if welcome.Leader || otherLeads || time.Now().After(deadline) {
			return welcome, true
		}
		select {
		case <-ticker.C:
		case <-s.closed:
			return welcome, false
		}
	}
}
