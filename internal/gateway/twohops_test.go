package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// addressCount numbers the addresses that freeAddress has returned.
var addressCount atomic.Int32

// freeAddress returns a loopback address on which nothing listens. Each has its own host
// address, so that a parallel test is never given a port that another one has just closed
// and not used yet.
func freeAddress(t testing.TB) string {
	t.Helper()
	number := addressCount.Add(1)
	listener, err := net.Listen("tcp", fmt.Sprintf("127.77.%d.%d:0", 1+number/250, 1+number%250))
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

// twoHops are the local gateways of a caller and of a back end that know each other without a
// controller.
type twoHops struct {
	near, far *Gateway
	// caller and farCaller are the addresses for callers' requests of near and far.
	caller, farCaller string
}

// twoHopsConfig configures the route and the gateways of twoHops.
type twoHopsConfig struct {
	repetition routeconfig.Repetition
	timeout    time.Duration
	drain      time.Duration
	// stop bounds a planned stop; zero stops at once.
	stop time.Duration
	log  *slog.Logger
	// regions maps zones to regions.
	regions map[string]string
}

func startTwoHops(t testing.TB, setup twoHopsConfig, backend http.Handler) *twoHops {
	t.Helper()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	config := func(name string) Config {
		return Config{
			Name: name, Zone: "a", Service: "s", CallerListen: freeAddress(t), PeerListen: freeAddress(t),
			BackendAddress: server.Listener.Addr().String(), Headers: testHeaders(),
			DrainWithin: setup.drain, StopWithin: max(setup.stop, time.Millisecond), Budget: RetryBudget{Ratio: 0.2, Slack: 58}, Log: setup.log, Regions: setup.regions,
		}
	}
	far, near := config("far"), config("near")
	near.BackendAddress = freeAddress(t)
	view := viewOf(true, fleetwire.Instance{ID: "i", Service: "s", Node: "far", Zone: "a", Address: far.PeerListen, State: fleetwire.InstanceReady, Slots: 64})
	view.Document = &routeconfig.Document{
		Version: 1,
		Routes: []routeconfig.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Repetition: setup.repetition, Timeout: setup.timeout, TargetLatency: 300 * time.Millisecond,
			Attempts: 2, Destinations: []routeconfig.Destination{{Service: "s", Weight: 1}},
		}},
		Services: []routeconfig.Service{{Name: "s"}},
	}
	hops := &twoHops{caller: near.CallerListen, farCaller: far.CallerListen}
	for _, start := range []struct {
		config Config
		into   **Gateway
	}{{far, &hops.far}, {near, &hops.near}} {
		g, err := Start(start.config)
		assert.NilError(t, err)
		// The fraction by which a budget is rounded is random, and with it whether a lone request
		// may be retried.
		g.budgets.draw = func() float64 { return 0.5 }
		advance(t, g.views, view)
		g.extendLease(time.Hour)
		*start.into = g
		t.Cleanup(func() {
			if !g.admission.Stopping() {
				_ = g.Stop()
			}
		})
	}
	hops.far.Heartbeat(t.Context(), hops.registration(fleetwire.InstanceReady, 1))
	return hops
}

// registration is the registration of the back end in a state.
func (h *twoHops) registration(state fleetwire.InstanceState, sequence uint64) Registration {
	return Registration{ID: "i", Service: "s", Slots: 64, State: state, Sequence: sequence}
}

// request returns a caller's request.
func (h *twoHops) request(ctx context.Context, t testing.TB, id string) *http.Request {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.caller+"/a/b", strings.NewReader("body"))
	assert.NilError(t, err)
	request.Host = "h"
	request.Header.Set("Try-Name", id)
	request.Header.Set("Wait-Ms", "20000")
	return request
}

// serveComplete sends a complete response, as a back end does.
func serveComplete(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Try-Name", r.Header.Get("Try-Name"))
	w.Header().Set("Seal", "x")
	_, _ = io.WriteString(w, "whole")
}

// If a caller disconnects, its request is canceled at the back end, two hops away.
func TestDisconnectedCallerCancelsRunOverTwoHops(t *testing.T) {
	running, ended := make(chan struct{}), make(chan struct{})
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.Repeatable, timeout: 20 * time.Second}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(running)
		<-r.Context().Done()
		close(ended)
	}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() {
		response, err := http.DefaultClient.Do(hops.request(ctx, t, "r1"))
		if err == nil {
			_ = response.Body.Close()
		}
		done <- err
	}()
	<-running
	cancel()
	<-ended
	assert.ErrorIs(t, <-done, context.Canceled)
}

// A planned stop of the gateway that accepted a request, and of the one that forwarded it to
// the back end, lets the request finish.
func TestPlannedStopLetsRequestsFinishOverTwoHops(t *testing.T) {
	running, finish := make(chan struct{}), make(chan struct{})
	hops := startTwoHops(t, twoHopsConfig{timeout: 20 * time.Second, stop: 5 * time.Second}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-finish
		serveComplete(w, r)
	}))
	answered := make(chan string, 1)
	go func() {
		response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
		if err != nil {
			answered <- err.Error()
			return
		}
		defer response.Body.Close()
		body, _ := io.ReadAll(response.Body)
		answered <- fmt.Sprint(response.StatusCode, " ", string(body))
	}()
	<-running
	stopped := make(chan error, 2)
	for _, g := range []*Gateway{hops.near, hops.far} {
		go func() { stopped <- g.Stop() }()
		for !g.admission.Stopping() {
			time.Sleep(time.Millisecond)
		}
	}
	close(finish)
	assert.Equal(t, <-answered, "200 whole")
	assert.NilError(t, <-stopped)
	assert.NilError(t, <-stopped)
}

// A back end that has reported that it drains gets no request once the drain time is over,
// even from a gateway that does not know of the drain.
func TestDrainAppliesToUninformedGateway(t *testing.T) {
	arrived := 0
	hops := startTwoHops(t, twoHopsConfig{timeout: 20 * time.Second, drain: time.Millisecond}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		arrived++
		serveComplete(w, r)
	}))
	hops.far.Heartbeat(t.Context(), hops.registration(fleetwire.InstanceDraining, 2))
	for hops.far.registry.admits("i", steady.Reading()) {
		time.Sleep(time.Millisecond)
	}
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
	assert.Equal(t, arrived, 0)
}

// A request to which its back end does not respond ends at its route's timeout, and the
// response does not claim that it has not run.
func TestRouteTimeoutDoesNotClaimNotRun(t *testing.T) {
	hops := startTwoHops(t, twoHopsConfig{timeout: 100 * time.Millisecond}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
}

// A caller that closes its side of the connection counts as disconnected. Whatever it still
// reads must not look like a success.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	running := make(chan struct{})
	hops := startTwoHops(t, twoHopsConfig{timeout: 20 * time.Second}, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(running)
		<-r.Context().Done()
	}))
	conn, err := net.Dial("tcp", hops.caller)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /a/b HTTP/1.1\r\nHost: h\r\nTry-Name: r1\r\nWait-Ms: 20000\r\n\r\n")
	assert.NilError(t, err)
	<-running
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		defer response.Body.Close()
		assert.Assert(t, response.StatusCode >= http.StatusInternalServerError, "status %d", response.StatusCode)
	}
}

// A request that may have run at its first attempt must not end as not-run, whatever the
// results of its later attempts.
func TestLaterRefusalDoesNotCoverEarlierAttempt(t *testing.T) {
	var attempts atomic.Int32
	hops := startTwoHops(t, twoHopsConfig{repetition: routeconfig.Repeatable, timeout: 20 * time.Second}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if attempts.Add(1) == 1 {
			conn, _, err := w.(http.Hijacker).Hijack()
			if err == nil {
				_ = conn.Close()
			}
			return
		}
		w.Header().Set("Try-Name", r.Header.Get("Try-Name"))
		w.Header().Set("Never-Ran", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	response, err := http.DefaultClient.Do(hops.request(t.Context(), t, "r1"))
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, attempts.Load(), int32(2))
	assert.Equal(t, response.StatusCode, http.StatusBadGateway)
}
