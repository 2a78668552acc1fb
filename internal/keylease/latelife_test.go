package keylease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A gateway that has restarted may hear a late heartbeat of an earlier life first, and
// tell of it. The present life holds its keys all the while.
func TestALateWordOfAnEarlierLifeTakesNoKeys(t *testing.T) {
	l := newLeader()
	first, next, other := instance(0, 0), instance(0, 1), instance(1, 0)
	l.exchange(6*time.Second, first, other)
	l.exchange(6*time.Second, next, other)
	before := l.keysOf(next)
	assert.Assert(t, before > 0)
	l.report(first)
	l.exchange(time.Second, other)
	assert.Equal(t, l.keysOf(next), before)
	assert.Equal(t, l.keysOf(first), 0)
}
