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

// One batch of all shards blocked the log for longer than an election timeout. A
// lost back end that returns between two batches must not get a lease while a
// later batch reassigns its shards.
func TestLargeLossIsRecoveredInBatchesOfLimitedSize(t *testing.T) {
	const shards, backends = 3 * coordinator.MaxBatchSize, 3
	h := newHarness(t, shards, backends)
	h.coordinator.BatchDone(h.now)
	h.assignRoundRobin(shards, backends)
	h.now += lease // newly started processes get no lease earlier
	for _, agent := range h.agents {
		agent.applied = h.state.Revision()
		h.renew(agent, wire.Renew{})
	}
	h.now += lease / 2
	h.renew(h.agents[1], wire.Renew{})
	h.now += lease/2 + tick

	batches := 0
	for h.ownedBy(2)+h.ownedBy(3) > 0 {
		command, ok := h.coordinator.Tick(h.now, 0)
		assert.Assert(t, ok, "after %d batches", batches)
		assert.Assert(t, len(command.ChangeOwnership.Changes) <= coordinator.MaxBatchSize)
		for _, lost := range []topology.BackendID{2, 3} {
			assert.Equal(t, h.renew(h.agents[lost], wire.Renew{}).Granted, time.Duration(0))
		}
		h.commit(command)
		h.coordinator.BatchDone(h.now)
		batches++
	}
	assert.Equal(t, batches, 2)
	assert.Equal(t, h.ownedBy(1), shards)
}

// While back ends join one after the other, each triggers a placement decision,
// and in a large fleet a decision takes long. Decisions must not take up the time
// that renewals need.
func TestDecisionsLeaveTimeForRenewals(t *testing.T) {
	h := newSteadyHarness(t, 12, 3)
	const long = 200 * time.Millisecond
	decisions := 0
	h.electWith(coordinator.Config{Evaluate: func(placement.Input) placement.Decision {
		decisions++
		h.now += long
		return placement.Decision{}
	}})
	h.run(lease)
	begun := h.now
	decisions = 0
	for h.now < begun+10*time.Second {
		h.coordinator.ConfigurationChanged(h.now)
		h.coordinator.Tick(h.now, 0)
		h.now += tick
	}
	busy := time.Duration(decisions) * long
	assert.Assert(t, decisions > 0 && busy <= (h.now-begun)/3, "decisions took %s of %s", busy, h.now-begun)
}
