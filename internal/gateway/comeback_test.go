package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// refuseFor refuses a number of requests a second for a time and returns when the
// last one is told to come back.
func refuseFor(g *slotGate, rate float64, duration time.Duration) (last time.Duration) {
	for began := time.Now(); time.Since(began) < duration; {
		last = g.comeBackIn(false, time.Now())
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
		assert.Equal(t, hot.comeBackIn(false, time.Now()), time.Duration(0), "it is over")
	})
}

// A caller is told no time at which it has left already.
func TestACallerComesBackBeforeItLeaves(t *testing.T) {
	assert.Equal(t, comeBackWithin(12*time.Second, 6*time.Second), 2*time.Second)
	assert.Equal(t, comeBackWithin(time.Second, 6*time.Second), time.Second)
	assert.Equal(t, comeBackWithin(time.Second, 0), retryRoom)
}

// What the gateway beside the back end tells reaches the caller.
func TestARefusedCallerIsToldWhenItsTurnIs(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.Repeatable, timeout: 20 * time.Second}, http.HandlerFunc(answerWhole))
	full := hops.far.slots
	full.mutex.Lock()
	full.long = slotUse{serviceTime: 10 * time.Second, busy: 64, running: 64, refused: refusals{count: 1e6, at: time.Now()}}
	full.usedAt = time.Now()
	full.mutex.Unlock()
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	_ = response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	assert.Assert(t, after > 4 && after < 20*comeBackShare, "%v s", after)
}
