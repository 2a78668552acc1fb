package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

// retryingCallers counts the outcomes of callers that send a back end 1.6 times the load
// that it can serve and retry twice if they are refused.
type retryingCallers struct {
	// estimateFirstAttempt is set if due times count from the estimated first attempt.
	estimateFirstAttempt  bool
	inTime, late, refused int
}

func (c *retryingCallers) simulate(t *testing.T) {
	const (
		slots, callers, attempts = 6, 3000, 3
		load                     = 1.6
		target, patience         = 900 * time.Millisecond, 6 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		random := rand.New(rand.NewPCG(7, 9))
		g := limiterWithServiceTime(slots)
		var estimates firstAttempts
		var mutex sync.Mutex
		var all sync.WaitGroup
		send := func(first time.Time, work time.Duration) bool {
			age := estimates.age("route", (patience - steady.Elapsed(first)).Truncate(time.Millisecond))
			if !c.estimateFirstAttempt {
				age = 0
			}
			taken, err := g.acquire(t.Context(), demandWithin(target-age, patience-steady.Elapsed(first)))
			if err != nil {
				return false
			}
			time.Sleep(work)
			g.release(taken, work)
			return true
		}
		for range callers {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(testServiceTime) / slots / load))
			work := time.Duration((0.5 + random.Float64()) * float64(testServiceTime))
			pauses := []time.Duration{0, time.Duration((0.4 + random.Float64()) * float64(time.Second)), time.Duration((0.4 + random.Float64()) * float64(time.Second))}
			all.Go(func() {
				first := steady.Reading()
				for attempt := range attempts {
					time.Sleep(pauses[attempt])
					if !send(first, work) {
						continue
					}
					mutex.Lock()
					defer mutex.Unlock()
					if steady.Elapsed(first) <= target {
						c.inTime++
					} else {
						c.late++
					}
					return
				}
				mutex.Lock()
				c.refused++
				mutex.Unlock()
			})
		}
		all.Wait()
	})
}

// An overloaded back end whose callers retry serves most of them in time if due times count
// from the first attempt.
func TestFirstAttemptsAreServedInTimeUnderOverload(t *testing.T) {
	before, after := &retryingCallers{}, &retryingCallers{estimateFirstAttempt: true}
	before.simulate(t)
	after.simulate(t)
	t.Logf("due times from each attempt: %+v; from first attempts: %+v", *before, *after)
	assert.Assert(t, float64(after.inTime) > 1.3*float64(before.inTime))
	assert.Assert(t, after.inTime+after.late > (before.inTime+before.late)*97/100, "fewer callers were served")
}

// A request that is already due gets no minimum slot wait. It has the earliest due time, so
// it would go before all requests that can still be answered in time; with many slots the
// next one becomes free within the minimum wait.
func TestDueRequestDoesNotGoBeforeRequestsInTime(t *testing.T) {
	backend := startRawBackend(t, func(*http.Request) string { return "" })
	g := gatewayWithBackend(t, backend)
	g.egress.setSlots(18)
	g.slots.withQueue(func(queue *overload.SlotQueue, _ time.Time) { queue.SetServiceTime(400 * time.Millisecond) })
	due := testRequest("due")
	due.Due = steady.Reading()
	for range 18 {
		_, err := g.slots.acquire(t.Context(), g.egress.slotDemand(testRequest("first")))
		assert.NilError(t, err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	order := make(chan string, 2)
	for _, name := range []string{"first", "due"} {
		wanted := g.egress.slotDemand(testRequest(name))
		if name == "due" {
			wanted = g.egress.slotDemand(due)
		}
		go func() {
			if _, err := g.slots.acquire(ctx, wanted); err == nil {
				order <- name
			}
		}()
		time.Sleep(10 * time.Millisecond)
	}
	g.slots.release(overload.Slot{Target: time.Second}, 400*time.Millisecond)
	assert.Equal(t, <-order, "first")
}
