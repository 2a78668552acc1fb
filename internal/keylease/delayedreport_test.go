package keylease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A restarted gateway may first receive a delayed heartbeat of an earlier incarnation and
// report that one. The current incarnation keeps its keys.
func TestDelayedReportOfEarlierIncarnationMovesNoKeys(t *testing.T) {
	l := newLeader()
	first, next, other := instance(0, 0), instance(0, 1), instance(1, 0)
	l.reportFor(6*time.Second, first, other)
	l.reportFor(6*time.Second, next, other)
	before := l.keysOf(next)
	assert.Assert(t, before > 0)
	l.report(first)
	l.reportFor(time.Second, other)
	assert.Equal(t, l.keysOf(next), before)
	assert.Equal(t, l.keysOf(first), 0)
}
