package keylease_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"gotest.tools/v3/assert"
)

// pacedLoad is what a test's back ends ask for in each step: busy slots of single keys, at
// the mean pace, and how long each back end takes for a run.
type pacedLoad struct {
	runTime map[int]time.Duration
	mean    time.Duration
	slots   map[keyspace.Key]float64
}

// work lets all back ends report and obey what they are told.
func (l *leader) work(load pacedLoad) {
	const interval = 100 * time.Millisecond
	for node := range len(load.runTime) {
		told := instance(node, 0)
		runTime := load.runTime[node]
		report := &fleetwire.Report{Boot: 1, Instance: told, Runs: 4, RunMicros: uint64(4 * runTime.Microseconds())}
		for _, owned := range l.state.Owners(service).OwnedBy(told.ID) {
			for key, slots := range load.slots {
				if owned.First <= key && key <= owned.Last {
					busy := slots * runTime.Seconds() / load.mean.Seconds() * float64(interval.Microseconds())
					report.Load = append(report.Load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(key), BusyMicros: uint64(busy)})
				}
			}
		}
		lease := l.planner.Report(report, l.now)
		l.report(told, promisesOf(lease.Release, "")...)
	}
	l.advance(interval)
}

// runTimesOf gives the first back end one run time and the others another; the last one is
// fast.
func runTimesOf(nodes int, first, others, last time.Duration) map[int]time.Duration {
	times := map[int]time.Duration{}
	for node := range nodes {
		times[node] = others
	}
	times[0], times[nodes-1] = first, last
	return times
}

// A single key that asks for more than any back end has is served by the fastest: a third
// of the time for a run is three times as many answers.
func TestAKeyThatFillsASlowBackEndGoesToTheFastest(t *testing.T) {
	l := newLeader()
	const nodes, hot = 6, keyspace.Key(100)
	load := pacedLoad{runTime: runTimesOf(nodes, 340*time.Millisecond, 200*time.Millisecond, 90*time.Millisecond), mean: 200 * time.Millisecond}
	for range 60 {
		l.work(load)
	}
	assert.Equal(t, l.state.Owners(service).Find(hot).Owner, "i-0-0")
	load.slots = map[keyspace.Key]float64{hot: 12}
	for range 30 {
		l.work(load)
	}
	assert.Equal(t, l.state.Owners(service).Find(hot).Owner, "i-5-0")
	all := len(l.state.Owners(service).All())
	for range 50 {
		l.work(load)
	}
	assert.Equal(t, l.state.Owners(service).Find(hot).Owner, "i-5-0", "and stays there")
	assert.Equal(t, len(l.state.Owners(service).All()), all, "nothing else moves")
}

// Neighbouring keys that run hot together are spread over several back ends at once.
func TestAHotRangeIsSpreadOverSeveralBackEnds(t *testing.T) {
	l := newLeader()
	const nodes = 8
	load := pacedLoad{runTime: runTimesOf(nodes, 200*time.Millisecond, 200*time.Millisecond, 200*time.Millisecond), mean: 200 * time.Millisecond}
	for range 60 {
		l.work(load)
	}
	load.slots = map[keyspace.Key]float64{}
	for key := range keyspace.Key(60) {
		load.slots[1000+key*4] = 0.25
	}
	for range 15 {
		l.work(load)
	}
	owners := map[string]bool{}
	for key := range load.slots {
		owners[l.state.Owners(service).Find(key).Owner] = true
	}
	assert.Assert(t, len(owners) >= 4, "%d owners after 1.5 s of 15 slots asked of one with 4", len(owners))
}

// Back ends that take twice as long end up with about half of what the others serve.
func TestSlowBackEndsServeLess(t *testing.T) {
	l := newLeader()
	const nodes = 4
	load := pacedLoad{runTime: runTimesOf(nodes, 300*time.Millisecond, 150*time.Millisecond, 150*time.Millisecond), mean: 150 * time.Millisecond, slots: map[keyspace.Key]float64{}}
	for key := keyspace.Key(0); key < 65000; key += 500 {
		load.slots[key] = 0.08
	}
	for range 200 {
		l.work(load)
	}
	share := map[string]float64{}
	for key, slots := range load.slots {
		share[l.state.Owners(service).Find(key).Owner] += slots
	}
	assert.Assert(t, share["i-0-0"] < 0.8*share["i-1-0"], "%v", share)
}
