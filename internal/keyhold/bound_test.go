package keyhold_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/keyhold"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
)

const hold = 2 * time.Second

// A gateway stood still for a second between working a grant out and sending it. By its own
// count the back end's time was over 0.6 s before it was.
func TestNothingIsOverWhileAnOrderIsOnItsWay(t *testing.T) {
	var bound keyhold.Bound
	start := time.Now()
	bound.Send(hold)
	assert.Assert(t, !bound.Over(start.Add(time.Hour)))
	bound.Answered(start.Add(time.Second))
	assert.Assert(t, !bound.Over(start.Add(time.Second+hold)))
	assert.Assert(t, bound.Over(start.Add(time.Second+keyhold.Longest(hold))))
}

func TestWhatWasNotTakenLengthensNothing(t *testing.T) {
	var bound keyhold.Bound
	start := time.Now()
	bound.Given(start, hold)
	bound.Send(hold)
	bound.NotTaken()
	assert.Assert(t, bound.Over(start.Add(keyhold.Longest(hold))))
	bound.Send(hold)
	bound.TakenBack()
	assert.Assert(t, bound.Over(start))
}

// Whatever is sent, answered late, refused or lost: a back end whose clock is as slow as it
// may be never holds keys that are taken for free.
func TestKeysAreNeverHeldOnceTheyAreTakenForOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bound keyhold.Bound
		now := time.Now()
		heldUntil := now
		pass := func(label string) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, label)) * time.Millisecond)
			if bound.Over(now) && now.Before(heldUntil) {
				t.Fatalf("taken for over %v before it is", heldUntil.Sub(now))
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "orders") {
			length := time.Duration(rapid.IntRange(100, 5000).Draw(t, "hold")) * time.Millisecond
			bound.Send(length)
			pass("before it arrives")
			if rapid.Bool().Draw(t, "refused") {
				bound.NotTaken()
				pass("after the refusal")
				continue
			}
			arrived := now.Add(time.Duration(float64(length) * (1 + keyhold.ClockDrift)))
			if arrived.After(heldUntil) {
				heldUntil = arrived
			}
			pass("before the answer")
			bound.Answered(now)
			pass("after the answer")
		}
	})
}
