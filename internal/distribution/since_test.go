package distribution

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

func shardAt(service topology.ServiceID, number topology.ShardNumber, epoch topology.Epoch) topology.Shard {
	return topology.Shard{ID: topology.ShardID{Service: service, Shard: number}, Epoch: epoch}
}

// Deltas are filtered before they are merged, which saves most of the work. This
// must not change what a subscriber gets.
func TestSinceWithServicesEqualsFilteredSince(t *testing.T) {
	log := NewLog(0)
	totals := Totals{Services: 2, Backends: 4, Shards: 100}
	log.Append(wire.RoutingDelta{From: 1, To: 3, Shards: []topology.Shard{shardAt(1, 1, 1), shardAt(2, 1, 1)}}, totals)
	log.Append(wire.RoutingDelta{From: 3, To: 4, Shards: []topology.Shard{shardAt(1, 1, 2), shardAt(1, 2, 1)}}, totals)
	log.Append(wire.RoutingDelta{From: 4, To: 6, RemovedShards: []topology.ShardID{{Service: 1, Shard: 2}, {Service: 2, Shard: 1}}}, totals)
	view := log.View()
	for _, services := range [][]topology.ServiceID{nil, {1}, {2}, {1, 2}, {3}} {
		whole, ok := view.Since(1)
		assert.Assert(t, ok)
		some, ok := view.Since(1, services...)
		assert.Assert(t, ok)
		assert.Equal(t, fmt.Sprint(some), fmt.Sprint(Filter(whole, services)), "compared as text: nil and empty lists are the same on the wire")
	}
	_, ok := view.Since(2)
	assert.Assert(t, !ok, "no delta begins at this revision")
	assert.Assert(t, view.CanExtend(3) && view.CanExtend(6) && !view.CanExtend(2))
}

// Guards against sending restarted agents a snapshot from before the first
// assignment of shards, followed by a delta with the whole assignment.
func TestOldSnapshotIsNotExtendedByLargeDeltas(t *testing.T) {
	log := NewLog(0)
	totals := Totals{Services: 1, Backends: 2, Shards: 100}
	var assigned []topology.Shard
	for number := range 50 {
		assigned = append(assigned, shardAt(1, topology.ShardNumber(number+1), 1))
	}
	log.Append(wire.RoutingDelta{From: 1, To: 2, Shards: assigned}, totals)
	log.Append(wire.RoutingDelta{From: 2, To: 3, Shards: assigned[:1]}, totals)
	view := log.View()
	assert.Assert(t, !view.CanExtend(1))
	assert.Assert(t, view.CanExtend(2) && view.CanExtend(3))
	_, ok := view.Since(1)
	assert.Assert(t, ok, "a subscriber at revision 1 still gets the delta")
}
