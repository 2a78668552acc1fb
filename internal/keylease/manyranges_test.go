package keylease_test

import (
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
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
