package ratelimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/ratelimit"
)

var start = time.Unix(1_000_000, 0)

func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func limitOf(perSecond float64) ratelimit.Statement {
	return ratelimit.Statement{Limited: true, PerSecond: perSecond}
}

var unlimited ratelimit.Statement

func TestResponseOlderThanTheLimitDoesNotLiftIt(t *testing.T) {
	var tracker ratelimit.Tracker
	assert.Assert(t, tracker.Observe(limitOf(10), at(0), at(100)))
	assert.Assert(t, !tracker.Observe(unlimited, at(50), at(110)), "sent before the limit was received")
	assert.Equal(t, tracker.Statement(), limitOf(10))
	assert.Assert(t, !tracker.Observe(limitOf(20), at(100), at(120)))
	assert.Assert(t, tracker.Observe(limitOf(20), at(101), at(200)), "raised")
	assert.Assert(t, tracker.Observe(unlimited, at(201), at(300)), "lifted")
	assert.Equal(t, tracker.Statement(), unlimited)
}

func TestLowerLimitTakesEffectAtOnce(t *testing.T) {
	var tracker ratelimit.Tracker
	tracker.Observe(limitOf(10), at(0), at(100))
	assert.Assert(t, tracker.Observe(limitOf(2), at(10), at(101)))
	assert.Equal(t, tracker.Statement(), limitOf(2))
}

func TestRelayedLimitHoldsUntilTheBackEndResponds(t *testing.T) {
	var tracker ratelimit.Tracker
	assert.Assert(t, tracker.Relay(10))
	assert.Assert(t, !tracker.Relay(20), "a relayed limit is not loosened by another one")
	assert.Assert(t, tracker.Relay(5))
	assert.Equal(t, tracker.Statement(), limitOf(5))
	assert.Assert(t, tracker.Observe(unlimited, at(0), at(10)))
	assert.Assert(t, !tracker.Relay(5), "the back end itself has responded")
	assert.Equal(t, tracker.Statement(), unlimited)
}
