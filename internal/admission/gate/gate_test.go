package gate_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/admission/gate"
	"github.com/quartzdock/quartzdock/internal/wire"
)

func newGate(t *testing.T, config admission.Config) (*gate.Gate, func() time.Duration) {
	t.Helper()
	begin := time.Now()
	clock := func() time.Duration { return time.Since(begin) }
	g, err := gate.New(config, clock)
	assert.NilError(t, err)
	return g, clock
}

// Half of the callers cancel while they wait or run; no slot may leak or be
// granted twice.
func TestNoSlotLeaksWhenCallersCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 4
		g, _ := newGate(t, admission.Config{Slots: slots, QueueLimit: 1000})
		var mutex sync.Mutex
		running := 0
		var all sync.WaitGroup
		for i := range 200 {
			all.Go(func() {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				if i%2 == 0 {
					time.AfterFunc(time.Duration(i)*time.Millisecond, cancel)
				}
				slot, err := g.Acquire(ctx, admission.Request{Caller: "app"})
				if err != nil {
					assert.Assert(t, errors.Is(err, context.Canceled), "got %v", err)
					return
				}
				mutex.Lock()
				running++
				assert.Assert(t, running <= slots)
				mutex.Unlock()
				time.Sleep(7 * time.Millisecond)
				mutex.Lock()
				running--
				mutex.Unlock()
				slot.Release()
			})
		}
		all.Wait()
		assert.Equal(t, g.Running(), 0)
		assert.Equal(t, g.Waiting(), 0)
	})
}

// A request that cannot start in time is refused at its latest start time, not
// only at its deadline.
func TestRequestIsRefusedAtLatestStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g, clock := newGate(t, admission.Config{Slots: 1})
		slot, err := g.Acquire(t.Context(), admission.Request{Caller: "a"})
		assert.NilError(t, err)
		_, err = g.Acquire(t.Context(), admission.Request{Caller: "b", Deadline: clock() + 100*time.Millisecond})
		var refusal *admission.Refusal
		assert.Assert(t, errors.As(err, &refusal))
		assert.Equal(t, refusal.Reason, wire.ReasonShed)
		assert.Assert(t, refusal.RetryAfter > 0)
		assert.Equal(t, clock(), 95*time.Millisecond, "less than 5 ms of service time are left")
		slot.Release()
	})
}
