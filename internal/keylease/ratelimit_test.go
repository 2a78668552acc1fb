package keylease_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// A back end that states a rate limit lets others have the keys whose requests it does not take.
// Otherwise their callers are refused while the other back ends have room.
func TestBackEndWithARateLimitGivesKeysAway(t *testing.T) {
	l := newLeader()
	const nodes, limitedNode, limitedSlots, interval = 4, 0, 1.0, 100 * time.Millisecond
	runTime := 90 * time.Millisecond
	// Each of 512 ranges of keys uses an equal part of 10 slots in all, of the four that each back end has.
	const ranges, demand = 512, 10.0
	load := map[keyspace.Key]float64{}
	for number := range ranges {
		load[keyspace.Key(number*65536/ranges)] = demand / ranges
	}
	slotsOf := func(id string) (sum float64) {
		for _, owned := range l.state.Owners(service).OwnedBy(id) {
			for key, slots := range load {
				if owned.First <= key && key <= owned.Last {
					sum += slots
				}
			}
		}
		return sum
	}
	noise := 1.0
	reportAll := func(limited bool) {
		for node := range nodes {
			reported := instance(node, 0)
			report := &fleetwire.Report{Boot: 1, Instance: reported, Runs: 4, RunMicros: uint64(4 * runTime.Microseconds())}
			swing := 1.0
			if limited && node == limitedNode {
				report.LimitedSlots, swing = limitedSlots, noise
			}
			for _, owned := range l.state.Owners(service).OwnedBy(reported.ID) {
				for key, slots := range load {
					if owned.First <= key && key <= owned.Last {
						report.Load = append(report.Load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(key), BusyMicros: uint64(swing * slots * float64(interval.Microseconds()))})
					}
				}
			}
			lease := l.planner.Report(report, l.now)
			releases := &fleetwire.Report{Boot: 1, Instance: reported, Released: releasesOf(lease.Release, ""), LimitedSlots: report.LimitedSlots}
			l.planner.Report(releases, l.now)
		}
		l.advance(interval)
	}
	for range 60 {
		reportAll(false)
	}
	assert.Assert(t, slotsOf("i-0-0") > 1.5, "%.1f slots before", slotsOf("i-0-0"))
	for range 50 {
		reportAll(true)
	}
	assert.Assert(t, slotsOf("i-0-0") <= limitedSlots, "%.1f slots of a limit of %.1f", slotsOf("i-0-0"), limitedSlots)
	assert.Assert(t, slotsOf("i-0-0") > 0, "the room is used")
	// Its load swings by more than its small capacity, and the others have room.
	random := rand.New(rand.NewPCG(1, 2))
	before := slotsOf("i-0-0")
	for range 300 {
		noise = 2 * random.Float64()
		reportAll(true)
		assert.Assert(t, slotsOf("i-0-0") <= before, "keys come back while the limit is in force")
		before = slotsOf("i-0-0")
	}
	noise = 1
	for range 60 {
		reportAll(false)
	}
	assert.Assert(t, slotsOf("i-0-0") > 1.25, "%.1f slots after the limit was lifted", slotsOf("i-0-0"))
}
