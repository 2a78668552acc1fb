package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

const testServiceTime = 300 * time.Millisecond

// limiterWithServiceTime returns a slotLimiter with the given number of slots and a known
// service time of testServiceTime.
func limiterWithServiceTime(slots int) *slotLimiter {
	g := newSlotLimiter()
	g.setCapacity(slots)
	g.queue.SetServiceTime(testServiceTime)
	return g
}

// demandWithin is the demand of a request that is due after one duration and abandoned by
// its caller after another.
func demandWithin(due, timeout time.Duration) demand {
	return demand{Due: steady.Reading().Add(due), Target: time.Second, InTimeWait: max(minSlotWait, due-testServiceTime), MaxWait: timeout - testServiceTime}
}

// occupySlots takes all slots and releases them after the given time.
func occupySlots(t *testing.T, g *slotLimiter, slots int, held time.Duration) {
	for range slots {
		taken, err := g.acquire(t.Context(), demandWithin(time.Second, time.Second))
		assert.NilError(t, err)
		time.AfterFunc(held, func() { g.release(taken, held) })
	}
}

// A request that can't be answered in time any more is still answered before its caller
// gives up if a slot is unused.
func TestLateRequestWaitsForUnusedSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := limiterWithServiceTime(2)
		occupySlots(t, g, 2, testServiceTime)
		began := steady.Reading()
		taken, err := g.acquire(t.Context(), demandWithin(100*time.Millisecond, 2*time.Second))
		assert.NilError(t, err)
		assert.Assert(t, taken.Late)
		assert.Equal(t, steady.Elapsed(began), testServiceTime)
		g.release(taken, testServiceTime)
		synctest.Wait()
		_, long, late := g.queue.Running()
		assert.Equal(t, late, 0)
		assert.Equal(t, long, 0)
	})
}

// Requests that can be answered in time go before late ones, whatever their order of
// arrival.
func TestRequestInTimeGoesBeforeLateOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := limiterWithServiceTime(1)
		occupySlots(t, g, 1, testServiceTime)
		order := make(chan string, 2)
		send := func(name string, wanted demand) {
			taken, err := g.acquire(t.Context(), wanted)
			assert.Check(t, err)
			order <- name
			time.Sleep(testServiceTime)
			g.release(taken, testServiceTime)
		}
		go send("late", demandWithin(0, 3*time.Second))
		synctest.Wait()
		go send("in time", demandWithin(2*time.Second, 3*time.Second))
		assert.Equal(t, <-order, "in time")
		assert.Equal(t, <-order, "late")
		time.Sleep(time.Second)
	})
}

// If requests in time use all slots, a late request is refused at once.
func TestLateRequestIsRefusedAtOnceIfNoSlotIsUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots = 4
		g := limiterWithServiceTime(slots)
		for range 30 {
			occupySlots(t, g, slots, testServiceTime)
			time.Sleep(testServiceTime)
		}
		occupySlots(t, g, slots, testServiceTime)
		began := steady.Reading()
		_, err := g.acquire(t.Context(), demandWithin(0, 3*time.Second))
		assert.ErrorIs(t, err, errNoSlot)
		assert.Equal(t, steady.Elapsed(began), time.Duration(0))
		time.Sleep(time.Second)
	})
}

func TestAbandonedLateRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := limiterWithServiceTime(1)
		occupySlots(t, g, 1, 5*time.Second)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err := g.acquire(ctx, demandWithin(0, 3*time.Second))
		assert.ErrorIs(t, err, context.Canceled)
		began := steady.Reading()
		_, err = g.acquire(t.Context(), demandWithin(0, time.Second))
		assert.ErrorIs(t, err, errNoSlot)
		assert.Assert(t, steady.Elapsed(began) <= time.Second-testServiceTime)
		_, waiting := g.counts()
		assert.Equal(t, waiting, 0)
		time.Sleep(5 * time.Second)
	})
}

// How late requests are handled: not at all, or as ones that any back end or only this one
// can serve.
const (
	lateDisabled = iota
	lateAllowed
	lateSoleServer
)

// callerTarget is the target latency of the callers in countServed.
const callerTarget = 600 * time.Millisecond

// countServed counts how many callers are answered in time, late and not at all, and the
// total time that the refused ones have waited.
func countServed(t *testing.T, load float64, lateMode int) (inTime, late, refused int, wasted time.Duration) {
	const slots, callers, target, timeout = 6, 1500, callerTarget, 1500 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 7))
		g := limiterWithServiceTime(slots)
		var mutex sync.Mutex
		var all sync.WaitGroup
		for range callers {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(testServiceTime) / slots / load))
			work := time.Duration(random.ExpFloat64() * float64(testServiceTime))
			all.Go(func() {
				began := steady.Reading()
				wanted := demandWithin(target, timeout)
				wanted.OnlyHere = lateMode == lateSoleServer
				if lateMode == lateDisabled {
					wanted.MaxWait = 0
				}
				taken, err := g.acquire(t.Context(), wanted)
				if err == nil {
					time.Sleep(work)
					g.release(taken, work)
				}
				mutex.Lock()
				defer mutex.Unlock()
				switch took := steady.Elapsed(began); {
				case err != nil:
					refused++
					wasted += took
				case took <= target:
					inTime++
				default:
					late++
				}
			})
		}
		all.Wait()
	})
	return inTime, late, refused, wasted
}

// Serving late requests from unused slots reduces refusals, and hardly any request that
// would have been answered in time becomes late.
func TestUnusedSlotsServeMoreCallers(t *testing.T) {
	for _, load := range []float64{0.7, 0.9, 1.3} {
		inTimeBefore, lateBefore, refusedBefore, _ := countServed(t, load, lateDisabled)
		inTime, late, refused, _ := countServed(t, load, lateAllowed)
		t.Logf("load %.1f: in time %d -> %d, late %d -> %d, refused %d -> %d", load, inTimeBefore, inTime, lateBefore, late, refusedBefore, refused)
		assert.Assert(t, refused <= refusedBefore)
		assert.Assert(t, float64(inTime) >= 0.97*float64(inTimeBefore))
	}
}

// A request that only its key's owner can serve waits out a burst: if refused, it would come
// back to the same owner. Under lasting overload no more requests are served this way, and
// those that are refused learn it within a quarter of their target on average.
func TestRequestForSoleServerWaitsOutBursts(t *testing.T) {
	for load, fewer := range map[float64]float64{0.7: 0.7, 0.8: 0.7, 0.9: 0.8, 1.3: 1} {
		inTimeBefore, lateBefore, refusedBefore, _ := countServed(t, load, lateAllowed)
		inTime, late, refused, wasted := countServed(t, load, lateSoleServer)
		t.Logf("load %.1f: in time %d -> %d, late %d -> %d, refused %d -> %d, after %v in all", load, inTimeBefore, inTime, lateBefore, late, refusedBefore, refused, wasted)
		assert.Assert(t, float64(refused) <= fewer*float64(refusedBefore))
		assert.Assert(t, float64(inTime) >= 0.97*float64(inTimeBefore))
		assert.Assert(t, load < 1 || wasted <= time.Duration(refused)*callerTarget/4)
	}
}

// If a key suddenly becomes hot, some slots still look unused for a moment. Requests that
// wait for these are refused once there are none, long before their deadline.
func TestLateRequestIsRefusedOnceNoSlotIsUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, requests = 14, 7200
		g := limiterWithServiceTime(slots)
		var mutex sync.Mutex
		var maxWait time.Duration
		var all sync.WaitGroup
		for range requests {
			all.Go(func() {
				began := steady.Reading()
				taken, err := g.acquire(t.Context(), demandWithin(time.Second, 8*time.Second))
				if err == nil {
					time.Sleep(testServiceTime)
					g.release(taken, testServiceTime)
					return
				}
				mutex.Lock()
				maxWait = max(maxWait, steady.Elapsed(began))
				mutex.Unlock()
			})
			time.Sleep(12 * time.Second / requests)
		}
		all.Wait()
		t.Log(maxWait)
		assert.Assert(t, maxWait <= 2*time.Second, "a refused request had waited for %v", maxWait)
	})
}
