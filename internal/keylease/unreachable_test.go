package keylease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
)

// unreachable returns an instance that its gateway can't reach any more.
func unreachable(node, incarnation int) *fleetwire.Instance {
	reported := instance(node, incarnation)
	reported.State = fleetwire.InstanceGone
	return reported
}

// An owner that refuses connections may still run and hold its keys.
func TestUnreachableOwnerKeepsKeysUntilGrantsExpire(t *testing.T) {
	l := newLeader()
	a, b := instance(0, 0), instance(1, 0)
	l.reportFor(6*time.Second, a, b)
	before := l.keysOf(a)
	lost := unreachable(0, 0)
	l.reportFor(3*time.Second, lost, b)
	assert.Equal(t, l.keysOf(a), before)
	lost.Released = true
	l.reportFor(100*time.Millisecond, lost, b)
	assert.Equal(t, l.keysOf(a), 0)
}

// If the release is never confirmed, the keys become free when the lease expires.
func TestKeysOfUnreachableOwnerMoveAfterItsLease(t *testing.T) {
	l := newLeader()
	a, b := instance(0, 0), instance(1, 0)
	l.reportFor(6*time.Second, a, b)
	lastLease := l.now
	l.reportFor(time.Second, unreachable(0, 0), b)
	for l.keysOf(a) > 0 {
		l.reportFor(100*time.Millisecond, unreachable(0, 0), b)
	}
	assert.Assert(t, l.now-lastLease >= keylease.DefaultLeaseDuration-200*time.Millisecond, "%v", l.now-lastLease)
}

// A listener that is closed briefly causes no move.
func TestOwnerReachableAgainKeepsItsKeys(t *testing.T) {
	l := newLeader()
	a, b := instance(0, 0), instance(1, 0)
	l.reportFor(6*time.Second, a, b)
	before := l.keysOf(a)
	l.reportFor(time.Second, unreachable(0, 0), b)
	lease := l.report(a)
	assert.Equal(t, len(lease.Release), 0)
	l.reportFor(10*time.Second, a, b)
	assert.Equal(t, l.keysOf(a), before)
}

// An earlier incarnation that only closed its listener holds its keys until their lease
// expires, even if its gateway no longer reports anything about it.
func TestEarlierIncarnationKeepsKeysUntilItsLeaseEnds(t *testing.T) {
	l := newLeader()
	a, b := instance(0, 0), instance(1, 0)
	l.reportFor(6*time.Second, a, b)
	l.withholdEarlierOver = true
	changed := l.now
	for l.keysOf(a) > 0 {
		l.reportFor(100*time.Millisecond, instance(0, 1), b)
	}
	assert.Assert(t, l.now-changed >= keylease.DefaultLeaseDuration-200*time.Millisecond, "%v", l.now-changed)
}

// While the next owner of a range is being committed to the log, the previous owner is
// reported again. If it were granted the range once more, to invalidate late grants, two
// owners would hold it.
func TestRangeWithNextOwnerInLogIsNotLeased(t *testing.T) {
	l := newLeader()
	a, b := instance(0, 0), instance(1, 0)
	l.reportFor(6*time.Second, a, b)
	lost := unreachable(0, 0)
	lost.Released = true
	l.report(lost)
	batch := l.planner.Tick(l.now)
	assert.Assert(t, batch != nil)
	lease := l.report(a)
	assert.Equal(t, len(lease.Held)+len(lease.Release), 0, "%+v", lease)
	l.apply(&fleetstate.Command{Ownership: batch})
	l.planner.BatchDone()
	assert.Equal(t, l.keysOf(a), 0)
}
