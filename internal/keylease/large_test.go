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

// largeLeader returns a leader of largeFleet back ends that have keys under load.
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

// reportLarge reports all back ends with random load, some of them as draining.
func (l *leader) reportLarge(random *rand.Rand, draining map[int]bool) {
	for node := range largeFleet {
		reported := instance(node, 0)
		if draining[node] {
			reported.State, reported.Sequence = fleetwire.InstanceDraining, 2
		}
		var load []fleetwire.KeyLoad
		for _, owned := range l.state.Owners(service).OwnedBy(reported.ID) {
			for range 40 {
				key := owned.First + keyspace.Key(random.IntN(owned.Size()))
				load = append(load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(key), BusyMicros: uint64(random.IntN(4000))})
			}
		}
		l.planner.Report(&fleetwire.Report{Boot: 1, Instance: reported, Load: load}, l.now)
	}
}

// BenchmarkManyBackEndsDrain measures the decisions of a leader when a tenth of its back
// ends drain at once. They must not delay its heartbeats.
func BenchmarkManyBackEndsDrain(b *testing.B) { benchmarkDraining(b, largeLeader) }

// drainingTenth returns the nodes of a tenth of the back ends.
func drainingTenth() map[int]bool {
	draining := map[int]bool{}
	for node := range 14 {
		draining[node*9] = true
	}
	return draining
}

func benchmarkDraining(b *testing.B, newLeader func() *leader) {
	draining := drainingTenth()
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

// BenchmarkLargeTick measures a tick with a large fleet in which nothing changes.
func BenchmarkLargeTick(b *testing.B) {
	l := largeLeader()
	for b.Loop() {
		l.now += 25 * time.Millisecond
		l.planner.Tick(l.now)
		l.planner.BatchDone()
	}
}

// BenchmarkLargeReport measures one report of a gateway in a large fleet.
func BenchmarkLargeReport(b *testing.B) {
	l := largeLeader()
	reported := instance(5, 0)
	for b.Loop() {
		l.planner.Report(&fleetwire.Report{Boot: 1, Instance: reported}, l.now)
	}
}

// When many back ends drain at once, their keys are spread over all others.
func TestKeysOfManyDrainingBackEndsAreSpread(t *testing.T) {
	l := largeLeader()
	draining := drainingTenth()
	for range 200 {
		for node := range largeFleet {
			reported := instance(node, 0)
			if draining[node] {
				reported.State, reported.Sequence = fleetwire.InstanceDraining, 2
			}
			lease := l.report(reported)
			l.report(reported, releasesOf(lease.Release, "")...)
		}
		l.advance(25 * time.Millisecond)
	}
	owners := map[string]bool{}
	for _, owned := range l.state.Owners(service).All() {
		owners[owned.Owner] = true
	}
	for node := range draining {
		assert.Assert(t, !owners[instance(node, 0).ID])
	}
	assert.Equal(t, len(owners), largeFleet-len(draining))
}
