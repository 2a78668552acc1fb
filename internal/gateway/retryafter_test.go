package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// refuseRequests refuses requests at a rate per second for a time and returns the Retry-After
// time of the last one.
func refuseRequests(g *slotLimiter, rate float64, duration time.Duration) (last time.Duration) {
	for began := steady.Reading(); steady.Elapsed(began) < duration; {
		last = g.retryAfter(time.Second)
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	return last
}

// Fourteen slots of 0.3 s serve 47 requests a second.
func TestRetryAfterGrowsWithTheNumberOfRefusedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Equal(t, refuseRequests(limiterWithServiceTime(14), 5, 5*time.Second), time.Duration(0), "a few more than fit")
		hot := limiterWithServiceTime(14)
		after := refuseRequests(hot, 600, time.Second)
		assert.Assert(t, after > 10*time.Second && after < 13*time.Second, "%v", after)
		time.Sleep(15 * time.Second)
		assert.Equal(t, hot.retryAfter(time.Second), time.Duration(0), "the overload is over")
	})
}

// The Retry-After time of a caller may exceed the time that the caller would have waited, up to
// a limit: a shorter time would bring it back to be refused again.
func TestRetryAfterIsNotShortenedBelowItsLimit(t *testing.T) {
	full := notRun(reasonNoSlot)
	full.RetryAfter = 12 * time.Second
	assert.Assert(t, retryAfter(full) >= 12*time.Second)
	full.RetryAfter = time.Hour
	assert.Equal(t, retryAfter(full), maxRetryAfter)
}

// The Retry-After time that the back end's gateway sends reaches a caller of another gateway.
func TestRetryAfterReachesTheCallerOfAnotherGateway(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.Repeatable, timeout: 20 * time.Second}, http.HandlerFunc(serveComplete))
	full := hops.far.slots
	full.setCapacity(64)
	full.withQueue(func(queue *overload.SlotQueue, _ time.Time) { queue.SetServiceTime(1000 * time.Second) })
	for range 64 {
		_, err := full.acquire(t.Context(), demand{Target: time.Second, Due: steady.Reading().Add(time.Second)})
		assert.NilError(t, err)
	}
	for range 10 {
		full.retryAfter(time.Second)
	}
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Equal(t, after, maxRetryAfter.Seconds())
}
