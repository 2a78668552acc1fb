package keylease_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"gotest.tools/v3/assert"
)

// instanceInZone returns the first incarnation at a node, in a zone.
func instanceInZone(node int, zone string) *fleetwire.Instance {
	reported := instance(node, 0)
	reported.Zone = zone
	return reported
}

// evenLoad is a load report with 25 ms of slot time for every 4,096th of the keys that an
// instance owns.
func (l *leader) evenLoad(reported *fleetwire.Instance) []fleetwire.KeyLoad {
	const every, busy = 4096, 25 * time.Millisecond
	var load []fleetwire.KeyLoad
	for _, owned := range l.state.Owners(service).OwnedBy(reported.ID) {
		for key := int(owned.First+every-1) / every * every; key <= int(owned.Last); key += every {
			load = append(load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(keyspace.Key(key)), BusyMicros: uint64(busy.Microseconds())})
		}
	}
	return load
}

// reportFor lets instances report and release what they are asked for, every 100 ms for
// the given time.
func (l *leader) reportFor(length time.Duration, instances ...*fleetwire.Instance) {
	releases := map[string][]fleetwire.Released{}
	for range length / (100 * time.Millisecond) {
		for _, reported := range instances {
			report := &fleetwire.Report{Boot: 1, Instance: reported, Released: releases[reported.ID], Load: l.evenLoad(reported), EarlierOver: !l.withholdEarlierOver}
			lease := l.planner.Report(report, l.now)
			releases[reported.ID] = releasesOf(lease.Release, "left")
		}
		l.advance(100 * time.Millisecond)
	}
}

func (l *leader) evacuate(zone string, evacuate bool) {
	l.apply(&fleetstate.Command{Evacuation: &fleetstate.ChangeEvacuation{Zone: zone, Evacuate: evacuate}})
}

// keysOf returns the number of keys that an instance owns.
func (l *leader) keysOf(reported *fleetwire.Instance) int {
	count := 0
	for _, owned := range l.state.Owners(service).OwnedBy(reported.ID) {
		count += owned.Size()
	}
	return count
}

func TestEvacuatedZoneLosesItsKeys(t *testing.T) {
	l := newLeader()
	a, b, c := instanceInZone(0, "a"), instanceInZone(1, "b"), instanceInZone(2, "b")
	l.reportFor(6*time.Second, a, b, c)
	assert.Assert(t, l.keysOf(a) > 0)
	l.evacuate("a", true)
	l.reportFor(time.Second, a, b, c)
	assert.Equal(t, l.keysOf(a), 0)
	assert.Equal(t, l.keysOf(b)+l.keysOf(c), 65536)
	l.evacuate("a", false)
	l.reportFor(10*time.Second, a, b, c)
	assert.Assert(t, l.keysOf(a) > 0, "the zone gets keys again")
}

// If all zones of a service are evacuated, its keys stay where they are, since no target
// is left.
func TestKeysStayIfAllZonesAreEvacuated(t *testing.T) {
	l := newLeader()
	a, b := instanceInZone(0, "a"), instanceInZone(1, "b")
	l.reportFor(6*time.Second, a, b)
	before := l.keysOf(a)
	l.evacuate("a", true)
	l.evacuate("b", true)
	l.reportFor(2*time.Second, a, b)
	assert.Equal(t, l.keysOf(a), before)
}

// A cold back end can serve only few requests and would fail under the keys of a fully
// loaded one.
func TestKeysOfLostOwnerGoToWarmBackEnds(t *testing.T) {
	l := newLeader()
	a, b, c := instanceInZone(0, "a"), instanceInZone(1, "b"), instanceInZone(2, "b")
	l.reportFor(6*time.Second, a, b)
	next := instance(0, 1)
	next.Cold, c.Cold = true, true
	l.reportFor(2*time.Second, next, b, c)
	assert.Equal(t, l.keysOf(b), 65536)
	assert.Equal(t, l.keysOf(next)+l.keysOf(c), 0)
	next.Cold, c.Cold = false, false
	l.reportFor(10*time.Second, next, b, c)
	assert.Assert(t, l.keysOf(next) > 0 && l.keysOf(c) > 0, "warm back ends get keys")
}

// After an outage of the whole service all back ends are cold, but the keys need owners.
func TestKeysGoToColdBackEndsIfAllAreCold(t *testing.T) {
	l := newLeader()
	a, b := instanceInZone(0, "a"), instanceInZone(1, "b")
	l.reportFor(6*time.Second, a, b)
	nextA, nextB := instance(0, 1), instance(1, 1)
	nextA.Cold, nextB.Cold = true, true
	l.reportFor(2*time.Second, nextA, nextB)
	assert.Equal(t, l.keysOf(nextA)+l.keysOf(nextB), 65536)
}
