package keylease_test

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"gotest.tools/v3/assert"
)

// rangesPerOwner is how many ranges a back end has once keys have been hot for a while.
const rangesPerOwner = 24

// fragmentedLargeLeader returns a leader of largeFleet back ends that own many small
// ranges each, as after many moves.
func fragmentedLargeLeader() *leader {
	l := largeLeader()
	random := rand.New(rand.NewPCG(6, 6))
	size := (int(keyspace.LastKey) + 1) / (largeFleet * rangesPerOwner)
	var batch fleetstate.ChangeOwnership
	for i := range largeFleet * rangesPerOwner {
		keys := keyspace.Range{First: keyspace.Key(i * size), Last: keyspace.Key((i+1)*size - 1)}
		from := l.state.Owners(service).Find(keys.First).Owner
		if l.state.Owners(service).Find(keys.Last).Owner != from {
			continue
		}
		to := instance(random.IntN(largeFleet), 0)
		batch.Changes = append(batch.Changes, fleetstate.OwnershipChange{Service: service, Keys: keys, From: from, To: to.ID, Node: to.Node, Boot: 1})
	}
	l.apply(&fleetstate.Command{Ownership: &batch})
	for range 10 {
		l.reportLarge(random, nil)
		l.now += 100 * time.Millisecond
	}
	return l
}

// BenchmarkFragmentedBackEndsDrain measures the decisions of a leader when a tenth of
// its back ends, with many ranges each, drain at once.
func BenchmarkFragmentedBackEndsDrain(b *testing.B) { benchmarkDraining(b, fragmentedLargeLeader) }

// A leader whose tick takes seconds sends no heartbeats meanwhile and loses its leadership.
// The number of allocations shows, on any machine, how often a tick iterates over all ranges.
func TestTickAllocationsAreLinearInRanges(t *testing.T) {
	draining := drainingTenth()
	l := fragmentedLargeLeader()
	l.reportLarge(rand.New(rand.NewPCG(4, 4)), draining)
	ranges := len(l.state.Owners(service).All())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	l.planner.Tick(l.now)
	runtime.ReadMemStats(&after)
	allocated := after.Mallocs - before.Mallocs
	const each = 20
	assert.Assert(t, allocated < uint64(each*ranges), "%d allocations for %d ranges", allocated, ranges)
}

// A back end that had many small ranges and a low load got those of a lost one too, more than an answer to
// its heartbeat holds, while others had few ranges.
func TestRangesOfLostOwnerGoToBackEndsWithFewRanges(t *testing.T) {
	l := newLeader()
	for range 60 {
		for node := range 4 {
			l.report(instance(node, 0))
		}
		l.advance(100 * time.Millisecond)
	}
	const fragments, size = 60, 20
	var batch fleetstate.ChangeOwnership
	// The first keys go in turn to node 0, which will be lost, and to node 1, which has no other keys.
	for i := range 2 * fragments {
		keys := keyspace.Range{First: keyspace.Key(i * size), Last: keyspace.Key((i+1)*size - 1)}
		to := instance(i%2, 0)
		batch.Changes = append(batch.Changes, fleetstate.OwnershipChange{Service: service, Keys: keys, From: "i-0-0", To: to.ID, Node: to.Node, Boot: 1})
	}
	for _, owned := range l.state.Owners(service).All() {
		if rest := owned.Range.Without(keyspace.Range{First: 0, Last: 2*fragments*size - 1}); owned.Owner < "i-2" && len(rest) > 0 {
			batch.Changes = append(batch.Changes, fleetstate.OwnershipChange{Service: service, Keys: rest[0], From: owned.Owner, To: "i-2-0", Node: "node-2", Boot: 1})
		}
	}
	l.apply(&fleetstate.Command{Ownership: &batch})
	draining := instance(0, 0)
	draining.State = fleetwire.InstanceDraining
	for range 20 {
		lease := l.report(draining)
		l.report(draining, releasesOf(lease.Release, "")...)
		for node := 1; node < 4; node++ {
			l.report(instance(node, 0))
		}
		l.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(l.state.Owners(service).OwnedBy("i-0-0")), 0)
	for node := 1; node < 4; node++ {
		ranges := len(l.state.Owners(service).OwnedBy(instance(node, 0).ID))
		assert.Assert(t, ranges <= fragments, "node %d has %d ranges", node, ranges)
	}
}
