package routing_test

import (
	"errors"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const testService = topology.ServiceID(1)

// snapshot returns one service with shards of equal width, assigned to back ends round-robin.
func snapshot(shardCount, backendCount int) wire.RoutingSnapshot {
	result := wire.RoutingSnapshot{Group: 1, Revision: 10}
	routes := wire.ServiceRoutes{Service: topology.Service{ID: testService, Name: "wayfinder"}}
	width := ^topology.KeyHash(0)/topology.KeyHash(shardCount) + 1
	for i := range shardCount {
		routes.Shards = append(routes.Shards, topology.Shard{
			ID:    topology.ShardID{Service: testService, Shard: topology.ShardNumber(i + 1)},
			Start: topology.KeyHash(i) * width,
			Phase: topology.ShardOwned,
			Owner: topology.BackendID(i%backendCount + 1),
			Epoch: 1,
		})
	}
	result.Services = []wire.ServiceRoutes{routes}
	for i := range backendCount {
		result.Backends = append(result.Backends, topology.Backend{
			ID: topology.BackendID(i + 1), Service: testService, State: topology.BackendActive,
		})
	}
	return result
}

func mustTable(t testing.TB, from wire.RoutingSnapshot) *routing.Table {
	t.Helper()
	table, err := routing.FromSnapshot(from)
	assert.NilError(t, err)
	return table
}

func TestLookupFindsContainingShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		starts := rapid.SliceOfNDistinct(rapid.Uint64Min(1), 0, 300, rapid.ID).Draw(t, "starts")
		from := wire.RoutingSnapshot{Services: []wire.ServiceRoutes{{Service: topology.Service{ID: testService, Name: "a"}}}}
		routes := &from.Services[0]
		for i, start := range append(starts, 0) {
			id := topology.ShardID{Service: testService, Shard: topology.ShardNumber(i)}
			routes.Shards = append(routes.Shards, topology.Shard{ID: id, Start: topology.KeyHash(start)})
		}
		table, err := routing.FromSnapshot(from)
		assert.NilError(t, err)
		positions := append(starts, 0, ^uint64(0), rapid.Uint64().Draw(t, "position"))
		for _, position := range positions {
			route, found := table.Lookup(testService, topology.KeyHash(position))
			assert.Assert(t, found)
			assert.Equal(t, route.Shard.Start, linearSearch(routes.Shards, topology.KeyHash(position)))
		}
	})
}

// linearSearch is the reference implementation for Lookup.
func linearSearch(shards []topology.Shard, position topology.KeyHash) topology.KeyHash {
	var best topology.KeyHash
	for _, shard := range shards {
		if shard.Start <= position && shard.Start >= best {
			best = shard.Start
		}
	}
	return best
}

func TestApplyDoesNotModifyReceiver(t *testing.T) {
	before := mustTable(t, snapshot(1000, 4))
	route, _ := before.Lookup(testService, 1)
	moved := *route.Shard
	moved.Owner, moved.Epoch = 2, 2
	after, err := before.Apply(wire.RoutingDelta{Group: 1, From: 10, To: 11, Shards: []topology.Shard{moved}})
	assert.NilError(t, err)

	old, _ := before.Lookup(testService, 1)
	assert.Equal(t, old.Owner.ID, topology.BackendID(1))
	assert.Equal(t, before.Revision(), topology.Revision(10))
	fresh, _ := after.Lookup(testService, 1)
	assert.Equal(t, fresh.Owner.ID, topology.BackendID(2))
	assert.Equal(t, after.Revision(), topology.Revision(11))
}

func TestSharesBackendsUntilBackendsOrServicesChange(t *testing.T) {
	before := mustTable(t, snapshot(4, 2))
	route, _ := before.Lookup(testService, 1)
	moved := *route.Shard
	moved.Owner, moved.Epoch = 2, 2
	after, err := before.Apply(wire.RoutingDelta{Group: 1, From: 10, To: 11, Shards: []topology.Shard{moved}})
	assert.NilError(t, err)
	assert.Assert(t, after.SharesBackends(before))
	backend, _ := after.Backend(1)
	draining := *backend
	draining.State = topology.BackendDraining
	for _, delta := range []wire.RoutingDelta{
		{Group: 1, From: 11, To: 12, Backends: []topology.Backend{draining}},
		{Group: 1, From: 11, To: 12, RemovedBackends: []topology.BackendID{1}},
		{Group: 1, From: 11, To: 12, Services: []topology.Service{{ID: testService, Name: "renamed"}}},
	} {
		changed, err := after.Apply(delta)
		assert.NilError(t, err)
		assert.Assert(t, !changed.SharesBackends(after))
	}
	assert.Assert(t, !mustTable(t, snapshot(4, 2)).SharesBackends(before))
}

func TestShardsChangedSinceYieldsOnlyChangedShards(t *testing.T) {
	before := mustTable(t, snapshot(1000, 4))
	route, _ := before.Lookup(testService, ^topology.KeyHash(0))
	moved := *route.Shard
	moved.Epoch = 2
	after, err := before.Apply(wire.RoutingDelta{Group: 1, From: 10, To: 11, Shards: []topology.Shard{moved}})
	assert.NilError(t, err)

	earlier, _ := before.Service(testService)
	later, _ := after.Service(testService)
	var changed []topology.Shard
	for shard := range later.ShardsChangedSince(earlier) {
		changed = append(changed, *shard)
	}
	assert.DeepEqual(t, changed, []topology.Shard{moved})
}

func TestApplySplitAndMerge(t *testing.T) {
	table := mustTable(t, snapshot(2, 1))
	upper := topology.Shard{
		ID: topology.ShardID{Service: testService, Shard: 3}, Start: 100, Phase: topology.ShardOwned, Owner: 1, Epoch: 1,
	}
	split, err := table.Apply(wire.RoutingDelta{Group: 1, From: 10, To: 11, Shards: []topology.Shard{upper}})
	assert.NilError(t, err)
	low, _ := split.Lookup(testService, 99)
	high, _ := split.Lookup(testService, 100)
	assert.Equal(t, low.Shard.ID.Shard, topology.ShardNumber(1))
	assert.Equal(t, high.Shard.ID.Shard, topology.ShardNumber(3))

	merged, err := split.Apply(wire.RoutingDelta{Group: 1, From: 11, To: 12, RemovedShards: []topology.ShardID{upper.ID}})
	assert.NilError(t, err)
	again, _ := merged.Lookup(testService, 100)
	assert.Equal(t, again.Shard.ID.Shard, topology.ShardNumber(1))
	_, present := merged.Shard(upper.ID)
	assert.Assert(t, !present)
}

func TestApplyAddsAndRemovesServicesAndBackends(t *testing.T) {
	table := mustTable(t, snapshot(2, 1))
	added, err := table.Apply(wire.RoutingDelta{
		Group: 1, From: 10, To: 11,
		Services: []topology.Service{{ID: 2, Name: "closures"}},
		Shards:   []topology.Shard{{ID: topology.ShardID{Service: 2, Shard: 1}, Phase: topology.ShardOwned, Owner: 9, Epoch: 1}},
		Backends: []topology.Backend{{ID: 9, Service: 2, Name: "c-1"}},
	})
	assert.NilError(t, err)
	service, known := added.ServiceByName("closures")
	assert.Assert(t, known)
	assert.Equal(t, len(service.Backends()), 1)
	route, found := added.LookupIn(service, 5)
	assert.Assert(t, found)
	assert.Equal(t, route.Owner.Name, "c-1")

	removed, err := added.Apply(wire.RoutingDelta{
		Group: 1, From: 11, To: 12,
		RemovedServices: []topology.ServiceID{2}, RemovedBackends: []topology.BackendID{9},
		RemovedShards: []topology.ShardID{{Service: 2, Shard: 1}},
	})
	assert.NilError(t, err)
	_, known = removed.ServiceByName("closures")
	assert.Assert(t, !known)
	_, found = removed.Lookup(2, 5)
	assert.Assert(t, !found)
}

func TestApplyRejectsInvalidDeltas(t *testing.T) {
	table := mustTable(t, snapshot(4, 2))
	lowered := topology.Shard{ID: topology.ShardID{Service: testService, Shard: 1}, Epoch: 0}
	overlapping := topology.Shard{ID: topology.ShardID{Service: testService, Shard: 9}, Start: 0, Epoch: 1}

	var gap *routing.RevisionGapError
	_, err := table.Apply(wire.RoutingDelta{Group: 1, From: 9, To: 10})
	assert.Assert(t, errors.As(err, &gap))

	var group *routing.GroupMismatchError
	_, err = table.Apply(wire.RoutingDelta{Group: 2, From: 10, To: 11})
	assert.Assert(t, errors.As(err, &group))

	var epoch *routing.EpochDecreasedError
	_, err = table.Apply(wire.RoutingDelta{Group: 1, From: 10, To: 11, Shards: []topology.Shard{lowered}})
	assert.Assert(t, errors.As(err, &epoch))

	var shard *routing.InvalidShardError
	_, err = table.Apply(wire.RoutingDelta{Group: 1, From: 10, To: 11, Shards: []topology.Shard{overlapping}})
	assert.Assert(t, errors.As(err, &shard))

	_, err = table.Apply(wire.RoutingDelta{Group: 1, From: 10, To: 11, RemovedShards: []topology.ShardID{{Service: testService, Shard: 1}}})
	assert.Assert(t, errors.As(err, &shard), "no shard would cover the start of the hash space")
}

func TestLookupDoesNotAllocate(t *testing.T) {
	table := mustTable(t, snapshot(75_000, 1100))
	position := topology.KeyHash(0)
	allocations := testing.AllocsPerRun(1000, func() {
		position += 0x9E3779B97F4A7C15
		if _, found := table.Lookup(testService, position); !found {
			t.Fatal("position has no shard")
		}
	})
	assert.Equal(t, allocations, 0.0)
}

// Target size: shards and back ends.
const (
	targetShards   = 75_000
	targetBackends = 1100
)

func BenchmarkLookup(b *testing.B) {
	table := mustTable(b, snapshot(targetShards, targetBackends))
	b.ReportAllocs()
	position := topology.KeyHash(0)
	for b.Loop() {
		position += 0x9E3779B97F4A7C15 // covers the hash space evenly, in an order that caches don't benefit from
		table.Lookup(testService, position)
	}
}

func BenchmarkApplyOneOwner(b *testing.B) {
	table := mustTable(b, snapshot(targetShards, targetBackends))
	route, _ := table.Lookup(testService, 1<<40)
	moved := *route.Shard
	moved.Epoch++
	delta := wire.RoutingDelta{Group: 1, From: 10, To: 11, Shards: []topology.Shard{moved}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.Apply(delta); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkApplySplit(b *testing.B) {
	table := mustTable(b, snapshot(targetShards, targetBackends))
	added := topology.Shard{ID: topology.ShardID{Service: testService, Shard: targetShards + 1}, Start: 12345, Epoch: 1}
	delta := wire.RoutingDelta{Group: 1, From: 10, To: 11, Shards: []topology.Shard{added}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := table.Apply(delta); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFromSnapshot(b *testing.B) {
	from := snapshot(targetShards, targetBackends)
	b.ReportAllocs()
	var table *routing.Table
	for b.Loop() {
		table = mustTable(b, from)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC() // frees what the first run only marked
	runtime.ReadMemStats(&before)
	kept := mustTable(b, from)
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/targetShards, "heap-B/shard")
	runtime.KeepAlive(table)
	runtime.KeepAlive(kept)
	runtime.KeepAlive(from.Services)
}
