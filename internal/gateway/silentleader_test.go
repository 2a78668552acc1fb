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

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/fleetcontroller"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
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
	// session is the controller's address for gateways.
	session string
	way     *standStill
	caller  string
	gateway *Gateway
}

func startSilentLeader(t *testing.T) *silentLeader {
	t.Helper()
	session := freeAddress(t)
	controller, err := fleetcontroller.Start(fleetcontroller.Config{
		Group: 1, Name: "c", DataDir: filepath.Join(t.TempDir(), "data"), Founding: true,
		PeerListen: freeAddress(t), SessionListen: session, Seeds: []string{session},
	})
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, controller.Stop()) })
	way := startStandStill(t, freeAddress(t), session)
	s := &silentLeader{t: t, controller: controller, session: session, way: way, caller: freeAddress(t)}
	s.gateway = s.startGateway("g", s.caller, way.listener.Address())
	s.change(1, 0, []routeconfig.Route{{
		Name: "r", Host: "h", PathPrefix: "/", Timeout: time.Second, TargetLatency: time.Second, Attempts: 2,
		Destinations: []routeconfig.Destination{{Service: "s", Weight: 1}},
	}})
	return s
}

// startGateway starts a gateway and a back end beside it.
func (s *silentLeader) startGateway(name, caller, controller string) *Gateway {
	s.t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(answerWhole))
	s.t.Cleanup(backend.Close)
	g, err := Start(Config{
		Name: name, Zone: "a", Service: "s", CallerListen: caller, PeerListen: freeAddress(s.t),
		BackendAddress: backend.Listener.Addr().String(), Headers: testHeaders(), StopWithin: time.Millisecond,
		Controllers: []string{controller}, Budget: RetryBudget{Ratio: 0.2, Slack: 58},
	})
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { assert.Check(s.t, g.Stop()) })
	_, err = g.Heartbeat(Registration{ID: "i-" + name, Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1})
	assert.NilError(s.t, err)
	return g
}

// awaitPeers returns once the gateway knows the one beside it.
func (s *silentLeader) awaitPeers() {
	s.t.Helper()
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if len(s.gateway.peersToAsk()) == 0 {
			return poll.Continue("no other gateway is known")
		}
		return poll.Success()
	}, poll.WithTimeout(scenarioPatience), poll.WithDelay(10*time.Millisecond))
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
	request.Header.Set("Try-Name", "r1")
	request.Header.Set("Wait-Ms", "5000")
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

// A gateway that is cut off from the controllers alone goes on serving, and by the present
// configuration: other gateways pass the leader's word on.
func TestAGatewayThatIsCutOffFromTheControllersServesByTheWordOfOthers(t *testing.T) {
	t.Parallel()
	s := startSilentLeader(t)
	s.startGateway("h", freeAddress(t), s.session)
	s.awaitStatus(http.StatusOK)
	s.awaitPeers()
	s.way.stand()
	terms := configlease.Terms{}.WithDefaults()
	for began := steady.Reading(); steady.Elapsed(began) < 2*terms.Validity(); {
		assert.Equal(t, s.status(), http.StatusOK)
		time.Sleep(20 * time.Millisecond)
	}
	s.change(2, 1, nil)
	s.awaitStatus(http.StatusNotFound)
}
