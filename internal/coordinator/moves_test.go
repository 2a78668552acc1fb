package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Guards against releasing a shard while long-running requests (exports) are in
// progress at its owner: the shard was then unavailable for seconds, until they
// had ended.
func TestMoveWaitsForLongRequestsForBoundedTime(t *testing.T) {
	h := newSteadyHarness(t, 3, 3)
	owner := h.agents[1]
	shard := h.state.OwnedBy(1)[0]
	owner.load = []wire.ShardLoad{{Shard: shard.Shard, Requests: 1, LongRunning: 1}}
	h.run(time.Second)
	h.coordinator.SetLeavingMachines([]topology.BackendID{1}, h.now)
	h.runUntil(time.Second, "start of a move", func() bool { return len(h.state.Moving()) > 0 })
	h.run(time.Second)
	moving, _ := h.state.Shard(shard)
	assert.Equal(t, moving.Phase, topology.ShardWarming, "the owner keeps serving while an export runs")
	h.run(2 * time.Second)
	assert.Equal(t, h.ownedBy(1), 0, "a leaving back end waits for two seconds at most")
}

func TestMoveContinuesOnceLongRequestsEnd(t *testing.T) {
	h := newSteadyHarness(t, 3, 3)
	owner := h.agents[1]
	shard := h.state.OwnedBy(1)[0]
	owner.load = []wire.ShardLoad{{Shard: shard.Shard, Requests: 1, LongRunning: 1}}
	h.run(time.Second)
	h.coordinator.SetLeavingMachines([]topology.BackendID{1}, h.now)
	h.run(time.Second)
	owner.load = nil
	h.runUntil(300*time.Millisecond, "end of the move", func() bool { return h.ownedBy(1) == 0 })
}
