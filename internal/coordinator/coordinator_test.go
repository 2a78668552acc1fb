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

// script drives one leader's coordinator on virtual time. Agents renew by
// themselves unless they are cut off; batches are applied after commitDelay.
type script struct {
	t           *testing.T
	now         time.Duration
	state       *controlstate.State
	coordinator *coordinator.Coordinator
	index       topology.Revision
	commitDelay time.Duration
	// leasesEnd is what the election tells of earlier leaders; zero is nothing.
	leasesEnd time.Duration
	pending   []pendingBatch
	agents    map[topology.BackendID]*scriptedAgent
	batches   int
}

type pendingBatch struct {
	at      time.Duration
	command controlstate.Command
}

// scriptedAgent is an agent on virtual time with a real holder.
type scriptedAgent struct {
	id      topology.BackendID
	boot    uint64
	holder  *ownership.Holder
	applied topology.Revision
	// cutOff agents exchange nothing with the leader.
	cutOff  bool
	leaving bool
	// deaf agents take no routing data, but renew.
	deaf bool
	// stuck agents answer neither with Warmed nor with Released.
	stuck bool
	// load is what the agent reports of its shards.
	load   []wire.ShardLoad
	renews time.Duration
}

func newScript(t *testing.T, shards uint32, backends int) *script {
	s := &script{
		t:           t,
		now:         time.Minute,
		state:       controlstate.New(1),
		commitDelay: tick,
		agents:      make(map[topology.BackendID]*scriptedAgent),
	}
	s.configure(func(c *controlstate.Command) {
		c.CreateService = &controlstate.CreateService{
			Service: topology.Service{Name: "wayfinder", InitialShards: shards},
		}
	})
	for number := range backends {
		s.configure(func(c *controlstate.Command) {
			c.CreateBackend = &controlstate.CreateBackend{Service: "wayfinder", Backend: topology.Backend{
				Name:         fmt.Sprint("backend-", number+1),
				Location:     topology.Location{Region: "r", Zone: topology.ZoneName(fmt.Sprint("zone-", number%3))},
				AgentAddress: fmt.Sprintf("127.0.%d.%d:7201", 1+number/200, 1+number%200),
				Slots:        20, Connections: 100,
			}}
		})
		id := topology.BackendID(number + 1)
		s.agents[id] = &scriptedAgent{id: id, boot: uint64(id), holder: ownership.NewHolder(ownership.DefaultClockDrift)}
	}
	s.elect()
	return s
}

// elect starts the term of a new leader, which knows the log only.
func (s *script) elect() { s.electWith(coordinator.Config{}) }

func (s *script) electWith(config coordinator.Config) {
	s.pending = nil
	s.coordinator = coordinator.New(config, s.state)
	s.coordinator.BecomeLeaderAfter(s.leasesEnd, s.now)
	for _, agent := range s.agents {
		s.attach(agent)
	}
}

func (s *script) attach(agent *scriptedAgent) {
	s.coordinator.Attach(agent.id, &wire.Hello{Boot: agent.boot, Applied: agent.applied}, s.now)
}

func (s *script) configure(fill func(*controlstate.Command)) {
	s.t.Helper()
	configured, _ := s.state.Configuration()
	command := controlstate.Command{
		RequestID: fmt.Sprint("r", s.index), Author: "anna", ExpectedRevision: configured,
	}
	fill(&command)
	s.index++
	result, _ := s.state.Apply(s.index, command)
	assert.NilError(s.t, result.Err())
	if s.coordinator != nil {
		s.coordinator.ConfigurationChanged(s.now)
	}
}

// run lets time pass.
func (s *script) run(length time.Duration) {
	for end := s.now + length; s.now < end; s.now += tick {
		s.step()
	}
}

// runUntil lets time pass until a condition holds and returns how long it took.
func (s *script) runUntil(limit time.Duration, what string, done func() bool) time.Duration {
	s.t.Helper()
	begun := s.now
	for !done() {
		if s.now-begun > limit {
			s.t.Fatalf("%s: not within %s", what, limit)
		}
		s.step()
		s.now += tick
	}
	return s.now - begun
}

func (s *script) step() {
	for len(s.pending) > 0 && s.pending[0].at <= s.now {
		s.commit(s.pending[0].command)
		s.pending = s.pending[1:]
	}
	for id := topology.BackendID(1); int(id) <= len(s.agents); id++ {
		s.stepAgent(s.agents[id])
	}
	if command, ok := s.coordinator.Tick(s.now, 0); ok {
		s.batches++
		s.pending = append(s.pending, pendingBatch{s.now + s.commitDelay, command})
	}
	s.checkSoleOwners()
}

func (s *script) commit(command controlstate.Command) {
	s.index++
	_, delta := s.state.Apply(s.index, command)
	s.coordinator.ShardsChanged(delta.Shards, s.now)
	s.coordinator.BatchDone(s.now)
}

func (s *script) stepAgent(agent *scriptedAgent) {
	if agent.cutOff {
		return
	}
	if !agent.deaf {
		agent.applied = s.state.Revision()
		agent.holder.SetShards(s.state.Shards(1), agent.id)
	}
	if !agent.stuck {
		s.answerMoves(agent)
	}
	if s.now >= agent.renews {
		agent.renews = s.now + renew
		s.renew(agent, wire.Renew{Leaving: agent.leaving, Load: agent.load})
	}
}

func (s *script) renew(agent *scriptedAgent, message wire.Renew) wire.RenewAck {
	message.SentAt = s.now
	message.Applied = agent.applied
	ack := s.coordinator.Renew(agent.id, agent.boot, &message, s.now)
	agent.holder.Granted(ack.SentAt, ack.Granted)
	return ack
}

func (s *script) answerMoves(agent *scriptedAgent) {
	for _, id := range s.state.Moving() {
		shard, _ := s.state.Shard(id)
		switch {
		case shard.Phase == topology.ShardWarming && shard.Target == agent.id:
			s.coordinator.Warmed(agent.id, &wire.Warmed{Shard: id, Epoch: shard.Epoch})
		case shard.Phase == topology.ShardReleasing && shard.Owner == agent.id:
			s.coordinator.Released(agent.id, &wire.Released{Shard: id, Epoch: shard.Epoch})
		}
	}
}

// checkSoleOwners asks every agent, also those that are cut off, what it would
// serve now.
func (s *script) checkSoleOwners() {
	s.t.Helper()
	owners := make(map[topology.ShardID]topology.BackendID)
	for id, agent := range s.agents {
		for shard := range s.state.Shards(1) {
			for epoch := shard.Epoch; epoch+2 > shard.Epoch && epoch > 0; epoch-- {
				if agent.holder.Admits(shard.ID, epoch, s.now) != nil {
					continue
				}
				if other, taken := owners[shard.ID]; taken && other != id {
					s.t.Fatalf("at %s back ends %d and %d both serve shard %s", s.now, other, id, shard.ID)
				}
				owners[shard.ID] = id
			}
		}
	}
}

func (s *script) ownedBy(id topology.BackendID) int { return len(s.state.OwnedBy(id)) }

func (s *script) allOwned() bool {
	return len(s.state.Unassigned()) == 0 && len(s.state.Moving()) == 0
}

// settled returns a script whose shards are spread and whose agents renew.
func settled(t *testing.T, shards uint32, backends int) *script {
	s := newScript(t, shards, backends)
	s.runUntil(5*time.Second, "first owners", s.allOwned)
	s.run(time.Second)
	return s
}

func TestFirstOwnersAreSpreadOverAllBackends(t *testing.T) {
	s := settled(t, 12, 3)
	for id := topology.BackendID(1); id <= 3; id++ {
		assert.Equal(t, s.ownedBy(id), 4)
	}
}

// TestLossIsRecoveredWithinBudget gives the terms of the time budget that the
// coordinator owns: from the last renewal at most one lease, one tick and one
// commit. Kill, freeze and cut-off look the same to the leader.
func TestLossIsRecoveredWithinBudget(t *testing.T) {
	s := settled(t, 12, 3)
	s.agents[1].cutOff = true
	took := s.runUntil(2*time.Second, "recovery", func() bool { return s.ownedBy(1) == 0 })
	assert.Assert(t, took <= lease+3*tick, "took %s", took)
	assert.Equal(t, s.ownedBy(2)+s.ownedBy(3), 12)
}

func TestReturningAgentLearnsOfItsLossBeforeItsLeaseIsRenewed(t *testing.T) {
	s := settled(t, 12, 3)
	frozen := s.agents[1]
	frozen.cutOff = true
	s.runUntil(2*time.Second, "recovery", func() bool { return s.ownedBy(1) == 0 })
	ack := s.renew(frozen, wire.Renew{})
	assert.Equal(t, ack.Granted, time.Duration(0), "it has not seen the revision that took its shards")
	frozen.cutOff = false
	s.run(2 * renew)
	assert.Assert(t, frozen.holder.Valid(s.now))
}

func TestNoRenewalWhileRecoveryIsOnItsWay(t *testing.T) {
	s := settled(t, 12, 3)
	s.commitDelay = time.Hour
	frozen := s.agents[1]
	frozen.cutOff = true
	before := s.batches
	s.runUntil(2*time.Second, "a batch", func() bool { return s.batches > before })
	ack := s.renew(frozen, wire.Renew{})
	assert.Equal(t, ack.Granted, time.Duration(0))
}

// TestControllerAndOwnerLostAtOnce elects a new leader right after the owner's
// last renewal with the old one: the new leader waits out that lease.
func TestControllerAndOwnerLostAtOnce(t *testing.T) {
	s := settled(t, 12, 3)
	lost := s.agents[1]
	s.runUntil(time.Second, "a renewal", func() bool { return lost.renews == s.now+renew-tick })
	lost.cutOff = true
	for _, agent := range s.agents {
		agent.renews = s.now
	}
	elected := s.now
	s.elect()
	s.runUntil(2*time.Second, "recovery", func() bool { return s.ownedBy(1) == 0 })
	took := s.now - elected
	assert.Assert(t, took >= lease, "took %s: a lease of the predecessor might have been valid", took)
	assert.Assert(t, took <= lease+4*tick, "took %s", took)
}

func TestNewLeaderLeavesLiveOwnersAlone(t *testing.T) {
	s := settled(t, 12, 3)
	before := s.batches
	s.elect()
	s.run(2 * time.Second)
	assert.Equal(t, s.batches, before)
}

func TestZoneLossIsRecoveredInOneBatch(t *testing.T) {
	const shards, backends = 12_000, 30
	s := newScript(t, shards, backends)
	s.coordinator.BatchDone(s.now)
	s.spreadByHand(shards, backends)
	s.now += lease // processes that have just started get no lease earlier
	// Renew once, without the cost of the full check per step.
	for _, agent := range s.agents {
		agent.applied = s.state.Revision()
		s.renew(agent, wire.Renew{})
	}
	s.now += lease / 2
	for id, agent := range s.agents {
		if id%3 != 1 {
			s.renew(agent, wire.Renew{})
		}
	}
	s.now += lease/2 + tick
	command, ok := s.coordinator.Tick(s.now, 0)
	assert.Assert(t, ok)
	assert.Equal(t, len(command.ChangeOwnership.Changes), shards/3)
	s.commit(command)
	for id := topology.BackendID(1); id <= backends; id += 3 {
		assert.Equal(t, s.ownedBy(id), 0)
	}
}

// spreadByHand gives every shard an owner in turn.
func (s *script) spreadByHand(shards, backends int) {
	batch := &controlstate.ChangeOwnership{}
	for number := range shards {
		batch.Changes = append(batch.Changes, controlstate.OwnershipChange{
			Shard: topology.ShardID{Service: 1, Shard: topology.ShardNumber(number + 1)},
			Event: ownership.EventAssign,
			To:    topology.BackendID(number%backends + 1),
		})
	}
	s.commit(controlstate.Command{ChangeOwnership: batch})
}

func TestDrainMovesEverythingWithoutRevoking(t *testing.T) {
	s := settled(t, 12, 3)
	s.configure(func(c *controlstate.Command) {
		c.SetBackendState = &controlstate.SetBackendState{
			Backend: controlstate.BackendName{Service: "wayfinder", Name: "backend-1"},
			State:   topology.BackendDraining,
		}
	})
	s.runUntil(10*time.Second, "drain", func() bool { return s.ownedBy(1) == 0 })
	info, _ := s.state.Backend(1)
	assert.Equal(t, info.RevokedAt, topology.Revision(0))
}

func TestMachineListStartsADrainAndProvesNothing(t *testing.T) {
	s := settled(t, 12, 3)
	s.coordinator.MachineList([]topology.BackendID{1}, s.now)
	s.agents[1].stuck = true
	s.run(time.Second)
	assert.Equal(t, s.ownedBy(1), 4, "an owner that did not release keeps its shards")
	s.agents[1].stuck = false
	s.runUntil(10*time.Second, "drain", func() bool { return s.ownedBy(1) == 0 })
}

func TestMoveIsGivenUpWhenItsTargetIsLost(t *testing.T) {
	s := settled(t, 12, 3)
	for _, agent := range s.agents {
		agent.stuck = true
	}
	s.coordinator.MachineList([]topology.BackendID{1}, s.now)
	s.runUntil(time.Second, "a move", func() bool { return len(s.state.Moving()) > 0 })
	id := s.state.Moving()[0]
	moving, _ := s.state.Shard(id)
	s.agents[moving.Target].cutOff = true
	s.runUntil(2*time.Second, "the move's end", func() bool {
		shard, _ := s.state.Shard(id)
		return shard.Target != moving.Target
	})
	shard, _ := s.state.Shard(id)
	assert.Equal(t, shard.Owner, topology.BackendID(1))
}

func TestMoveIsGivenUpWhenTheTargetCannotPrepare(t *testing.T) {
	s := settled(t, 12, 3)
	for _, agent := range s.agents {
		agent.stuck = true
	}
	s.coordinator.MachineList([]topology.BackendID{1}, s.now)
	s.runUntil(time.Second, "a move", func() bool { return len(s.state.Moving()) > 0 })
	id := s.state.Moving()[0]
	moving, _ := s.state.Shard(id)
	s.coordinator.Warmed(moving.Target, &wire.Warmed{Shard: id, Epoch: moving.Epoch, Error: "no memory"})
	s.runUntil(time.Second, "the end of the move", func() bool {
		history := s.state.History(id)
		return history[len(history)-1].Reason == "move given up: target cannot prepare: no memory"
	})
}

func TestAnnouncedRestartIsWaitedFor(t *testing.T) {
	s := newScript(t, 12, 3)
	s.configure(func(c *controlstate.Command) {
		service := topology.Service{Name: "wayfinder", InitialShards: 12}
		service.Placement.Weights = topology.PlacementWeights{Imbalance: 1, Churn: 3, Unavailable: 1}
		service.Placement.RestartGrace = 3 * time.Second
		c.UpdateService = &controlstate.UpdateService{Service: service}
	})
	s.runUntil(5*time.Second, "first owners", s.allOwned)
	s.run(time.Second)
	leaver := s.agents[1]
	leaver.leaving = true
	s.run(renew + tick)
	s.renew(leaver, wire.Renew{Leaving: true, Release: true})
	leaver.holder.Release()
	leaver.cutOff = true
	s.run(2 * time.Second)
	assert.Equal(t, s.ownedBy(1), 4, "within the grace the shards wait")
	leaver.cutOff, leaver.leaving = false, false
	leaver.boot = 99
	leaver.applied = 0
	s.attach(leaver)
	s.run(3 * time.Second)
	assert.Equal(t, s.ownedBy(1), 4, "the restarted agent goes on")
	assert.Assert(t, leaver.holder.Valid(s.now))
}

func TestSecondProcessOfABackendWaitsForTheFirstsLease(t *testing.T) {
	s := settled(t, 12, 3)
	first := s.agents[1]
	first.cutOff = true
	s.renew(first, wire.Renew{})
	second := &scriptedAgent{id: 1, boot: 77, holder: ownership.NewHolder(0), applied: s.state.Revision()}
	s.attach(second)
	assert.Equal(t, s.renew(second, wire.Renew{}).Granted, time.Duration(0))
	s.now += lease
	assert.Equal(t, s.renew(second, wire.Renew{}).Granted, lease)
}

// TestAgentThatIsStuckLosesItsLease: it renews, but goes by an old
// configuration for ever.
func TestAgentThatIsStuckLosesItsLease(t *testing.T) {
	s := settled(t, 12, 3)
	s.agents[1].deaf = true
	changed := s.now
	s.configure(func(c *controlstate.Command) {
		service := topology.Service{Name: "wayfinder", InitialShards: 12, DrainLimit: time.Second}
		c.UpdateService = &controlstate.UpdateService{Service: service}
	})
	s.run(coordinator.DefaultStuckAfter)
	assert.Assert(t, s.agents[1].holder.Valid(s.now), "an agent that is only slow keeps its lease")
	s.run(changed + coordinator.DefaultStuckAfter + lease + 2*renew - s.now)
	assert.Assert(t, !s.agents[1].holder.Valid(s.now))
	assert.Assert(t, s.agents[2].holder.Valid(s.now))
}

// TestLeaderWithShorterLeasesWaitsForItsPredecessors: the settings were changed
// between the two.
func TestLeaderWithShorterLeasesWaitsForItsPredecessors(t *testing.T) {
	s := settled(t, 12, 3)
	s.index++
	s.state.Apply(s.index, controlstate.Command{AnnounceController: &controlstate.AnnounceController{
		Controller: controlstate.Controller{ID: 1}, LeaseDuration: lease,
	}})
	s.runUntil(time.Second, "a renewal", func() bool { return s.agents[1].renews == s.now+renew-tick })
	s.agents[1].cutOff = true
	elected := s.now
	s.electWith(coordinator.Config{LeaseDuration: lease / 5})
	s.runUntil(2*time.Second, "recovery", func() bool { return s.ownedBy(1) == 0 })
	assert.Assert(t, s.now-elected >= lease, "took %s", s.now-elected)
}

// TestLongElectionIsNotWaitedForTwice: the leases of the predecessor ran out
// during the election.
func TestLongElectionIsNotWaitedForTwice(t *testing.T) {
	s := settled(t, 12, 3)
	lost := s.agents[1]
	lost.cutOff = true
	died := s.now
	s.leasesEnd = died + consensus.DefaultElectionTimeout
	s.now += 2 * consensus.DefaultElectionTimeout
	s.elect()
	s.runUntil(2*time.Second, "recovery", func() bool { return s.ownedBy(1) == 0 })
	took := s.now - died
	bound := consensus.DefaultElectionTimeout + lease
	assert.Assert(t, took >= bound, "took %s: a lease of the predecessor might have been valid", took)
	assert.Assert(t, took <= bound+4*tick, "took %s", took)
}

// TestNewProcessWaitsForALeaseOfThePredecessor: the new leader can't know that
// an earlier process of the same back end still holds one.
func TestNewProcessWaitsForALeaseOfThePredecessor(t *testing.T) {
	s := settled(t, 12, 3)
	s.renew(s.agents[1], wire.Renew{})
	granted := s.now
	s.elect()
	second := &scriptedAgent{id: 1, boot: 77, holder: ownership.NewHolder(0)}
	s.attach(second)
	second.applied = s.state.Revision()
	assert.Equal(t, s.renew(second, wire.Renew{}).Granted, time.Duration(0))
	s.now = granted + lease
	assert.Equal(t, s.renew(second, wire.Renew{}).Granted, lease)
}

// TestServiceMadeAnewWaitsForLeasesOfTheDeletedOne: the same keys belong to the
// new service's shards, and an agent that is cut off still serves the old ones.
func TestServiceMadeAnewWaitsForLeasesOfTheDeletedOne(t *testing.T) {
	s := settled(t, 4, 1)
	old := s.agents[1]
	s.configure(func(c *controlstate.Command) {
		c.SetBackendState = &controlstate.SetBackendState{
			Backend: controlstate.BackendName{Service: "wayfinder", Name: "backend-1"}, State: topology.BackendDraining,
		}
	})
	s.runUntil(time.Second, "a renewal", func() bool { return old.renews == s.now+renew-tick })
	old.cutOff = true
	deleted := s.now
	s.configure(func(c *controlstate.Command) { c.DeleteService = &controlstate.DeleteService{Name: "wayfinder"} })
	s.configure(func(c *controlstate.Command) {
		c.CreateService = &controlstate.CreateService{Service: topology.Service{Name: "wayfinder", InitialShards: 4}}
	})
	s.configure(func(c *controlstate.Command) {
		c.CreateBackend = &controlstate.CreateBackend{Service: "wayfinder", Backend: topology.Backend{
			Name: "backend-2", Location: topology.Location{Region: "r", Zone: "z"},
			AgentAddress: "127.0.9.1:7201", Slots: 20, Connections: 100,
		}}
	})
	s.agents[2] = &scriptedAgent{id: 2, boot: 2, holder: ownership.NewHolder(ownership.DefaultClockDrift)}
	s.attach(s.agents[2])
	s.runUntil(3*time.Second, "new owners", func() bool { return s.ownedBy(2) == 4 })
	assert.Assert(t, s.now-deleted >= lease, "after %s the old owner may still serve", s.now-deleted)
	assert.Assert(t, !old.holder.Valid(s.now))
}
