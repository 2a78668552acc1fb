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

// rangesEach is how many ranges a back end has once keys have run hot for a while.
const rangesEach = 24

// scatteredLeader is a leader of as many back ends as largeLeader's, whose keys have
// moved to and fro: each has many ranges.
func scatteredLeader() *leader {
	l := largeLeader()
	random := rand.New(rand.NewPCG(6, 6))
	size := (int(keyspace.LastKey) + 1) / (largeFleet * rangesEach)
	var batch fleetstate.ChangeOwnership
	for i := range largeFleet * rangesEach {
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

// BenchmarkManyBackEndsWithManyRangesLeave is what a leader decides where a tenth of
// its back ends leave together, after keys have run hot.
func BenchmarkManyBackEndsWithManyRangesLeave(b *testing.B) { benchmarkLeaving(b, scatteredLeader) }

// A leader that decides for seconds sends no heartbeats meanwhile and loses its
// office. What it allocates tells how often it goes over all ranges, on any machine.
func TestWhatALeaderDecidesAtOnceGrowsWithItsRangesOnly(t *testing.T) {
	draining := aTenth()
	l := scatteredLeader()
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
