package gateway

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/incarnation"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A back end states in its responses that it leaves, and no heartbeat says so. The gateway beside
// it stops sending to it, and so does a gateway that has passed a response on, also after the one
// beside the back end was restarted and has forgotten it.
func TestLeavingBackEndGetsNoRequestsAfterGrace(t *testing.T) {
	const drain = 400 * time.Millisecond
	for _, restarted := range []bool{false, true} {
		t.Run("restarted="+strconv.FormatBool(restarted), func(t *testing.T) {
			var runs atomic.Int64
			hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.NonRepeatable, timeout: 20 * time.Second, drain: drain}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				w.Header().Set("Leaving", "1")
				serveComplete(w, r)
			}))
			request := func() *http.Response {
				request := hops.request(t.Context(), t, "r")
				request.Header.Set("Wait-Ms", "500")
				response, err := http.DefaultClient.Do(request)
				assert.NilError(t, err)
				_ = response.Body.Close()
				return response
			}
			first := request()
			assert.Equal(t, first.StatusCode, http.StatusOK)
			assert.Equal(t, first.Header.Get("Leaving"), "1", "the statement is passed on")
			assert.Equal(t, hops.far.registry.snapshot().State, fleetwire.InstanceDraining)
			hops.far.Heartbeat(t.Context(), hops.registration(fleetwire.InstanceReady, 2))
			assert.Equal(t, hops.far.registry.snapshot().State, fleetwire.InstanceDraining, "an older heartbeat changes nothing")
			assert.Equal(t, request().StatusCode, http.StatusOK, "a back end that leaves serves for a while")
			time.Sleep(drain)
			if restarted {
				hops.far.registry.mutex.Lock()
				hops.far.registry.leaving, hops.far.registry.refusesFrom = false, time.Time{}
				hops.far.registry.mutex.Unlock()
			}
			assert.Equal(t, request().StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, runs.Load(), int64(2))
		})
	}
}

func TestOtherValuesOfTheLeavingFieldStateNothing(t *testing.T) {
	for _, value := range []string{"0", "", "true", "11"} {
		assert.Assert(t, !isLeaving(&HeaderNames{Leaving: "Leaving"}, http.Header{"Leaving": {value}}), "%q", value)
	}
	assert.Assert(t, !isLeaving(&HeaderNames{}, http.Header{"": {"1"}}), "a deployment without the field")
}

// A back end that was restarted under its id states that it leaves before its heartbeat is accepted,
// so that this counted as its former life's statement.
func TestDrainTimeCountsFromStatementsBeforeTheHeartbeat(t *testing.T) {
	const drain = 2 * time.Second
	now := steady.Reading()
	lifeOf := func(born int64) string { return incarnation.Incarnation{ID: "i", Born: born}.Name() }
	for _, state := range []fleetwire.InstanceState{fleetwire.InstanceDraining, fleetwire.InstanceReady} {
		r := newRegistry(func() {})
		r.heartbeat(Registration{ID: lifeOf(1), Service: "s", Slots: 1, State: fleetwire.InstanceReady, Sequence: 1}, drain, now)
		assert.Assert(t, r.markLeaving(lifeOf(1), drain, now))
		registration := Registration{ID: lifeOf(2), Service: "s", Slots: 1, State: state, Sequence: 1}
		for later := now.Add(drain / 2); r.snapshot().ID != lifeOf(2); later = later.Add(drain / 4) {
			r.heartbeat(registration, drain, later)
			registration.Sequence++
		}
		refused := !r.admits(lifeOf(2), now.Add(drain))
		assert.Equal(t, refused, state == fleetwire.InstanceDraining)
	}
}
