package keylease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"gotest.tools/v3/assert"
)

// largeLeader is a leader of 137 back ends that have keys under load.
func largeLeader() *leader {
	l := newLeader()
	random := rand.New(rand.NewPCG(3, 3))
	for range 80 {
		l.reportLarge(random, nil)
		l.advance(100 * time.Millisecond)
	}
	return l
}

// largeFleet is the number of back ends of the users' largest keyed service.
const largeFleet = 137

// reportLarge reports all back ends, some of them as draining.
func (l *leader) reportLarge(random *rand.Rand, draining map[int]bool) {
	for node := range largeFleet {
		told := instance(node, 0)
		if draining[node] {
			told.State, told.Sequence = fleetwire.InstanceDraining, 2
		}
		var load []fleetwire.KeyLoad
		for _, owned := range l.state.Owners(service).OwnedBy(told.ID) {
			for range 40 {
				key := owned.First + keyspace.Key(random.IntN(owned.Size()))
				load = append(load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(key), BusyMicros: uint64(random.IntN(4000))})
			}
		}
		l.planner.Report(&fleetwire.Report{Boot: 1, Instance: told, Load: load}, l.now)
	}
}

// What a leader decides at once must not keep it from its heartbeats: a tenth of
// its back ends leave together.
func BenchmarkManyBackEndsLeave(b *testing.B) { benchmarkLeaving(b, largeLeader) }

// aTenth are back ends that leave together.
func aTenth() map[int]bool {
	draining := map[int]bool{}
	for node := range 14 {
		draining[node*9] = true
	}
	return draining
}

func benchmarkLeaving(b *testing.B, newLeader func() *leader) {
	draining := aTenth()
	random := rand.New(rand.NewPCG(4, 4))
	for b.Loop() {
		b.StopTimer()
		l := newLeader()
		l.reportLarge(random, draining)
		b.StartTimer()
		for range 10 {
			l.now += 25 * time.Millisecond
			l.planner.Tick(l.now)
			l.planner.BatchDone()
		}
	}
}

// BenchmarkLargeTick is one look of a leader at a calm fleet.
func BenchmarkLargeTick(b *testing.B) {
	l := largeLeader()
	for b.Loop() {
		l.now += 25 * time.Millisecond
		l.planner.Tick(l.now)
		l.planner.BatchDone()
	}
}

// BenchmarkLargeReport is one report of a gateway of a large fleet.
func BenchmarkLargeReport(b *testing.B) {
	l := largeLeader()
	told := instance(5, 0)
	for b.Loop() {
		l.planner.Report(&fleetwire.Report{Boot: 1, Instance: told}, l.now)
	}
}

// All keys of back ends that leave find other owners, spread over many.
func TestTheKeysOfManyThatLeaveAreSpread(t *testing.T) {
	l := largeLeader()
	draining := aTenth()
	for range 200 {
		for node := range largeFleet {
			told := instance(node, 0)
			if draining[node] {
				told.State, told.Sequence = fleetwire.InstanceDraining, 2
			}
			lease := l.report(told)
			l.report(told, promisesOf(lease.Release, "")...)
		}
		l.advance(25 * time.Millisecond)
	}
	takers := map[string]bool{}
	for _, owned := range l.state.Owners(service).All() {
		takers[owned.Owner] = true
	}
	for node := range draining {
		assert.Assert(t, !takers[instance(node, 0).ID])
	}
	assert.Equal(t, len(takers), largeFleet-len(draining))
}
