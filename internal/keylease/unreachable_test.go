package keylease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
)

// unreachable is an instance that its gateway can't reach any more.
func unreachable(node, life int) *fleetwire.Instance {
	told := instance(node, life)
	told.State = fleetwire.InstanceGone
	return told
}

// One that refuses connections may live, and hold its keys.
func TestKeysOfAnUnreachableOwnerStayUntilTheirTimeIsOver(t *testing.T) {
	l := newLeader()
	a, b := instance(0, 0), instance(1, 0)
	l.exchange(6*time.Second, a, b)
	before := l.keysOf(a)
	lost := unreachable(0, 0)
	l.exchange(3*time.Second, lost, b)
	assert.Equal(t, l.keysOf(a), before)
	lost.Released = true
	l.exchange(100*time.Millisecond, lost, b)
	assert.Equal(t, l.keysOf(a), 0)
}

// Where its gateway is lost, too, the lease is the bound.
func TestKeysOfAnUnreachableOwnerAreFreeOnceItsLeaseHasEnded(t *testing.T) {
	l := newLeader()
	a, b := instance(0, 0), instance(1, 0)
	l.exchange(6*time.Second, a, b)
	lastLease := l.now
	l.exchange(time.Second, unreachable(0, 0), b)
	for l.keysOf(a) > 0 {
		l.exchange(100*time.Millisecond, unreachable(0, 0), b)
	}
	assert.Assert(t, l.now-lastLease >= keylease.DefaultLeaseDuration-200*time.Millisecond, "%v", l.now-lastLease)
}

// A listener that was closed for a moment costs no move.
func TestAnOwnerThatIsReachedAgainKeepsItsKeys(t *testing.T) {
	l := newLeader()
	a, b := instance(0, 0), instance(1, 0)
	l.exchange(6*time.Second, a, b)
	before := l.keysOf(a)
	l.exchange(time.Second, unreachable(0, 0), b)
	lease := l.report(a)
	assert.Equal(t, len(lease.Release), 0)
	l.exchange(10*time.Second, a, b)
	assert.Equal(t, l.keysOf(a), before)
}

// A former life that only closed its listener holds its keys for the rest of their time, also
// where its gateway says nothing any more.
func TestKeysOfAnEarlierLifeStayUntilItsLeaseHasEnded(t *testing.T) {
	l := newLeader()
	a, b := instance(0, 0), instance(1, 0)
	l.exchange(6*time.Second, a, b)
	l.earlierHold = true
	changed := l.now
	for l.keysOf(a) > 0 {
		l.exchange(100*time.Millisecond, instance(0, 1), b)
	}
	assert.Assert(t, l.now-changed >= keylease.DefaultLeaseDuration-200*time.Millisecond, "%v", l.now-changed)
}

// While the next owner of a range is on its way through the log, the one before is heard
// again. Granted the range once more to make late grants harmless, it would hold it beside
// the next one.
func TestARangeWithANextOwnerInTheLogIsNotCoveredAgain(t *testing.T) {
	l := newLeader()
	a, b := instance(0, 0), instance(1, 0)
	l.exchange(6*time.Second, a, b)
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
