package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/coordinator"
	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// TestLargeLossIsRecoveredInBoundedBatches: one batch of all shards held up the
// log for longer than an election timeout. A lost back end that returns between
// two batches must not get a lease for shards that a later one gives away.
func TestLargeLossIsRecoveredInBoundedBatches(t *testing.T) {
	const shards, backends = 3 * coordinator.MaximumBatch, 3
	s := newScript(t, shards, backends)
	s.coordinator.BatchDone(s.now)
	s.spreadByHand(shards, backends)
	s.now += lease // processes that have just started get no lease earlier
	for _, agent := range s.agents {
		agent.applied = s.state.Revision()
		s.renew(agent, wire.Renew{})
	}
	s.now += lease / 2
	s.renew(s.agents[1], wire.Renew{})
	s.now += lease/2 + tick

	batches := 0
	for s.ownedBy(2)+s.ownedBy(3) > 0 {
		command, ok := s.coordinator.Tick(s.now, 0)
		assert.Assert(t, ok, "after %d batches", batches)
		assert.Assert(t, len(command.ChangeOwnership.Changes) <= coordinator.MaximumBatch)
		for _, lost := range []topology.BackendID{2, 3} {
			assert.Equal(t, s.renew(s.agents[lost], wire.Renew{}).Granted, time.Duration(0))
		}
		s.commit(command)
		s.coordinator.BatchDone(s.now)
		batches++
	}
	assert.Equal(t, batches, 2)
	assert.Equal(t, s.ownedBy(1), shards)
}

// TestDecisionsLeaveTimeForRenewals: while back ends come one after the other,
// each is a reason to decide, and a decision of a large fleet takes long.
func TestDecisionsLeaveTimeForRenewals(t *testing.T) {
	s := settled(t, 12, 3)
	const long = 200 * time.Millisecond
	decisions := 0
	s.electWith(coordinator.Config{Evaluate: func(placement.Input) placement.Decision {
		decisions++
		s.now += long
		return placement.Decision{}
	}})
	s.run(lease)
	begun := s.now
	decisions = 0
	for s.now < begun+10*time.Second {
		s.coordinator.ConfigurationChanged(s.now)
		s.coordinator.Tick(s.now, 0)
		s.now += tick
	}
	busy := time.Duration(decisions) * long
	assert.Assert(t, decisions > 0 && busy <= (s.now-begun)/3, "decisions took %s of %s", busy, s.now-begun)
}
