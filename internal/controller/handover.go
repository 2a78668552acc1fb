package controller

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// handOverLimit bounds the transfer of leadership at a planned stop, until
	// the agents were sent to the new leader.
	handOverLimit = time.Second
	// redirectPatience is how long a controller that lost leadership waits to
	// learn the new leader's address before it sends its agents away without.
	// Agents give a silent session up after three renewals.
	redirectPatience = 250 * time.Millisecond
	// welcomePatience is how long an agent waits at a controller that does not
	// lead until one does. It is below the agent's wait for Welcome.
	welcomePatience = 400 * time.Millisecond
	// leaderPoll is how often a waiting session looks.
	leaderPoll = 10 * time.Millisecond
)

// handOver gives leadership to another voter before a planned stop and waits
// until the agents were sent there, so that their leases don't run out in an
// election.
func (c *Controller) handOver() {
	status := c.replica.Status()
	if !c.leads(c.replica.Now()) {
		return
	}
	target := status.Successor()
	if target == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverLimit)
	defer cancel()
	if err := c.replica.TransferLeadership(ctx, target); err != nil {
		c.log.Warn("leadership not handed over", "to", target, "error", err)
		return
	}
	c.log.Info("leadership handed over", "to", target)
	c.awaitAgentsGone(ctx)
}

// awaitAgentsGone waits until no agent has a session here.
func (c *Controller) awaitAgentsGone(ctx context.Context) {
	ticker := time.NewTicker(leaderPoll)
	defer ticker.Stop()
	for {
		gone := make(chan bool, 1)
		c.replica.Post(func() { gone <- len(c.agents) == 0 && c.redirectBy == 0 })
		select {
		case empty := <-gone:
			if empty {
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

// sendAgentsOn sends the agents of an earlier leadership to the new leader once
// its address is known, and away without one after redirectPatience.
func (c *Controller) sendAgentsOn(now time.Duration, status consensus.Status) {
	if c.redirectBy == 0 {
		return
	}
	address := c.leaderSessionAddress(status)
	if address == "" && now < c.redirectBy {
		return
	}
	c.redirectBy = 0
	c.redirectAgents(address)
}

// awaitLeader waits until this controller leads or knows which other one does,
// and returns what it then is. An agent that waits here is back at a leader as
// soon as there is one, where one that tries again later loses its lease.
func (s *session) awaitLeader(register func(*wire.Welcome)) (welcome wire.Welcome, open bool) {
	c := s.controller
	deadline := time.Now().Add(welcomePatience)
	ticker := time.NewTicker(leaderPoll)
	defer ticker.Stop()
	for {
		if !s.onControl(func() {
			welcome = c.welcome()
			if welcome.Leader {
				register(&welcome)
			}
		}) {
			return welcome, false
		}
		elsewhere := welcome.LeaderAddress != "" && welcome.LeaderAddress != c.sessionAddress()
		if welcome.Leader || elsewhere || time.Now().After(deadline) {
			return welcome, true
		}
		select {
		case <-ticker.C:
		case <-s.closed:
			return welcome, false
		}
	}
}
