package keylease_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"gotest.tools/v3/assert"
)

// fragmentedLeader returns a leader with two back ends, one of which owns many adjacent
// ranges with a fence each.
func fragmentedLeader(ranges int) *leader {
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

// step reports both back ends, which release what they are asked for.
func (l *leader) step() {
	for node := range 2 {
		lease := l.report(instance(node, 0))
		l.report(instance(node, 0), releasesOf(lease.Release, "")...)
	}
	l.advance(100 * time.Millisecond)
}

func TestAdjacentRangesAreMergedIfOwnerHasMany(t *testing.T) {
	l := fragmentedLeader(30)
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
	assert.Assert(t, after[0].Fence > highest, "the merged range has a new fence")
	assert.Equal(t, after[0].Range, keyspace.Range{First: 0, Last: 32767})
	lease := l.report(instance(0, 0))
	assert.Equal(t, len(lease.Held), 1)
	assert.Equal(t, len(lease.Release), 0, "nothing moves")
}

func TestFewRangesAreNotMerged(t *testing.T) {
	l := fragmentedLeader(5)
	before := l.state.OwnersIndex()
	for range 80 {
		l.step()
	}
	assert.Equal(t, l.state.OwnersIndex(), before)
}

// If a range is merged before its back end has taken over the previous owner's handover,
// that handover is lost.
func TestRangesAreMergedOnlyAfterDelay(t *testing.T) {
	l := fragmentedLeader(30)
	l.elect()
	began := l.now
	for len(l.state.Owners(service).OwnedBy("i-0-0")) > 1 {
		l.step()
	}
	assert.Assert(t, l.now-began >= 5*time.Second)
}

// A range that is being released is not merged.
func TestMovingRangeIsNotMerged(t *testing.T) {
	l := fragmentedLeader(30)
	draining := instance(0, 0)
	draining.State, draining.Sequence = fleetwire.InstanceDraining, 2
	// The lease that lists the ranges lasts longer than this loop.
	for range 70 {
		l.report(draining)
		l.report(instance(1, 0))
		l.advance(100 * time.Millisecond)
		assert.Assert(t, len(l.state.Owners(service).OwnedBy("i-0-0")) > 30)
	}
}
