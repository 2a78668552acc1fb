package gateway

import (
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/fleetcontroller"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/transport"
)

const (
	// inForceWithin is what operators are promised: from then on after its
	// acknowledgement nobody is served by what a configuration has replaced.
	inForceWithin = 2 * time.Second
	// scenarioPatience bounds each wait for a condition.
	scenarioPatience = 30 * time.Second
)

// standStill passes messages between a gateway and a controller until it is told to stand
// still: then it goes on accepting connections, as the kernel of a machine does whose
// process doesn't run, and passes nothing on. It leaves out where else the controller is.
type standStill struct {
	listener *transport.Listener
	target   string

	mutex   sync.Mutex
	running chan struct{}
	still   bool
}

// endless bounds nothing: what ends a connection is the gateway or the controller.
var endless = transport.Options{WriteTimeout: -1, IdleTimeout: -1}

func startStandStill(t *testing.T, listen, target string) *standStill {
	t.Helper()
	listener, err := transport.Listen(listen, endless)
	assert.NilError(t, err)
	s := &standStill{listener: listener, target: target, running: make(chan struct{})}
	close(s.running)
	t.Cleanup(func() { _ = listener.Close(); s.goOn() })
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			go s.connect(near)
		}
	}()
	return s
}

func (s *standStill) connect(near *transport.Conn) {
	defer near.Close()
	s.await()
	far, err := transport.Dial(context.Background(), s.target, endless)
	if err != nil {
		return
	}
	defer far.Close()
	go pass(s, far, near, func(*fleetwire.ToController) {})
	pass(s, near, far, func(message *fleetwire.FromController) {
		if message.View != nil {
			message.View.Controllers = nil
		}
		if message.Redirect != nil {
			message.Redirect = &fleetwire.Redirect{}
		}
	})
}

// pass hands the messages of one direction on.
func pass[Message any](s *standStill, to, from *transport.Conn, change func(*Message)) {
	defer to.Close()
	for {
		var message Message
		if from.Receive(&message) != nil {
			return
		}
		s.await()
		change(&message)
		if to.Send(message) != nil {
			return
		}
	}
}

func (s *standStill) await() {
	s.mutex.Lock()
	running := s.running
	s.mutex.Unlock()
	<-running
}

func (s *standStill) stand() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.still, s.running = true, make(chan struct{})
}

func (s *standStill) goOn() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.still {
		s.still = false
		close(s.running)
	}
}

// silentLeader is a gateway whose only way to its controller may stand still.
type silentLeader struct {
	t          *testing.T
	controller *fleetcontroller.Controller
	way        *standStill
	caller     string
}

func startSilentLeader(t *testing.T) *silentLeader {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(answerWhole))
	t.Cleanup(backend.Close)
	session := freeAddress(t)
	controller, err := fleetcontroller.Start(fleetcontroller.Config{
		Group: 1, Name: "c", DataDir: filepath.Join(t.TempDir(), "data"), Founding: true,
		PeerListen: freeAddress(t), SessionListen: session, Seeds: []string{session},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, controller.Stop()) })
	way := startStandStill(t, freeAddress(t), session)
	s := &silentLeader{t: t, controller: controller, way: way, caller: freeAddress(t)}
	g, err := Start(Config{
		Name: "g", Zone: "a", Service: "s", CallerListen: s.caller, PeerListen: freeAddress(t),
		BackendAddress: backend.Listener.Addr().String(), Headers: testHeaders(), StopWithin: time.Millisecond,
		Controllers: []string{way.listener.Address()}, Budget: RetryBudget{Ratio: 0.2, Slack: 58},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, g.Stop()) })
	s.change(1, 0, []routeconfig.Route{{
		Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Second, TargetLatency: time.Second, Attempts: 2,
		Destinations: []routeconfig.Destination{{Service: "s", Weight: 1}},
	}})
	_, err = g.Heartbeat(Registration{ID: "i", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1})
	assert.NilError(t, err)
	return s
}

// change returns once a configuration is acknowledged.
func (s *silentLeader) change(version, base routeconfig.Version, routes []routeconfig.Route) {
	s.t.Helper()
	document := &routeconfig.Document{Version: version, Services: []routeconfig.Service{{Name: "s"}}, Routes: routes}
	order := &fleetstate.ChangeConfiguration{Digest: sha256.Sum256([]byte{byte(version)}), Base: base, Document: document}
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
		defer cancel()
		if _, err := s.controller.Change(ctx, order); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(scenarioPatience), poll.WithDelay(10*time.Millisecond))
}

// status is that of the answer to a request.
func (s *silentLeader) status() int {
	s.t.Helper()
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+s.caller+"/", nil)
	assert.NilError(s.t, err)
	request.Host = "h"
	request.Header.Set("Request-Id", "r1")
	request.Header.Set("Deadline-Ms", "5000")
	response, err := http.DefaultClient.Do(request)
	assert.NilError(s.t, err)
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	assert.NilError(s.t, err)
	if response.StatusCode == http.StatusServiceUnavailable {
		assert.Assert(s.t, response.Header.Get("Retry-After") != "")
	}
	return response.StatusCode
}

func (s *silentLeader) awaitStatus(wanted int) {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if got := s.status(); got != wanted {
			return poll.Continue("status %d", got)
		}
		return poll.Success()
	}, poll.WithTimeout(scenarioPatience), poll.WithDelay(10*time.Millisecond))
}

// Operators were told that a configuration is accepted, and over 2 s later two gateways
// still sent requests by the one before it: "handled by version 72 or older; version 74
// was acked more than 2000 ms before". The controller that led when the one before was
// accepted stood still; the next one accepted the change at 65.046 s, and gateways that
// had waited 1.6 s for the silent one waited as long again, until 67.06 s. Nothing but the
// sum of such waits bounded for how long a gateway serves by what it last heard, so that
// any process that stands still for longer breaks the promise. Here a gateway hears
// nothing of a route's end.
func TestAReplacedConfigurationServesNobodyBehindALeaderThatStandsStill(t *testing.T) {
	t.Parallel()
	s := startSilentLeader(t)
	s.awaitStatus(http.StatusOK)
	s.way.stand()
	s.change(2, 1, nil)
	time.Sleep(inForceWithin)
	for range 5 {
		assert.Equal(t, s.status(), http.StatusServiceUnavailable)
	}
	s.way.goOn()
	s.awaitStatus(http.StatusNotFound)
}

// A gateway that hears nothing for long serves nobody by what may have been replaced,
// also where nothing was: it can't know.
func TestAGatewayThatHearsNothingForLongRefusesUntilItHears(t *testing.T) {
	t.Parallel()
	s := startSilentLeader(t)
	s.awaitStatus(http.StatusOK)
	s.way.stand()
	s.awaitStatus(http.StatusServiceUnavailable)
	s.way.goOn()
	s.awaitStatus(http.StatusOK)
}
