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

// A gateway was suspended for a second between creating a grant and sending it. Counted from
// its creation, the grant seemed to expire 0.6 s before it did at the back end.
func TestKeysAreHeldWhileGrantIsInFlight(t *testing.T) {
	var bound keyhold.Bound
	start := time.Now()
	bound.Send(hold)
	assert.Assert(t, !bound.Expired(start.Add(time.Hour)))
	bound.Answered(start.Add(time.Second))
	assert.Assert(t, !bound.Expired(start.Add(time.Second+hold)))
	assert.Assert(t, bound.Expired(start.Add(time.Second+keyhold.WithDrift(hold))))
}

func TestRejectedGrantDoesNotExtendBound(t *testing.T) {
	var bound keyhold.Bound
	start := time.Now()
	bound.Extend(start, hold)
	bound.Send(hold)
	bound.Rejected()
	assert.Assert(t, bound.Expired(start.Add(keyhold.WithDrift(hold))))
	bound.Send(hold)
	bound.Revoked()
	assert.Assert(t, bound.Expired(start))
}

// Whatever is sent, answered late or refused: a back end with the slowest clock that ClockDrift
// allows never holds keys that the sender considers free.
func TestKeysAreNeverHeldOnceBoundHasExpired(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var bound keyhold.Bound
		now := time.Now()
		heldUntil := now
		pass := func(label string) {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, label)) * time.Millisecond)
			if bound.Expired(now) && now.Before(heldUntil) {
				t.Fatalf("considered expired %v too early", heldUntil.Sub(now))
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "orders") {
			length := time.Duration(rapid.IntRange(100, 5000).Draw(t, "hold")) * time.Millisecond
			bound.Send(length)
			pass("before it arrives")
			if rapid.Bool().Draw(t, "refused") {
				bound.Rejected()
				pass("after the refusal")
				continue
			}
			arrived := now.Add(time.Duration(float64(length) * (1 + keyhold.ClockDrift)))
			if arrived.After(heldUntil) {
				heldUntil = arrived
			}
			pass("before the response")
			bound.Answered(now)
			pass("after the response")
		}
	})
}
