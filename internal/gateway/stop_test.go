package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// beginStop begins a planned stop and returns once the gateway knows of it. The
// channel has the result of Stop.
func beginStop(g *Gateway) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- g.Stop() }()
	for !g.admission.Stopping() {
		time.Sleep(time.Millisecond)
	}
	return stopped
}

// refusesConnections reports whether nothing listens at an address any more.
func refusesConnections(address string) bool {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return false
}

// A gateway that is being stopped admits nothing that could outlast the stop: it
// would have to be cut off with the back end at work. That holds for requests of
// callers and for those that other gateways pass on.
func TestAStoppingGatewayAdmitsNothingThatItsEndWouldCutOff(t *testing.T) {
	t.Parallel()
	for name, stops := range map[string]func(*twoHops) *Gateway{
		"of callers":        func(h *twoHops) *Gateway { return h.near },
		"of other gateways": func(h *twoHops) *Gateway { return h.far },
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			setup := twoHopsConfig{timeout: 20 * time.Second, stop: 3 * time.Second}
			hops := startTwoHops(t, setup, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			}))
			stopped := beginStop(stops(hops))
			response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
			assert.Assert(t, response.Header.Get("Retry-After") != "")
			assert.Equal(t, runs.Load(), int32(0))
			assert.NilError(t, <-stopped)
		})
	}
}

// A gateway that is being stopped goes on serving what ends before the stop does.
func TestAStoppingGatewayServesWhatEndsBeforeTheStopDoes(t *testing.T) {
	t.Parallel()
	setup := twoHopsConfig{timeout: time.Second, stop: 10 * time.Second}
	hops := startTwoHops(t, setup, http.HandlerFunc(answerWhole))
	near, far := beginStop(hops.near), beginStop(hops.far)
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, <-near)
	assert.NilError(t, <-far)
}

// The connections that a gateway keeps to one that is being stopped are closed
// before that one closes them, so that no request crosses a close.
func TestIdleConnectionsToAStoppingGatewayAreClosed(t *testing.T) {
	t.Parallel()
	hops := startTwoHops(t, twoHopsConfig{timeout: time.Second}, http.HandlerFunc(answerWhole))
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	pool := hops.near.peers.get(hops.far.config.PeerListen).pool
	assert.Equal(t, pool.Stats().Idle, 1)
	leaving := fleetwire.Instance{
		ID: "i", Service: "s", Node: "far", Zone: "a", Address: hops.far.config.PeerListen,
		State: fleetwire.InstanceReady, Slots: 64, Leaving: true,
	}
	assert.NilError(t, hops.near.session.take(&fleetwire.FromController{View: viewOf(true, leaving)}))
	assert.Equal(t, pool.Stats().Idle, 0)
	assert.Equal(t, pool.Stats().Open, 0)
}

// While a request that another gateway passed on is running, the back end makes
// calls of its own at the gateway beside it. A planned stop closes the callers'
// listener after the one of other gateways, so that those calls are served.
func TestAStoppingGatewayServesTheCallsOfRunningRequests(t *testing.T) {
	t.Parallel()
	var hops *twoHops
	calls := make(chan string, 1)
	running := make(chan struct{})
	call := func() string {
		request, err := http.NewRequest(http.MethodGet, "http://"+hops.farCaller+"/a/call", nil)
		if err != nil {
			return err.Error()
		}
		request.Host = "h"
		request.Header.Set("Try-Name", "call")
		request.Header.Set("Wait-Ms", "500")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return err.Error()
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		return fmt.Sprint(response.StatusCode, " ", string(body))
	}
	setup := twoHopsConfig{repetition: routeconfig.Repeatable, timeout: 20 * time.Second, stop: 8 * time.Second}
	hops = startTwoHops(t, setup, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/call") {
			answerWhole(w, r)
			return
		}
		close(running)
		for !refusesConnections(hops.far.config.PeerListen) && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		calls <- call()
		answerWhole(w, r)
	}))
	answered := make(chan int, 1)
	go func() {
		response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
		if err != nil {
			answered <- 0
			return
		}
		defer response.Body.Close()
		answered <- response.StatusCode
	}()
	<-running
	stopped := beginStop(hops.far)
	assert.Equal(t, <-calls, "200 whole")
	assert.Equal(t, <-answered, http.StatusOK)
	assert.NilError(t, <-stopped)
}

// A request that a caller of the stopping gateway itself brought runs at the back
// end beside it, and that back end may still make calls at the callers' listener.
// So the listener stays open until no such request is in progress. The request
// ends, by its deadline, well before the stop does.
func TestAStoppingGatewayServesTheCallsOfItsOwnCallersRequests(t *testing.T) {
	t.Parallel()
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
	t.Parallel()
	setup := twoHopsConfig{timeout: 20 * time.Second, stop: 5 * time.Second}
	hops := startTwoHops(t, setup, http.HandlerFunc(answerWhole))
	latestBegin := steady.Reading()
	stopped := beginStop(hops.near)
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	left := setup.stop - steady.Elapsed(latestBegin) // at most what is left of the stop
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	after := time.Duration(seconds * float64(time.Second))
	assert.Check(t, after >= left, "told to come back in %v, the stop lasts %v more", after, left)
	assert.NilError(t, <-stopped)
}
