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

func TestAnAtomicInstantKnowsThatItHoldsNone(t *testing.T) {
	var kept steady.Atomic
	_, ok := kept.Load()
	assert.Assert(t, !ok)
	now := steady.Now()
	kept.Store(now)
	loaded, ok := kept.Load()
	assert.Assert(t, ok)
	assert.Equal(t, loaded, now)
}
