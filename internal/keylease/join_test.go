package keylease_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"gotest.tools/v3/assert"
)

// divided is a leader with two back ends, of which one owns many neighbouring
// ranges under a fence each.
func divided(ranges int) *leader {
	l := newLeader()
	for range 60 {
		l.report(instance(0, 0))
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
	}
	const size = 100
	for i := range ranges {
		first := keyspace.Key(i * size)
		l.apply(&fleetstate.Command{Ownership: &fleetstate.ChangeOwnership{Changes: []fleetstate.OwnershipChange{{
			Service: service, Keys: keyspace.Range{First: first, Last: first + size - 1}, From: "i-0-0", To: "i-0-0", Node: "node-0", Boot: 1,
		}}}})
	}
	return l
}

// step reports both back ends, which give up what they are asked for.
func (l *leader) step() {
	for node := range 2 {
		lease := l.report(instance(node, 0))
		l.report(instance(node, 0), promisesOf(lease.Release, "")...)
	}
	l.advance(100 * time.Millisecond)
}

func TestNeighbouringRangesOfAnOwnerThatHasManyAreJoined(t *testing.T) {
	l := divided(30)
	before := l.state.Owners(service).OwnedBy("i-0-0")
	assert.Assert(t, len(before) > 30)
	highest := keyspace.Fence(0)
	for _, owned := range before {
		highest = max(highest, owned.Fence)
	}
	for range 80 {
		l.step()
	}
	after := l.state.Owners(service).OwnedBy("i-0-0")
	assert.Equal(t, len(after), 1)
	assert.Assert(t, after[0].Fence > highest, "a fence is not used twice")
	assert.Equal(t, after[0].Range, keyspace.Range{First: 0, Last: 32767})
	lease := l.report(instance(0, 0))
	assert.Equal(t, len(lease.Held), 1)
	assert.Equal(t, len(lease.Release), 0, "nothing moves")
}

func TestFewRangesAreLeftAlone(t *testing.T) {
	l := divided(5)
	before := l.state.OwnersIndex()
	for range 80 {
		l.step()
	}
	assert.Equal(t, l.state.OwnersIndex(), before)
}

// What the last owner left is lost where a range is joined before its back end
// has taken it.
func TestRangesRestBeforeTheyAreJoined(t *testing.T) {
	l := divided(30)
	l.elect()
	began := l.now
	for len(l.state.Owners(service).OwnedBy("i-0-0")) > 1 {
		l.step()
	}
	assert.Assert(t, l.now-began >= 5*time.Second)
}

// A range that is being given up stays apart.
func TestARangeThatMovesIsNotJoined(t *testing.T) {
	l := divided(30)
	draining := instance(0, 0)
	draining.State, draining.Sequence = fleetwire.InstanceDraining, 2
	// The lease that lists them lasts for longer.
	for range 70 {
		l.report(draining)
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
		assert.Assert(t, len(l.state.Owners(service).OwnedBy("i-0-0")) > 30)
	}
}
