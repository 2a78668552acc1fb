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

// inZone is an instance of the first life beside a node.
func inZone(node int, zone string) *fleetwire.Instance {
	told := instance(node, 0)
	told.Zone = zone
	return told
}

// loadOf is a report of a quarter of a slot for each sixteenth of the keys that an
// instance owns.
func (l *leader) loadOf(told *fleetwire.Instance) []fleetwire.KeyLoad {
	const every, busy = 4096, 25 * time.Millisecond
	var load []fleetwire.KeyLoad
	for _, owned := range l.state.Owners(service).OwnedBy(told.ID) {
		for key := int(owned.First+every-1) / every * every; key <= int(owned.Last); key += every {
			load = append(load, fleetwire.KeyLoad{Bucket: keylease.BucketOf(keyspace.Key(key)), BusyMicros: uint64(busy.Microseconds())})
		}
	}
	return load
}

// exchange lets instances report and give up what they are asked for, for a time.
func (l *leader) exchange(length time.Duration, instances ...*fleetwire.Instance) {
	promises := map[string][]fleetwire.Released{}
	for range length / (100 * time.Millisecond) {
		for _, told := range instances {
			report := &fleetwire.Report{Boot: 1, Instance: told, Released: promises[told.ID], Load: l.loadOf(told), EarlierOver: !l.earlierHold}
			lease := l.planner.Report(report, l.now)
			promises[told.ID] = promisesOf(lease.Release, "left")
		}
		l.advance(100 * time.Millisecond)
	}
}

func (l *leader) evacuate(zone string, evacuate bool) {
	l.apply(&fleetstate.Command{Evacuation: &fleetstate.ChangeEvacuation{Zone: zone, Evacuate: evacuate}})
}

// keysOf is how many keys an instance owns.
func (l *leader) keysOf(told *fleetwire.Instance) int {
	count := 0
	for _, owned := range l.state.Owners(service).OwnedBy(told.ID) {
		count += owned.Size()
	}
	return count
}

func TestKeysLeaveAnEvacuatedZone(t *testing.T) {
	l := newLeader()
	a, b, c := inZone(0, "a"), inZone(1, "b"), inZone(2, "b")
	l.exchange(6*time.Second, a, b, c)
	assert.Assert(t, l.keysOf(a) > 0)
	l.evacuate("a", true)
	l.exchange(time.Second, a, b, c)
	assert.Equal(t, l.keysOf(a), 0)
	assert.Equal(t, l.keysOf(b)+l.keysOf(c), 65536)
	l.evacuate("a", false)
	l.exchange(10*time.Second, a, b, c)
	assert.Assert(t, l.keysOf(a) > 0, "it joins again")
}

// Where all zones of a service are evacuated, its keys stay where they are: there is
// nobody to give them to.
func TestKeysStayWhereAllZonesAreEvacuated(t *testing.T) {
	l := newLeader()
	a, b := inZone(0, "a"), inZone(1, "b")
	l.exchange(6*time.Second, a, b)
	before := l.keysOf(a)
	l.evacuate("a", true)
	l.evacuate("b", true)
	l.exchange(2*time.Second, a, b)
	assert.Equal(t, l.keysOf(a), before)
}

// A cold back end bears few requests and would fail under the keys of a full one.
func TestKeysOfALostOwnerGoToWarmBackEnds(t *testing.T) {
	l := newLeader()
	a, b, c := inZone(0, "a"), inZone(1, "b"), inZone(2, "b")
	l.exchange(6*time.Second, a, b)
	next := instance(0, 1)
	next.Cold, c.Cold = true, true
	l.exchange(2*time.Second, next, b, c)
	assert.Equal(t, l.keysOf(b), 65536)
	assert.Equal(t, l.keysOf(next)+l.keysOf(c), 0)
	next.Cold, c.Cold = false, false
	l.exchange(10*time.Second, next, b, c)
	assert.Assert(t, l.keysOf(next) > 0 && l.keysOf(c) > 0, "they are warm now")
}

// After an outage of everything all are cold, and somebody must own the keys.
func TestKeysGoToColdBackEndsWhereAllAreCold(t *testing.T) {
	l := newLeader()
	a, b := inZone(0, "a"), inZone(1, "b")
	l.exchange(6*time.Second, a, b)
	nextA, nextB := instance(0, 1), instance(1, 1)
	nextA.Cold, nextB.Cold = true, true
	l.exchange(2*time.Second, nextA, nextB)
	assert.Equal(t, l.keysOf(nextA)+l.keysOf(nextB), 65536)
}
