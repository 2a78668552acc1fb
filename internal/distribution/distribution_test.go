package distribution_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/distribution"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const fleetShards = 1000

var totals = distribution.Totals{Services: 1, Backends: 10, Shards: fleetShards}

// history is a log along with the snapshot at its first revision.
type history struct {
	log      *distribution.Log
	snapshot wire.RoutingSnapshot
	last     topology.Revision
}

func newHistory(window int) *history {
	h := &history{log: distribution.NewLog(window), last: 1}
	h.log.Reset(1)
	h.snapshot = wire.RoutingSnapshot{Revision: 1}
	routes := wire.ServiceRoutes{Service: topology.Service{ID: 1, Name: "s"}}
	for number := range fleetShards {
		routes.Shards = append(routes.Shards, topology.Shard{
			ID:    topology.ShardID{Service: 1, Shard: topology.ShardNumber(number + 1)},
			Start: topology.KeyHash(number) << 40, Phase: topology.ShardOwned, Owner: 1, Epoch: 1,
		})
	}
	h.snapshot.Services = append(h.snapshot.Services, routes)
	for id := range 10 {
		h.snapshot.Backends = append(h.snapshot.Backends, backend(id+1))
	}
	return h
}

func backend(id int) topology.Backend {
	return topology.Backend{ID: topology.BackendID(id), Service: 1, Name: fmt.Sprint("b", id), AgentAddress: "127.0.0.1:1"}
}

// move gives a shard another owner at the next revision.
func (h *history) move(number topology.ShardNumber, owner topology.BackendID) {
	from := h.last
	h.last++
	h.log.Append(wire.RoutingDelta{From: from, To: h.last, Shards: []topology.Shard{{
		ID:    topology.ShardID{Service: 1, Shard: number},
		Start: topology.KeyHash(number-1) << 40, Phase: topology.ShardOwned, Owner: owner, Epoch: topology.Epoch(h.last),
	}}}, totals)
}

func TestMissedChangesAreMergedIntoOneDelta(t *testing.T) {
	h := newHistory(0)
	for change := range 300 {
		h.move(topology.ShardNumber(change%20+1), topology.BackendID(change%10+1))
	}
	delta, ok := h.log.View().Since(1)
	assert.Assert(t, ok)
	assert.Equal(t, delta.To, h.last)
	assert.Equal(t, len(delta.Shards), 20, "each object appears once, in its last state")
}

func TestSnapshotIsPreferredWhereSmaller(t *testing.T) {
	h := newHistory(0)
	for number := range fleetShards {
		h.move(topology.ShardNumber(number+1), 2)
	}
	_, ok := h.log.View().Since(1)
	assert.Assert(t, ok, "a delta of all shards is no larger than a snapshot, which also has the back ends")
	var services []topology.Service
	for id := range 20 {
		services = append(services, topology.Service{ID: topology.ServiceID(id + 1)})
	}
	h.log.Append(wire.RoutingDelta{From: h.last, To: h.last + 1, Services: services}, totals)
	_, ok = h.log.View().Since(1)
	assert.Assert(t, !ok)
}

func TestTrimmedAndUnknownRevisionsNeedSnapshot(t *testing.T) {
	h := newHistory(100)
	for change := range 300 {
		h.move(topology.ShardNumber(change%20+1), 2)
	}
	_, ok := h.log.View().Since(1)
	assert.Assert(t, !ok, "the deltas are no longer kept")
	_, ok = h.log.View().Since(h.last - 10)
	assert.Assert(t, ok)
	_, ok = h.log.View().Since(h.last + 5)
	assert.Assert(t, !ok, "the revision is newer than the log")
}

// Applies random changes to one table one by one and to another as one merged
// delta.
func TestMergedDeltaEqualsSequentialDeltas(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		h := newHistory(0)
		table, err := routing.FromSnapshot(h.snapshot)
		assert.NilError(r, err)
		merged := table
		for range rapid.IntRange(1, 30).Draw(r, "changes") {
			before := h.last
			h.randomChange(r)
			delta, ok := h.log.View().Since(before)
			assert.Assert(r, ok)
			table, err = table.Apply(delta)
			assert.NilError(r, err)
		}
		delta, ok := h.log.View().Since(1)
		assert.Assert(r, ok)
		merged, err = merged.Apply(delta)
		assert.NilError(r, err)
		assertTablesEqual(r, table, merged)
	})
}

func (h *history) randomChange(r *rapid.T) {
	number := topology.ShardNumber(rapid.IntRange(1, 30).Draw(r, "shard"))
	if rapid.IntRange(0, 3).Draw(r, "back end") > 0 {
		h.move(number, topology.BackendID(rapid.IntRange(1, 10).Draw(r, "owner")))
		return
	}
	from := h.last
	h.last++
	changed := backend(rapid.IntRange(1, 10).Draw(r, "id"))
	changed.Slots = uint32(h.last)
	h.log.Append(wire.RoutingDelta{From: from, To: h.last, Backends: []topology.Backend{changed}}, totals)
}

func assertTablesEqual(r *rapid.T, one, other *routing.Table) {
	assert.Equal(r, one.Revision(), other.Revision())
	for number := range fleetShards {
		first, ok := one.Lookup(1, topology.KeyHash(number)<<40)
		assert.Assert(r, ok)
		second, ok := other.Lookup(1, topology.KeyHash(number)<<40)
		assert.Assert(r, ok)
		assert.DeepEqual(r, first.Shard, second.Shard)
	}
	for id := range 10 {
		first, _ := one.Backend(topology.BackendID(id + 1))
		second, _ := other.Backend(topology.BackendID(id + 1))
		assert.DeepEqual(r, first, second)
	}
}
