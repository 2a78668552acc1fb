package simulate

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
)

// follow watches the replica's role and, at the leader, proposes the
// coordinator's next batch.
func (c *controller) follow(status consensus.Status) {
	now := c.clock()
	if c.term != 0 && (status.Role != consensus.Leader || status.Term != c.term) {
		c.stepDown()
	}
	if !c.mayAct(status, now) {
		return
	}
	if c.term != status.Term {
		c.announce(status)
		return
	}
	if command, ok := c.coordinator.Tick(now, c.unixMilli()); ok {
		c.proposeBatch(command)
	}
}

// mayAct reports whether this replica may act as the leader.
func (c *controller) mayAct(status consensus.Status, now time.Duration) bool {
	if c.cluster.has(DefectNoLeaderLease) {
		return status.Role == consensus.Leader
	}
	return status.IsLeader(now)
}

// announce proposes the first command of a term; once it is applied, so is
// everything of earlier terms.
func (c *controller) announce(status consensus.Status) {
	if c.announcing == status.Term {
		return
	}
	self := controlstate.Controller{
		ID: status.ID, Incarnation: status.Incarnation,
		PeerAddress: c.name, SessionAddress: c.name, RPCAddress: c.name,
	}
	command := controlstate.Command{
		UnixMilli:          c.unixMilli(),
		AnnounceController: &controlstate.AnnounceController{Controller: self},
	}
	term := status.Term
	proposed := c.propose(command, func(_ controlstate.Result, committed bool) {
		if committed {
			c.announced(term)
			return
		}
		c.announcing = 0
	})
	if proposed {
		c.announcing = term
	}
}

func (c *controller) announced(term uint64) {
	status := c.status()
	if status.Role != consensus.Leader || status.Term != term {
		return
	}
	c.term = term
	c.coordinator.BecomeLeader(c.leadsSince())
	c.subscribers.becomeLeader(c.clock())
	c.world.note("leader", uint64(status.ID), term)
}

// leadsSince is when this leader believes to have begun.
func (c *controller) leadsSince() time.Duration {
	if c.cluster.has(DefectNoSettling) {
		return c.clock() - 2*ownership.DefaultLeaseDuration
	}
	return c.clock()
}

func (c *controller) stepDown() {
	c.term, c.announcing = 0, 0
	c.coordinator.StepDown()
	c.subscribers.stepDown()
	address := c.leaderName()
	for _, s := range c.sessions {
		if c.agents[s.hello.Address] == s {
			s.backend = 0
			s.redirect(address)
		}
	}
	clear(c.agents)
}

// leads reports whether this controller may act as the leader now.
func (c *controller) leads() bool {
	status := c.status()
	return c.term != 0 && c.term == status.Term && c.mayAct(status, c.clock())
}

// leaderName is the address of the leader as this controller knows it.
func (c *controller) leaderName() string {
	known, ok := c.state.Controller(c.status().Leader)
	if !ok {
		return ""
	}
	return known.SessionAddress
}

func (c *controller) proposeBatch(command controlstate.Command) {
	term := c.term
	done := func() {
		if c.term == term {
			c.coordinator.BatchDone(c.clock())
		}
	}
	// A batch that was replaced by another leader's entry is certainly not
	// applied; one whose outcome never becomes known blocks until this leader
	// steps down.
	if !c.propose(command, func(controlstate.Result, bool) { done() }) {
		done()
	}
}

// confirmFreshness confirms again and again that this controller holds the
// newest state.
func (c *controller) confirmFreshness() {
	asked := c.clock()
	c.barrier(func(confirmed bool) {
		if confirmed && (!c.confirmedKnown || asked > c.confirmed) {
			c.confirmed, c.confirmedKnown = asked, true
			c.greetWaiting()
		}
	})
	c.after(barrierInterval, c.confirmFreshness)
}

const barrierInterval = 100 * time.Millisecond

// barrier ends once all that was committed before is applied here: confirmed
// by this replica if it leads, by the leader otherwise.
func (c *controller) barrier(done func(confirmed bool)) {
	if c.core == nil {
		return
	}
	if c.core.Role() == consensus.Leader {
		c.readIndex(done)
		return
	}
	leader := c.cluster.controllerNamed(c.leaderName())
	if leader == nil || leader == c {
		return
	}
	c.cluster.network.send(c.process, leader.process, func() { leader.answerBarrier(c, done) }, nil)
}

// answerBarrier tells a controller that follows the newest revision.
func (c *controller) answerBarrier(to *controller, done func(confirmed bool)) {
	toLife := to.life
	c.readIndex(func(confirmed bool) {
		if !confirmed {
			return
		}
		index := c.status().Applied
		c.cluster.network.send(c.process, to.process, func() {
			if to.life != toLife || to.core == nil {
				return
			}
			to.barriers = append(to.barriers, barrier{index, done})
			to.releaseBarriers()
		}, nil)
	})
}

// contactAge is how long ago this controller was last known to have the newest
// state.
func (c *controller) contactAge() time.Duration { return c.clock() - c.confirmed }
