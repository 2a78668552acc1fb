package gateway

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

const (
	longTarget  = 400 * time.Millisecond
	shortTarget = 100 * time.Millisecond
)

func demandFor(target, patience time.Duration) demand {
	return demand{Priority: 1, Due: steady.Reading().Add(target), Target: target, InTimeWait: patience}
}

// limiterWithShortLoad returns a slotLimiter that has served long requests and one short one.
func limiterWithShortLoad(t *testing.T, slots int) *slotLimiter {
	g := newSlotLimiter()
	g.setCapacity(slots)
	for range 20 {
		taken, err := g.acquire(t.Context(), demandFor(longTarget, time.Second))
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
		g.release(taken, 50*time.Millisecond)
	}
	taken, err := g.acquire(t.Context(), demandFor(shortTarget, time.Second))
	assert.NilError(t, err)
	assert.Assert(t, taken.Short)
	time.Sleep(500 * time.Millisecond)
	g.release(taken, 20*time.Millisecond)
	return g
}

// Long requests wait for calls to other back ends, and those may make short calls to this
// one. If long requests filled every slot, such calls would find none.
func TestLongRequestsLeaveSlotsForShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := limiterWithShortLoad(t, 6)
		admitted := 0
		for range 6 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			if _, err := g.acquire(ctx, demandFor(longTarget, time.Second)); err == nil {
				admitted++
			}
			cancel()
		}
		assert.Equal(t, admitted, 5, "short requests use less than one slot, so one is reserved")
		_, err := g.acquire(t.Context(), demandFor(shortTarget, time.Millisecond))
		assert.NilError(t, err)
	})
}

// If short requests use more slots, more are reserved: their average use, in whole slots.
func TestSlotsReservedForShortRequestsMatchTheirUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := limiterWithShortLoad(t, 8)
		var running sync.WaitGroup
		for _, target := range []time.Duration{shortTarget, shortTarget, shortTarget, longTarget, longTarget} {
			running.Go(func() {
				for range 100 {
					taken, err := g.acquire(t.Context(), demandFor(target, time.Second))
					assert.Check(t, err)
					time.Sleep(50 * time.Millisecond)
					g.release(taken, 50*time.Millisecond)
				}
			})
		}
		running.Wait()
		for range 8 {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			_, _ = g.acquire(ctx, demandFor(longTarget, time.Second))
			cancel()
		}
		_, long, _ := g.queue.Running()
		assert.Equal(t, long, 5, "slots stay reserved between short requests")
	})
}

// Without short requests no slot is reserved for them.
func TestLongRequestsUseAllSlotsWithoutShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSlotLimiter()
		g.setCapacity(6)
		for range 6 {
			_, err := g.acquire(t.Context(), demandFor(longTarget, time.Millisecond))
			assert.NilError(t, err)
		}
		_, err := g.acquire(t.Context(), demandFor(longTarget, time.Millisecond))
		assert.ErrorIs(t, err, errNoSlot)
	})
}

func TestMoreUrgentRequestGetsNextSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSlotLimiter()
		g.setCapacity(1)
		first, err := g.acquire(t.Context(), demandFor(longTarget, time.Second))
		assert.NilError(t, err)
		var order atomic.Int32
		positions := make([]int32, 3)
		for i, priority := range []int{2, 1, 0} {
			go func() {
				wanted := demandFor(longTarget, time.Second)
				wanted.Priority = priority
				taken, err := g.acquire(t.Context(), wanted)
				assert.Check(t, err)
				positions[priority] = order.Add(1)
				g.release(taken, time.Millisecond)
			}()
			_ = i
		}
		synctest.Wait()
		g.release(first, time.Millisecond)
		synctest.Wait()
		assert.DeepEqual(t, positions, []int32{1, 2, 3})
	})
}

// A request that can't be served in its time is refused at once instead of waiting.
func TestRequestThatCanNotBeServedInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSlotLimiter()
		g.setCapacity(1)
		_, err := g.acquire(t.Context(), demandFor(longTarget, time.Second))
		assert.NilError(t, err)
		began := steady.Reading()
		_, err = g.acquire(t.Context(), demandFor(longTarget, 10*time.Millisecond))
		assert.ErrorIs(t, err, errNoSlot)
		assert.Equal(t, steady.Elapsed(began), time.Duration(0))
	})
}

func TestDisconnectedCallerLeavesSlotQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newSlotLimiter()
		g.setCapacity(1)
		first, err := g.acquire(t.Context(), demandFor(longTarget, time.Second))
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _, _ = g.acquire(ctx, demandFor(longTarget, time.Second)) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		g.release(first, time.Millisecond)
		running, waiting := g.counts()
		assert.Equal(t, running+waiting, 0)
	})
}

// A flood of short requests does not starve long ones: the next released slot goes to a
// waiting long request, not to one of the short requests before it.
func TestShortRequestsDoNotStarveLongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := limiterWithShortLoad(t, 8)
		var taken []overload.Slot
		for range 8 {
			short, err := g.acquire(t.Context(), demandFor(shortTarget, time.Second))
			assert.NilError(t, err)
			taken = append(taken, short)
		}
		ctx, cancel := context.WithCancel(t.Context())
		for range 20 {
			go func() { _, _ = g.acquire(ctx, demandFor(shortTarget, time.Second)) }()
		}
		synctest.Wait()
		go func() { _, _ = g.acquire(ctx, demandFor(longTarget, time.Second)) }()
		synctest.Wait()
		g.release(taken[0], time.Millisecond)
		synctest.Wait()
		runningShort, runningLong, _ := g.queue.Running()
		assert.Equal(t, runningLong, 1)
		assert.Equal(t, runningShort, 7)
		cancel()
		synctest.Wait()
	})
}
