package coordinator_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Before this rule a shard was unavailable until the exports that ran at its
// owner had ended, for seconds.
func TestMoveWaitsForLongRequestsButNotForEver(t *testing.T) {
	s := settled(t, 3, 3)
	owner := s.agents[1]
	shard := s.state.OwnedBy(1)[0]
	owner.load = []wire.ShardLoad{{Shard: shard.Shard, Requests: 1, LongRunning: 1}}
	s.run(time.Second)
	s.coordinator.MachineList([]topology.BackendID{1}, s.now)
	s.runUntil(time.Second, "a move", func() bool { return len(s.state.Moving()) > 0 })
	s.run(time.Second)
	moving, _ := s.state.Shard(shard)
	assert.Equal(t, moving.Phase, topology.ShardWarming, "the owner serves on while an export runs")
	s.run(2 * time.Second)
	assert.Equal(t, s.ownedBy(1), 0, "a back end that leaves waits for two seconds at most")
}

func TestMoveGoesOnWhenLongRequestsHaveEnded(t *testing.T) {
	s := settled(t, 3, 3)
	owner := s.agents[1]
	shard := s.state.OwnedBy(1)[0]
	owner.load = []wire.ShardLoad{{Shard: shard.Shard, Requests: 1, LongRunning: 1}}
	s.run(time.Second)
	s.coordinator.MachineList([]topology.BackendID{1}, s.now)
	s.run(time.Second)
	owner.load = nil
	s.runUntil(300*time.Millisecond, "the move's end", func() bool { return s.ownedBy(1) == 0 })
}
