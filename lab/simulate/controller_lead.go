package simulate

import (
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
)

// follow watches the replica's role and, at the leader, proposes the
// coordinator's next batch.
func (c *controller) follow(status consensus.Status) {
	c.pretend(&status)
	duty := c.leadership.Tick(&status, c.clock())
	if duty.StepDown {
		c.stepDown()
	}
	if duty.Announce {
		c.announce(status)
	}
	if !duty.MayAct {
		return
	}
	if command, ok := c.coordinator.Tick(c.clock(), c.unixMilli()); ok {
		c.cluster.checkOnlyLeader(c)
		c.cluster.checkTaken(c, command.ChangeOwnership)
		c.proposeBatch(command)
	}
}

// pretend lets a defect make the leader lease endless.
func (c *controller) pretend(status *consensus.Status) {
	if c.cluster.has(DefectNoLeaderLease) && status.Role == consensus.Leader {
		status.LeaseUntil = math.MaxInt64
	}
}

// announce proposes the first command of a term; once it is applied, so is
// everything of earlier terms.
func (c *controller) announce(status consensus.Status) {
	self := controlstate.Controller{
		ID: status.ID, Incarnation: status.Incarnation,
		PeerAddress: c.name, SessionAddress: c.name, RPCAddress: c.name,
	}
	command := controlstate.Command{
		UnixMilli:          c.unixMilli(),
		AnnounceController: &controlstate.AnnounceController{Controller: self, LeaseDuration: leaseDuration},
	}
	term := status.Term
	proposed := c.propose(command, func(_ controlstate.Result, committed bool) { c.announced(term, committed) })
	if !proposed {
		c.leadership.Refused(term)
	}
}

func (c *controller) announced(term uint64, committed bool) {
	if !committed {
		c.leadership.Refused(term)
		return
	}
	status := c.status()
	if !c.leadership.Announced(&status, term) {
		return
	}
	c.coordinator.BecomeLeaderAfter(c.earlierLeasesEnd(&status), c.clock())
	c.tracker.BecomeLeader(c.clock())
	c.world.note("leader", uint64(status.ID), term)
}

// earlierLeasesEnd is when no leader before this one acts any more.
func (c *controller) earlierLeasesEnd(status *consensus.Status) time.Duration {
	if c.cluster.has(DefectNoSettling) {
		return c.clock() - time.Minute
	}
	return status.EarlierLeasesEnd
}

func (c *controller) stepDown() {
	c.coordinator.StepDown()
	c.tracker.StepDown()
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
	c.pretend(&status)
	return c.leadership.MayAct(&status, c.clock())
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
	term := c.leadership.Term()
	done := func() {
		if c.leadership.Term() == term {
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
		if confirmed && c.freshness.Confirm(asked) {
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
	life := c.life
	c.cluster.network.send(c.process, leader.process, func() { leader.answerBarrier(c, life, done) }, nil)
}

// answerBarrier tells a controller that follows the newest revision.
func (c *controller) answerBarrier(to *controller, toLife uint64, done func(confirmed bool)) {
	c.readIndex(func(confirmed bool) {
		if !confirmed {
			return
		}
		index := c.status().Applied
		c.cluster.network.answer(c.process, to.process, toLife, func() {
			if to.core == nil {
				return
			}
			to.barriers = append(to.barriers, barrier{index, done})
			to.releaseBarriers()
		})
	})
}

// contactAge is how long ago this controller was last known to have the newest
// state.
func (c *controller) contactAge() time.Duration { return c.freshness.Age(c.clock()) }
