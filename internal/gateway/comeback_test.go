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

// refuseFor refuses a number of requests a second for a time and returns when the
// last one is told to come back.
func refuseFor(g *slotGate, rate float64, duration time.Duration) (last time.Duration) {
	for began := steady.Reading(); steady.Elapsed(began) < duration; {
		last = g.comeBackIn(time.Second)
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
	return last
}

// Fourteen slots of 0.3 s serve 47 requests a second.
func TestManyRefusedRequestsComeBackInTheirTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		assert.Equal(t, refuseFor(lateGate(14), 5, 5*time.Second), time.Duration(0), "a few more than fit")
		hot := lateGate(14)
		after := refuseFor(hot, 600, time.Second)
		assert.Assert(t, after > 10*time.Second && after < 13*time.Second, "%v", after)
		time.Sleep(15 * time.Second)
		assert.Equal(t, hot.comeBackIn(time.Second), time.Duration(0), "it is over")
	})
}

// A caller whose turn is after it has left is told so, within reason: a shorter time
// would bring it back to be refused again.
func TestACallerIsToldWhenItsTurnIsAlsoAfterItHasLeft(t *testing.T) {
	full := notRun(reasonNoRoom)
	full.RetryAfter = 12 * time.Second
	assert.Assert(t, retryAfter(full) >= 12*time.Second)
	full.RetryAfter = time.Hour
	assert.Equal(t, retryAfter(full), longestRetry)
}

// What the gateway beside the back end tells reaches the caller.
func TestARefusedCallerIsToldWhenItsTurnIs(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.Repeatable, timeout: 20 * time.Second}, http.HandlerFunc(answerWhole))
	full := hops.far.slots
	full.setCapacity(64)
	full.decide(func(queue *overload.SlotQueue, _ time.Time) { queue.SetServiceTime(1000 * time.Second) })
	for range 64 {
		_, err := full.acquire(t.Context(), demand{Target: time.Second, Due: steady.Reading().Add(time.Second)})
		assert.NilError(t, err)
	}
	for range 10 {
		full.comeBackIn(time.Second)
	}
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Equal(t, after, longestRetry.Seconds())
}
