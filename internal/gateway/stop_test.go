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

// beginStop starts a planned stop and returns once it is in progress. The channel delivers the
// result of Stop.
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

// A stopping gateway must not admit a request that could outlast the stop, since it would be
// cut off while the back end works on it. This applies to requests of callers and to those of
// other gateways.
func TestStoppingGatewayRefusesRequestsThatOutlastTheStop(t *testing.T) {
	t.Parallel()
	for name, stopping := range map[string]func(*twoHops) *Gateway{
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
			stopped := beginStop(stopping(hops))
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

// A stopping gateway continues to serve requests that end before the stop does.
func TestStoppingGatewayServesShortRequests(t *testing.T) {
	t.Parallel()
	setup := twoHopsConfig{timeout: time.Second, stop: 10 * time.Second}
	hops := startTwoHops(t, setup, http.HandlerFunc(serveComplete))
	near, far := beginStop(hops.near), beginStop(hops.far)
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.NilError(t, <-near)
	assert.NilError(t, <-far)
}

// Gateways must close their idle connections to a stopping gateway before it closes them, so
// that no request is sent on a connection that is being closed.
func TestIdleConnectionsToStoppingGatewayAreClosed(t *testing.T) {
	t.Parallel()
	hops := startTwoHops(t, twoHopsConfig{timeout: time.Second}, http.HandlerFunc(serveComplete))
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

// While a back end runs a request of another gateway, it makes calls of its own through its
// local gateway. A planned stop must close the listener for callers after the one for other
// gateways, so that those calls are served.
func TestStoppingGatewayServesCallsOfRunningRequests(t *testing.T) {
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
			serveComplete(w, r)
			return
		}
		close(running)
		for !refusesConnections(hops.far.config.PeerListen) && r.Context().Err() == nil {
			time.Sleep(time.Millisecond)
		}
		calls <- call()
		serveComplete(w, r)
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

// A request of a caller of the stopping gateway itself runs at its local back end, which may
// still make calls through the listener for callers. The listener must stay open until no such
// request is in progress. The request ends by its deadline, well before the stop does.
func TestCallerListenerStaysOpenForOwnCallersRequests(t *testing.T) {
	t.Parallel()
	running := make(chan struct{})
	setup := twoHopsConfig{timeout: 4 * time.Second, stop: 5 * time.Second}
	hops := startTwoHops(t, setup, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(running)
		<-r.Context().Done()
	}))
	hops.caller = hops.farCaller // received by the back end's local gateway
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
	inProgress := hops.far.activeCallers.Load()
	assert.NilError(t, <-answered)
	assert.NilError(t, <-stopped)
	assert.Equal(t, inProgress, int64(0), "requests in progress when the callers' listener refused connections")
}

// A caller can reach only the gateway of its own machine. If that one refuses a request
// because it is stopping, the retry time must be after the stop.
func TestRetryAfterIsBeyondTheStop(t *testing.T) {
	t.Parallel()
	setup := twoHopsConfig{timeout: 20 * time.Second, stop: 5 * time.Second}
	hops := startTwoHops(t, setup, http.HandlerFunc(serveComplete))
	latestBegin := steady.Reading()
	stopped := beginStop(hops.near)
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	left := setup.stop - steady.Elapsed(latestBegin) // at most the remaining time of the stop
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	assert.NilError(t, err)
	retryAfter := time.Duration(seconds * float64(time.Second))
	assert.Check(t, retryAfter >= left, "retry time is %v, but the stop lasts %v more", retryAfter, left)
	assert.NilError(t, <-stopped)
}
