package keylease_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"gotest.tools/v3/assert"
)

// loadProfile is the load of a test's back ends: the busy slots of single keys at the mean
// run time, and the run time of each back end.
type loadProfile struct {
	runTime map[int]time.Duration
	mean    time.Duration
	slots   map[keyspace.Key]float64
}

// reportLoad lets all back ends report and release what they are asked for.
func (l *leader) reportLoad(load loadProfile) {
	const interval = 100 * time.Millisecond
	for node := range len(load.runTime) {
		reported := instance(node, 0)
		runTime := load.runTime[node]
		report := &fleetwire.Report{Boot: 1, Instance: reported, Runs: 4, RunMicros: uint64(4 * runTime.Microseconds())}
		for _, owned := range l.state.Owners(service).OwnedBy(reported.ID) {
			for key, slots := range load.slots {
				if owned.First <= key && key <= owned.Last {
					busy := slots * runTime.Seconds() / load.mean.Seconds() * float64(interval.Microseconds())
					report.Load = append(report.Load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(key), BusyMicros: uint64(busy)})
				}
			}
		}
		lease := l.planner.Report(report, l.now)
		l.report(reported, releasesOf(lease.Release, "")...)
	}
	l.advance(interval)
}

// runTimesOf returns run times for a number of back ends: one for the first, one for the
// last and one for all others.
func runTimesOf(nodes int, first, others, last time.Duration) map[int]time.Duration {
	times := map[int]time.Duration{}
	for node := range nodes {
		times[node] = others
	}
	times[0], times[nodes-1] = first, last
	return times
}

// A single key whose load exceeds the capacity of any back end goes to the fastest one: with a
// third of the run time it serves three times as many requests.
func TestHotKeyMovesFromSlowToFastestBackEnd(t *testing.T) {
	l := newLeader()
	const nodes, hot = 6, keyspace.Key(100)
	load := loadProfile{runTime: runTimesOf(nodes, 340*time.Millisecond, 200*time.Millisecond, 90*time.Millisecond), mean: 200 * time.Millisecond}
	for range 60 {
		l.reportLoad(load)
	}
	assert.Equal(t, l.state.Owners(service).Find(hot).Owner, "i-0-0")
	load.slots = map[keyspace.Key]float64{hot: 12}
	for range 30 {
		l.reportLoad(load)
	}
	assert.Equal(t, l.state.Owners(service).Find(hot).Owner, "i-5-0")
	all := len(l.state.Owners(service).All())
	for range 50 {
		l.reportLoad(load)
	}
	assert.Equal(t, l.state.Owners(service).Find(hot).Owner, "i-5-0", "and stays there")
	assert.Equal(t, len(l.state.Owners(service).All()), all, "nothing else moves")
}

// Adjacent keys that become hot together are spread over several back ends at once.
func TestHotRangeIsSpreadOverSeveralBackEnds(t *testing.T) {
	l := newLeader()
	const nodes = 8
	load := loadProfile{runTime: runTimesOf(nodes, 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond), mean: 200 * time.Millisecond}
	for range 60 {
		l.reportLoad(load)
	}
	load.slots = map[keyspace.Key]float64{}
	for key := range keyspace.Key(60) {
		load.slots[1000+key*4] = 0.25
	}
	for range 15 {
		l.reportLoad(load)
	}
	owners := map[string]bool{}
	for key := range load.slots {
		owners[l.state.Owners(service).Find(key).Owner] = true
	}
	assert.Assert(t, len(owners) >= 4, "%d owners after 1.5 s of a load of 15 slots on a back end with 4", len(owners))
}

// A back end with twice the run time of the others ends up with clearly less load.
func TestSlowBackEndsServeLess(t *testing.T) {
	l := newLeader()
	const nodes = 4
	load := loadProfile{runTime: runTimesOf(nodes, 300*time.Millisecond, 150*time.Millisecond, 150*time.Millisecond), mean: 150 * time.Millisecond, slots: map[keyspace.Key]float64{}}
	for key := keyspace.Key(0); key < 65000; key += 500 {
		load.slots[key] = 0.08
	}
	for range 200 {
		l.reportLoad(load)
	}
	share := map[string]float64{}
	for key, slots := range load.slots {
		share[l.state.Owners(service).Find(key).Owner] += slots
	}
	assert.Assert(t, share["i-0-0"] < 0.8*share["i-1-0"], "%v", share)
}
