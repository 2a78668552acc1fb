package gateway

import (
	"io"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A request that a caller of the stopping gateway itself brought runs at the back
// end beside it, and that back end may still make calls at the callers' listener.
// So the listener stays open until no such request is in progress. The request
// ends, by its deadline, well before the stop does.
func TestAStoppingGatewayServesTheCallsOfItsOwnCallersRequests(t *testing.T) {
	running := make(chan struct{})
	setup := twoHopsConfig{timeout: 4 * time.Second, stop: 5 * time.Second}
	hops := startTwoHops(t, setup, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(running)
		<-r.Context().Done()
	}))
	hops.caller = hops.farCaller // taken by the gateway beside the back end
	request := hops.request(t.Context(), t, "r1")
	answered := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		answered <- err
	}()
	<-running
	stopped := beginStop(hops.far)
	for !refusesConnections(hops.farCaller) {
		time.Sleep(time.Millisecond)
	}
	inProgress := hops.far.active.Load()
	assert.NilError(t, <-answered)
	assert.NilError(t, <-stopped)
	assert.Equal(t, inProgress, int64(0), "requests in progress when the callers' listener refused connections")
}

// A caller can reach no gateway but that of its own machine. One that is refused
// because this is being stopped is not told to come back while it still is.
func TestARefusedCallerIsNotToldToComeBackDuringTheStop(t *testing.T) {
	setup := twoHopsConfig{timeout: 20 * time.Second, stop: 5 * time.Second}
	hops := startTwoHops(t, setup, http.HandlerFunc(answerWhole))
	latestBegin := time.Now()
	stopped := beginStop(hops.near)
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	left := setup.stop - time.Since(latestBegin) // at most what is left of the stop
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	after := time.Duration(seconds * float64(time.Second))
	assert.Check(t, after >= left, "told to come back in %v, the stop lasts %v more", after, left)
	assert.NilError(t, <-stopped)
}
