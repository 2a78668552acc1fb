package steady_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

func TestInstantsMeasureElapsedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := steady.Now()
		time.Sleep(time.Minute)
		assert.Equal(t, steady.Since(began), time.Minute)
		assert.Equal(t, began.Add(time.Minute), steady.Now())
		assert.Assert(t, began.Before(steady.Now()))
	})
}

func TestAtomicZeroValueIsUnset(t *testing.T) {
	var stored steady.Atomic
	_, ok := stored.Load()
	assert.Assert(t, !ok)
	now := steady.Now()
	stored.Store(now)
	loaded, ok := stored.Load()
	assert.Assert(t, ok)
	assert.Equal(t, loaded, now)
}

// Instants and readings both include the time of a suspension; time.Now doesn't.
func TestClockIncludesSuspendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instant, reading, plain := steady.Now(), steady.Reading(), time.Now()
		steady.SimulateSuspension(5 * time.Second)
		time.Sleep(time.Second)
		assert.Equal(t, steady.Since(instant), 6*time.Second)
		assert.Equal(t, steady.Elapsed(reading), 6*time.Second)
		assert.Equal(t, steady.Until(reading.Add(7*time.Second)), time.Second)
		assert.Equal(t, time.Since(plain), time.Second)
	})
}

// A delay between the readings of the two clocks must not count as a suspension.
func TestSuspendedStaysConstantOnARunningMachine(t *testing.T) {
	before := steady.Suspended()
	for range 10_000 {
		assert.Equal(t, steady.Suspended(), before)
	}
}
