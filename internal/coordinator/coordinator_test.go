package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/coordinator"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	lease = ownership.DefaultLeaseDuration
	renew = ownership.DefaultRenewInterval
	tick  = 10 * time.Millisecond
)

// harness drives one leader's coordinator on virtual time. Agents renew their
// leases unless they are cut off; batches are applied after commitDelay.
type harness struct {
	t           *testing.T
	now         time.Duration
	state       *controlstate.State
	coordinator *coordinator.Coordinator
	index       topology.Revision
	commitDelay time.Duration
	// earlierLeasesEnd is by when the leases of earlier leaders have ended, as the
	// election tells it; zero means unknown.
	earlierLeasesEnd time.Duration
	// uncommitted holds proposed batches until they are committed.
	uncommitted []pendingBatch
	agents      map[topology.BackendID]*simulatedAgent
	batches     int
}

type pendingBatch struct {
	at      time.Duration
	command controlstate.Command
}

// simulatedAgent is an agent on virtual time with a real ownership.Holder.
type simulatedAgent struct {
	id      topology.BackendID
	boot    uint64
	holder  *ownership.Holder
	applied topology.Revision
	// cutOff is set while no messages pass between the agent and the leader.
	cutOff  bool
	leaving bool
	// staleRouting agents apply no routing data, but renew their leases.
	staleRouting bool
	// ignoresMoves agents send neither Warmed nor Released.
	ignoresMoves bool
	// load is the load that the agent reports for its shards.
	load        []wire.ShardLoad
	nextRenewal time.Duration
}

func newHarness(t *testing.T, shards uint32, backends int) *harness {
	h := &harness{
		t:           t,
		now:         time.Minute,
		state:       controlstate.New(1),
		commitDelay: tick,
		agents:      make(map[topology.BackendID]*simulatedAgent),
	}
	h.configure(func(c *controlstate.Command) {
		c.CreateService = &controlstate.CreateService{
			Service: topology.Service{Name: "wayfinder", InitialShards: shards},
		}
	})
	for number := range backends {
		h.configure(func(c *controlstate.Command) {
			c.CreateBackend = &controlstate.CreateBackend{Service: "wayfinder", Backend: topology.Backend{
				Name:         fmt.Sprint("backend-", number+1),
				Location:     topology.Location{Region: "r", Zone: topology.ZoneName(fmt.Sprint("zone-", number%3))},
				AgentAddress: fmt.Sprintf("127.0.%d.%d:7201", 1+number/200, 1+number%200),
				Slots:        20, Connections: 100,
			}}
		})
		id := topology.BackendID(number + 1)
		h.agents[id] = &simulatedAgent{id: id, boot: uint64(id), holder: ownership.NewHolder(ownership.DefaultClockDrift)}
	}
	h.elect()
	return h
}

// elect starts the term of a new leader, which knows nothing but the log.
func (h *harness) elect() { h.electWith(coordinator.Config{}) }

func (h *harness) electWith(config coordinator.Config) {
	h.uncommitted = nil
	h.coordinator = coordinator.New(config, h.state)
	h.coordinator.BecomeLeaderAfter(h.earlierLeasesEnd, h.now)
	for _, agent := range h.agents {
		h.attach(agent)
	}
}

func (h *harness) attach(agent *simulatedAgent) {
	h.coordinator.Attach(agent.id, &wire.Hello{Boot: agent.boot, Applied: agent.applied}, h.now)
}

func (h *harness) configure(fill func(*controlstate.Command)) {
	h.t.Helper()
	configured, _ := h.state.Configuration()
	command := controlstate.Command{
		RequestID: fmt.Sprint("r", h.index), Author: "anna", ExpectedRevision: configured,
	}
	fill(&command)
	h.index++
	result, _ := h.state.Apply(h.index, command)
	assert.NilError(h.t, result.Err())
	if h.coordinator != nil {
		h.coordinator.ConfigurationChanged(h.now)
	}
}

// run advances the virtual time.
func (h *harness) run(length time.Duration) {
	for end := h.now + length; h.now < end; h.now += tick {
		h.step()
	}
}

// runUntil advances the virtual time until a condition holds and returns how
// long that took.
func (h *harness) runUntil(limit time.Duration, what string, done func() bool) time.Duration {
	h.t.Helper()
	begun := h.now
	for !done() {
		if h.now-begun > limit {
			h.t.Fatalf("no %s within %s", what, limit)
		}
		h.step()
		h.now += tick
	}
	return h.now - begun
}

func (h *harness) step() {
	for len(h.uncommitted) > 0 && h.uncommitted[0].at <= h.now {
		h.commit(h.uncommitted[0].command)
		h.uncommitted = h.uncommitted[1:]
	}
	for id := topology.BackendID(1); int(id) <= len(h.agents); id++ {
		h.stepAgent(h.agents[id])
	}
	if command, ok := h.coordinator.Tick(h.now, 0); ok {
		h.batches++
		h.uncommitted = append(h.uncommitted, pendingBatch{h.now + h.commitDelay, command})
	}
	h.checkExclusiveOwnership()
}

func (h *harness) commit(command controlstate.Command) {
	h.index++
	_, delta := h.state.Apply(h.index, command)
	h.coordinator.ShardsChanged(delta.Shards, h.now)
	h.coordinator.BatchDone(h.now)
}

func (h *harness) stepAgent(agent *simulatedAgent) {
	if agent.cutOff {
		return
	}
	if !agent.staleRouting {
		agent.applied = h.state.Revision()
		agent.holder.SetShards(h.state.Shards(1), agent.id)
	}
	if !agent.ignoresMoves {
		h.answerMoves(agent)
	}
	if h.now >= agent.nextRenewal {
		agent.nextRenewal = h.now + renew
		h.renew(agent, wire.Renew{Leaving: agent.leaving, Load: agent.load})
	}
}

func (h *harness) renew(agent *simulatedAgent, message wire.Renew) wire.RenewAck {
	message.SentAt = h.now
	message.Applied = agent.applied
	ack := h.coordinator.Renew(agent.id, agent.boot, &message, h.now)
	agent.holder.Granted(ack.SentAt, ack.Granted)
	return ack
}

func (h *harness) answerMoves(agent *simulatedAgent) {
	for _, id := range h.state.Moving() {
		shard, _ := h.state.Shard(id)
		switch {
		case shard.Phase == topology.ShardWarming && shard.Target == agent.id:
			h.coordinator.Warmed(agent.id, &wire.Warmed{Shard: id, Epoch: shard.Epoch})
		case shard.Phase == topology.ShardReleasing && shard.Owner == agent.id:
			h.coordinator.Released(agent.id, &wire.Released{Shard: id, Epoch: shard.Epoch})
		}
	}
}

// checkExclusiveOwnership fails the test if two agents, including those that are
// cut off, would serve the same shard now.
func (h *harness) checkExclusiveOwnership() {
	h.t.Helper()
	owners := make(map[topology.ShardID]topology.BackendID)
	for id, agent := range h.agents {
		for shard := range h.state.Shards(1) {
			for epoch := shard.Epoch; epoch+2 > shard.Epoch && epoch > 0; epoch-- {
				if agent.holder.Admits(shard.ID, epoch, h.now) != nil {
					continue
				}
				if other, taken := owners[shard.ID]; taken && other != id {
					h.t.Fatalf("at %s back ends %d and %d both serve shard %s", h.now, other, id, shard.ID)
				}
				owners[shard.ID] = id
			}
		}
	}
}

func (h *harness) ownedBy(id topology.BackendID) int { return len(h.state.OwnedBy(id)) }

func (h *harness) allOwned() bool {
	return len(h.state.Unassigned()) == 0 && len(h.state.Moving()) == 0
}

// newSteadyHarness returns a harness whose shards are spread over the back ends
// and whose agents renew their leases.
func newSteadyHarness(t *testing.T, shards uint32, backends int) *harness {
	h := newHarness(t, shards, backends)
	h.runUntil(5*time.Second, "first owners", h.allOwned)
	h.run(time.Second)
	return h
}

func TestFirstOwnersAreSpreadOverAllBackends(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	for id := topology.BackendID(1); id <= 3; id++ {
		assert.Equal(t, h.ownedBy(id), 4)
	}
}

// The coordinator's part of the recovery time is at most one lease after the last
// renewal, plus one tick and one commit. A killed, a frozen and a cut-off owner
// look the same to the leader.
func TestLossIsRecoveredWithinOneLease(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	h.agents[1].cutOff = true
	took := h.runUntil(2*time.Second, "recovery", func() bool { return h.ownedBy(1) == 0 })
	assert.Assert(t, took <= lease+3*tick, "took %s", took)
	assert.Equal(t, h.ownedBy(2)+h.ownedBy(3), 12)
}

func TestReturningAgentIsNotRenewedBeforeItAppliesItsRevocation(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	frozen := h.agents[1]
	frozen.cutOff = true
	h.runUntil(2*time.Second, "recovery", func() bool { return h.ownedBy(1) == 0 })
	ack := h.renew(frozen, wire.Renew{})
	assert.Equal(t, ack.Granted, time.Duration(0), "it has not applied the revision that took its shards")
	frozen.cutOff = false
	h.run(2 * renew)
	assert.Assert(t, frozen.holder.Valid(h.now))
}

func TestNoRenewalWhileRevocationIsInFlight(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	h.commitDelay = time.Hour
	frozen := h.agents[1]
	frozen.cutOff = true
	before := h.batches
	h.runUntil(2*time.Second, "recovery batch", func() bool { return h.batches > before })
	ack := h.renew(frozen, wire.Renew{})
	assert.Equal(t, ack.Granted, time.Duration(0))
}

// The new leader is elected right after the owner's last renewal with the old
// one, and has to wait until that lease has ended.
func TestNewLeaderWaitsForLeaseOfOwnerLostWithItsPredecessor(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	lost := h.agents[1]
	h.runUntil(time.Second, "renewal", func() bool { return lost.nextRenewal == h.now+renew-tick })
	lost.cutOff = true
	for _, agent := range h.agents {
		agent.nextRenewal = h.now
	}
	elected := h.now
	h.elect()
	h.runUntil(2*time.Second, "recovery", func() bool { return h.ownedBy(1) == 0 })
	took := h.now - elected
	assert.Assert(t, took >= lease, "took %s: a lease of the predecessor might have been valid", took)
	assert.Assert(t, took <= lease+4*tick, "took %s", took)
}

func TestNewLeaderKeepsLiveOwners(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	before := h.batches
	h.elect()
	h.run(2 * time.Second)
	assert.Equal(t, h.batches, before)
}

func TestZoneLossIsRecoveredInOneBatch(t *testing.T) {
	const shards, backends = 12_000, 30
	h := newHarness(t, shards, backends)
	h.coordinator.BatchDone(h.now)
	h.assignRoundRobin(shards, backends)
	h.now += lease // newly started processes get no lease earlier
	// Renew once directly: h.run would check all shards in each step.
	for _, agent := range h.agents {
		agent.applied = h.state.Revision()
		h.renew(agent, wire.Renew{})
	}
	h.now += lease / 2
	for id, agent := range h.agents {
		if id%3 != 1 {
			h.renew(agent, wire.Renew{})
		}
	}
	h.now += lease/2 + tick
	command, ok := h.coordinator.Tick(h.now, 0)
	assert.Assert(t, ok)
	assert.Equal(t, len(command.ChangeOwnership.Changes), shards/3)
	h.commit(command)
	for id := topology.BackendID(1); id <= backends; id += 3 {
		assert.Equal(t, h.ownedBy(id), 0)
	}
}

// assignRoundRobin assigns the shards to the back ends in turn.
func (h *harness) assignRoundRobin(shards, backends int) {
	batch := &controlstate.ChangeOwnership{}
	for number := range shards {
		batch.Changes = append(batch.Changes, controlstate.OwnershipChange{
			Shard: topology.ShardID{Service: 1, Shard: topology.ShardNumber(number + 1)},
			Event: ownership.EventAssign,
			To:    topology.BackendID(number%backends + 1),
		})
	}
	h.commit(controlstate.Command{ChangeOwnership: batch})
}

func TestDrainMovesAllShardsWithoutRevocation(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	h.configure(func(c *controlstate.Command) {
		c.SetBackendState = &controlstate.SetBackendState{
			Backend: controlstate.BackendName{Service: "wayfinder", Name: "backend-1"},
			State:   topology.BackendDraining,
		}
	})
	h.runUntil(10*time.Second, "drain", func() bool { return h.ownedBy(1) == 0 })
	info, _ := h.state.Backend(1)
	assert.Equal(t, info.RevokedAt, topology.Revision(0))
}

func TestLeavingMachineIsDrainedButNotTreatedAsLost(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	h.coordinator.SetLeavingMachines([]topology.BackendID{1}, h.now)
	h.agents[1].ignoresMoves = true
	h.run(time.Second)
	assert.Equal(t, h.ownedBy(1), 4, "an owner that has not released its shards keeps them")
	h.agents[1].ignoresMoves = false
	h.runUntil(10*time.Second, "drain", func() bool { return h.ownedBy(1) == 0 })
}

func TestMoveIsCancelledWhenItsTargetIsLost(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	for _, agent := range h.agents {
		agent.ignoresMoves = true
	}
	h.coordinator.SetLeavingMachines([]topology.BackendID{1}, h.now)
	h.runUntil(time.Second, "start of a move", func() bool { return len(h.state.Moving()) > 0 })
	id := h.state.Moving()[0]
	moving, _ := h.state.Shard(id)
	h.agents[moving.Target].cutOff = true
	h.runUntil(2*time.Second, "end of the move", func() bool {
		shard, _ := h.state.Shard(id)
		return shard.Target != moving.Target
	})
	shard, _ := h.state.Shard(id)
	assert.Equal(t, shard.Owner, topology.BackendID(1))
}

func TestMoveIsCancelledWhenItsTargetCannotPrepare(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	for _, agent := range h.agents {
		agent.ignoresMoves = true
	}
	h.coordinator.SetLeavingMachines([]topology.BackendID{1}, h.now)
	h.runUntil(time.Second, "start of a move", func() bool { return len(h.state.Moving()) > 0 })
	id := h.state.Moving()[0]
	moving, _ := h.state.Shard(id)
	h.coordinator.Warmed(moving.Target, &wire.Warmed{Shard: id, Epoch: moving.Epoch, Error: "no memory"})
	h.runUntil(time.Second, "end of the move", func() bool {
		history := h.state.History(id)
		return history[len(history)-1].Reason == "move given up: target cannot prepare: no memory"
	})
}

func TestShardsWaitForAnnouncedRestart(t *testing.T) {
	h := newHarness(t, 12, 3)
	h.configure(func(c *controlstate.Command) {
		service := topology.Service{Name: "wayfinder", InitialShards: 12}
		service.Placement.Weights = topology.PlacementWeights{Imbalance: 1, Churn: 3, Unavailable: 1}
		service.Placement.RestartGrace = 3 * time.Second
		c.UpdateService = &controlstate.UpdateService{Service: service}
	})
	h.runUntil(5*time.Second, "first owners", h.allOwned)
	h.run(time.Second)
	leaver := h.agents[1]
	leaver.leaving = true
	h.run(renew + tick)
	h.renew(leaver, wire.Renew{Leaving: true, Release: true})
	leaver.holder.Release()
	leaver.cutOff = true
	h.run(2 * time.Second)
	assert.Equal(t, h.ownedBy(1), 4, "the shards wait during the restart grace period")
	leaver.cutOff, leaver.leaving = false, false
	leaver.boot = 99
	leaver.applied = 0
	h.attach(leaver)
	h.run(3 * time.Second)
	assert.Equal(t, h.ownedBy(1), 4, "the restarted agent keeps its shards")
	assert.Assert(t, leaver.holder.Valid(h.now))
}

func TestSecondProcessOfBackendWaitsForLeaseOfTheFirst(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	first := h.agents[1]
	first.cutOff = true
	h.renew(first, wire.Renew{})
	second := &simulatedAgent{id: 1, boot: 77, holder: ownership.NewHolder(0), applied: h.state.Revision()}
	h.attach(second)
	assert.Equal(t, h.renew(second, wire.Renew{}).Granted, time.Duration(0))
	h.now += lease
	assert.Equal(t, h.renew(second, wire.Renew{}).Granted, lease)
}

// An agent that keeps renewing but never applies newer revisions must lose its
// lease.
func TestAgentStuckAtOldRevisionLosesItsLease(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	h.agents[1].staleRouting = true
	changed := h.now
	h.configure(func(c *controlstate.Command) {
		service := topology.Service{Name: "wayfinder", InitialShards: 12, DrainLimit: time.Second}
		c.UpdateService = &controlstate.UpdateService{Service: service}
	})
	h.run(coordinator.DefaultStuckTimeout)
	assert.Assert(t, h.agents[1].holder.Valid(h.now), "an agent that lags for less than the timeout keeps its lease")
	h.run(changed + coordinator.DefaultStuckTimeout + lease + 2*renew - h.now)
	assert.Assert(t, !h.agents[1].holder.Valid(h.now))
	assert.Assert(t, h.agents[2].holder.Valid(h.now))
}

// The lease duration was shortened between two leaders: the new one has to wait
// for the longer leases of the old one.
func TestLeaderWithShorterLeasesWaitsForItsPredecessors(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	h.index++
	h.state.Apply(h.index, controlstate.Command{AnnounceController: &controlstate.AnnounceController{
		Controller: controlstate.Controller{ID: 1}, LeaseDuration: lease,
	}})
	h.runUntil(time.Second, "renewal", func() bool { return h.agents[1].nextRenewal == h.now+renew-tick })
	h.agents[1].cutOff = true
	elected := h.now
	h.electWith(coordinator.Config{LeaseDuration: lease / 5})
	h.runUntil(2*time.Second, "recovery", func() bool { return h.ownedBy(1) == 0 })
	assert.Assert(t, h.now-elected >= lease, "took %s", h.now-elected)
}

// The leases of the previous leader ended during a long election, so the new
// leader must not wait for them again.
func TestLeasesThatEndedDuringElectionAreNotWaitedForAgain(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	lost := h.agents[1]
	lost.cutOff = true
	died := h.now
	h.earlierLeasesEnd = died + consensus.DefaultElectionTimeout
	h.now += 2 * consensus.DefaultElectionTimeout
	h.elect()
	h.runUntil(2*time.Second, "recovery", func() bool { return h.ownedBy(1) == 0 })
	took := h.now - died
	bound := consensus.DefaultElectionTimeout + lease
	assert.Assert(t, took >= bound, "took %s: a lease of the predecessor might have been valid", took)
	assert.Assert(t, took <= bound+4*tick, "took %s", took)
}

// A new leader can't know whether an earlier process of the same back end still
// holds a lease of the previous leader.
func TestNewProcessWaitsForALeaseOfThePredecessor(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	h.renew(h.agents[1], wire.Renew{})
	granted := h.now
	h.elect()
	second := &simulatedAgent{id: 1, boot: 77, holder: ownership.NewHolder(0)}
	h.attach(second)
	second.applied = h.state.Revision()
	assert.Equal(t, h.renew(second, wire.Renew{}).Granted, time.Duration(0))
	h.now = granted + lease
	assert.Equal(t, h.renew(second, wire.Renew{}).Granted, lease)
}

// A service is deleted and created again. The same keys belong to the new
// service's shards, and an agent that is cut off may still serve the old ones.
func TestRecreatedServiceWaitsForLeasesOfTheDeletedOne(t *testing.T) {
	h := newSteadyHarness(t, 4, 1)
	old := h.agents[1]
	h.configure(func(c *controlstate.Command) {
		c.SetBackendState = &controlstate.SetBackendState{
			Backend: controlstate.BackendName{Service: "wayfinder", Name: "backend-1"}, State: topology.BackendDraining,
		}
	})
	h.runUntil(time.Second, "renewal", func() bool { return old.nextRenewal == h.now+renew-tick })
	old.cutOff = true
	deleted := h.now
	h.configure(func(c *controlstate.Command) { c.DeleteService = &controlstate.DeleteService{Name: "wayfinder"} })
	h.configure(func(c *controlstate.Command) {
		c.CreateService = &controlstate.CreateService{Service: topology.Service{Name: "wayfinder", InitialShards: 4}}
	})
	h.configure(func(c *controlstate.Command) {
		c.CreateBackend = &controlstate.CreateBackend{Service: "wayfinder", Backend: topology.Backend{
			Name: "backend-2", Location: topology.Location{Region: "r", Zone: "z"},
			AgentAddress: "127.0.9.1:7201", Slots: 20, Connections: 100,
		}}
	})
	h.agents[2] = &simulatedAgent{id: 2, boot: 2, holder: ownership.NewHolder(ownership.DefaultClockDrift)}
	h.attach(h.agents[2])
	h.runUntil(3*time.Second, "new owners", func() bool { return h.ownedBy(2) == 4 })
	assert.Assert(t, h.now-deleted >= lease, "after %s the old owner may still serve", h.now-deleted)
	assert.Assert(t, !old.holder.Valid(h.now))
}
