package bodybudget_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/bodybudget"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/steady"
)

func at(milliseconds int) steady.Instant {
	return steady.Instant(time.Duration(milliseconds) * time.Millisecond)
}

func reserve(t *testing.T, budget *bodybudget.Budget, bytes int64, end, now steady.Instant) *bodybudget.Reservation {
	t.Helper()
	reservation, err := budget.Reserve(bytes, end, now)
	assert.NilError(t, err)
	return reservation
}

// retryAfter returns the time of a refusal.
func retryAfter(t *testing.T, err error) time.Duration {
	t.Helper()
	var full *bodybudget.FullError
	assert.Assert(t, errors.As(err, &full), "%v", err)
	return full.RetryAfter
}

// A body that is larger than the bound is admitted alone: refused for ever, it could never be sent.
func TestBodyBeyondTheBoundIsAdmittedAlone(t *testing.T) {
	budget := bodybudget.New(100)
	large := reserve(t, budget, 150, at(1000), at(0))
	_, err := budget.Reserve(1, at(1000), at(0))
	assert.Equal(t, retryAfter(t, err), time.Second)
	large.Release(at(200))
	small := reserve(t, budget, 1, at(1000), at(200))
	_, err = budget.Reserve(150, at(1000), at(200))
	assert.Assert(t, err != nil)
	assert.NilError(t, small.Grow(150, at(200)))
	assert.Equal(t, budget.Reserved(), int64(151))
}

// A refusal says when there is room: once those have ended that are in the way, and after the usual
// hold time where that is less.
func TestRetryAfter(t *testing.T) {
	budget := bodybudget.New(100)
	reserve(t, budget, 40, at(3000), at(0))
	reserve(t, budget, 40, at(500), at(0))
	_, err := budget.Reserve(50, at(9000), at(100))
	assert.Equal(t, retryAfter(t, err), 400*time.Millisecond)
	_, err = budget.Reserve(90, at(9000), at(100))
	assert.Equal(t, retryAfter(t, err), 2900*time.Millisecond)
	reserve(t, budget, 10, at(9000), at(100)).Release(at(150))
	_, err = budget.Reserve(90, at(9000), at(200))
	assert.Equal(t, retryAfter(t, err), 50*time.Millisecond)
}

func TestNoBoundRefusesNothing(t *testing.T) {
	budget := bodybudget.New(0)
	for range 10 {
		reserve(t, budget, 1<<40, at(1), at(0))
	}
}

// Whatever bodies come, grow and go, the reserved bytes are those of the bodies that are there, and
// exceed the bound only by a single one. What was told as the latest time is enough.
func TestReservedBytesAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 1000
		budget := bodybudget.New(limit)
		held := map[*bodybudget.Reservation]int64{}
		now := 0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += rapid.IntRange(0, 50).Draw(t, "pause")
			bytes := int64(rapid.IntRange(1, 1500).Draw(t, "bytes"))
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				if reservation, err := budget.Reserve(bytes, at(now+rapid.IntRange(0, 3000).Draw(t, "time")), at(now)); err == nil {
					held[reservation] = bytes
				}
			case 1:
				for reservation := range held {
					if reservation.Grow(bytes, at(now)) == nil {
						held[reservation] += bytes
					}
					break
				}
			default:
				for reservation := range held {
					reservation.Release(at(now))
					reservation.Release(at(now))
					delete(held, reservation)
					break
				}
			}
			sum := int64(0)
			for _, bytes := range held {
				sum += bytes
			}
			assert.Equal(t, budget.Reserved(), sum)
			assert.Assert(t, sum <= limit || len(held) == 1, "%d bytes of %d bodies", sum, len(held))
		}
	})
}
