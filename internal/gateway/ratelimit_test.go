package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/ratelimit"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

func limitOf(perSecond float64) ratelimit.Statement {
	return ratelimit.Statement{Limited: true, PerSecond: perSecond}
}

// limitedSlots returns the slots of a back end that states a limit.
func limitedSlots(perSecond float64) *slotLimiter {
	g := newSlotLimiter()
	g.setCapacity(8)
	g.observeLimit(limitOf(perSecond), steady.Reading())
	return g
}

// demandOnlyHere is what a request demands that can be answered in time for a while, and at all for a
// longer while.
func demandOnlyHere(inTime, atAll time.Duration) demand {
	return demand{Priority: 1, Due: steady.Reading().Add(inTime), Target: time.Second, InTimeWait: inTime, MaxWait: atAll, OnlyHere: true}
}

// The whole rate is used by requests that wait for it, and those that can't be served in time are
// refused at once.
func TestRateLimitIsUsedAndExcessRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const perSecond, length, interval = 20, 10 * time.Second, 10 * time.Millisecond
		g := limitedSlots(perSecond)
		var served, refused atomic.Int64
		var all sync.WaitGroup
		for began := time.Now(); time.Since(began) < length; time.Sleep(interval) {
			all.Go(func() {
				arrived := time.Now()
				slot, err := g.acquire(t.Context(), demandOnlyHere(200*time.Millisecond, 2*time.Second))
				if err == nil {
					served.Add(1)
					g.release(slot, time.Millisecond)
					return
				}
				var limited *rateLimitedError
				assert.Check(t, errors.As(err, &limited) && limited.retryAfter > 0, "%v", err)
				assert.Check(t, time.Since(arrived) <= 200*time.Millisecond, "refused after %v", time.Since(arrived))
				refused.Add(1)
			})
		}
		all.Wait()
		assert.Assert(t, served.Load() >= 0.97*perSecond*10 && served.Load() <= 1.03*perSecond*10+4, "%d served", served.Load())
		assert.Assert(t, refused.Load() > 700, "%d refused", refused.Load())
	})
}

// A refused request that comes back when it was told to gets in, if nothing else arrives.
func TestRetryAfterOfARateLimitIsTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := limitedSlots(2)
		_, err := g.acquire(t.Context(), demandOnlyHere(0, 0))
		assert.NilError(t, err)
		var all sync.WaitGroup
		for range 6 {
			all.Go(func() {
				_, err := g.acquire(t.Context(), demandOnlyHere(0, 10*time.Second))
				for limited := (*rateLimitedError)(nil); errors.As(err, &limited); limited = nil {
					time.Sleep(limited.retryAfter)
					_, err = g.acquire(t.Context(), demandOnlyHere(0, 0))
					assert.Check(t, err)
				}
			})
		}
		all.Wait()
	})
}

// A request that waits for a low rate is admitted at once when the limit is lifted or raised.
func TestWaitEndsWhenTheLimitIsRaised(t *testing.T) {
	for _, raised := range []ratelimit.Statement{{}, limitOf(1000)} {
		synctest.Test(t, func(t *testing.T) {
			g := limitedSlots(1)
			_, err := g.acquire(t.Context(), demandOnlyHere(time.Minute, time.Minute))
			assert.NilError(t, err)
			var all sync.WaitGroup
			began := time.Now()
			for range 4 {
				all.Go(func() {
					_, err := g.acquire(t.Context(), demandOnlyHere(time.Minute, time.Minute))
					assert.Check(t, err)
				})
			}
			time.Sleep(100 * time.Millisecond)
			g.observeLimit(raised, steady.Reading())
			all.Wait()
			assert.Assert(t, time.Since(began) < 200*time.Millisecond, "%v", time.Since(began))
		})
	}
}

// stateLimit answers whole, with a limit.
func stateLimit(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Limit", text)
		serveComplete(w, r)
	}
}

// A gateway that has been restarted beside a back end does not know the limit that the back end
// stated to it before, until the next response. The gateways that have passed the limit on do.
func TestRestartedGatewayLearnsTheLimitFromCallersGateways(t *testing.T) {
	var arrived atomic.Int64
	hold := make(chan struct{})
	var handler atomic.Value
	handler.Store(stateLimit("3"))
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.NonRepeatable, timeout: 20 * time.Second}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		handler.Load().(http.HandlerFunc)(w, r)
	}))
	first, err := http.DefaultClient.Do(hops.request(t.Context(), t, "first"))
	assert.NilError(t, err)
	assert.Equal(t, first.StatusCode, http.StatusOK)
	assert.Equal(t, first.Header.Get("Limit"), "3", "the statement is passed on")
	_ = first.Body.Close()
	assert.Equal(t, hops.far.slots.statedLimit(), limitOf(3))

	hops.far.slots.withQueue(func(queue *overload.SlotQueue, now time.Time) { queue.WarmUpFromHeartbeat(0, true, now) })
	assert.Equal(t, hops.far.slots.statedLimit(), ratelimit.Statement{}, "as after a restart")
	handler.Store(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived.Add(1)
		<-hold
		stateLimit("3")(w, r)
	}))
	const requests = 20
	var all sync.WaitGroup
	refusedAll := make(chan struct{}, requests)
	for number := range requests {
		all.Go(func() {
			request := hops.request(t.Context(), t, "r"+strconv.Itoa(number))
			request.Header.Set("Wait-Ms", "700") // too short to wait for a turn
			response, err := http.DefaultClient.Do(request)
			if !assert.Check(t, err) {
				return
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusServiceUnavailable {
				seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
				assert.Check(t, err == nil && seconds > 0, "%q", response.Header.Get("Retry-After"))
				refusedAll <- struct{}{}
			}
		})
	}
	for range requests / 2 {
		select {
		case <-refusedAll:
		case <-time.After(5 * time.Second):
			t.Error("requests beyond the limit are not refused")
		}
	}
	assert.Check(t, arrived.Load() <= 4, "%d requests at once at a limit of 3 a second", arrived.Load())
	close(hold)
	all.Wait()
}

func TestMalformedLimitLeavesTheOneBeforeInForce(t *testing.T) {
	var text atomic.Value
	text.Store("40")
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.NonRepeatable, timeout: 20 * time.Second}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		stateLimit(text.Load().(string))(w, r)
	}))
	for _, step := range []struct {
		text string
		want ratelimit.Statement
	}{{"40", limitOf(40)}, {"many", limitOf(40)}, {"-1", limitOf(40)}, {"50.5", limitOf(50.5)}} {
		text.Store(step.text)
		response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r"))
		assert.NilError(t, err)
		_ = response.Body.Close()
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.Equal(t, hops.far.slots.statedLimit(), step.want, step.text)
	}
}
