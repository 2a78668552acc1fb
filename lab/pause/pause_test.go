package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/pause"
)

func TestForReturnsEarlyWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		assert.NilError(t, pause.For(t.Context(), time.Second))
		assert.Equal(t, time.Since(began), time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.ErrorIs(t, pause.For(ctx, time.Minute), context.DeadlineExceeded)
		assert.Equal(t, time.Since(began), 2*time.Second)
		assert.ErrorIs(t, pause.For(ctx, 0), context.DeadlineExceeded, "the error of an ended context must be returned even without a wait")
	})
}
