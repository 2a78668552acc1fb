package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	keyedService    = topology.ServiceID(1)
	balancedService = topology.ServiceID(2)
)

// fixture runs a router between a test's HTTP client and its fake agents. It is
// also the router's Source.
type fixture struct {
	t        testing.TB
	router   *Router
	url      string
	client   *http.Client
	onTable  func(*routing.Table)
	table    *routing.Table
	tableAge atomic.Int64 // returned by Freshness, in nanoseconds
	stop     context.CancelFunc
	stopped  chan error

	mutex sync.Mutex
	sent  []wire.ToController
}

// Freshness implements Source.
func (f *fixture) Freshness(time.Duration) time.Duration { return time.Duration(f.tableAge.Load()) }

// Send implements Source.
func (f *fixture) Send(message wire.ToController) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sent = append(f.sent, message)
	return nil
}

// Stop implements Source.
func (f *fixture) Stop() {}

// fakeAgent is an HTTP server in place of an agent.
type fakeAgent struct {
	*httptest.Server
	requests atomic.Int64
	// accepted counts accepted connections.
	accepted atomic.Int64
}

func newFakeAgent(t testing.TB, handler http.HandlerFunc) *fakeAgent {
	agent := new(fakeAgent)
	agent.Server = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		agent.requests.Add(1)
		handler(w, r)
	}))
	agent.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			agent.accepted.Add(1)
		}
	}
	agent.Start()
	t.Cleanup(agent.Close)
	return agent
}

// respondAnswered writes an agent's response with the outcome "answered".
func respondAnswered(w http.ResponseWriter, body string) {
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
	_, _ = io.WriteString(w, body)
}

// respondError writes an agent's error response.
func respondError(w http.ResponseWriter, outcome wire.Outcome, reason wire.Reason, status int) {
	w.Header().Set(wire.HeaderOutcome, string(outcome))
	w.Header().Set(wire.HeaderReason, string(reason))
	w.WriteHeader(status)
}

// abortConnection closes the connection without a response.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func respondOK(w http.ResponseWriter, _ *http.Request) { respondAnswered(w, "ok") }

// newFixture starts a router with two services. The agents are back ends of
// both. The first one owns the single shard of the keyed service.
func newFixture(t testing.TB, change func(*Config), agents ...*fakeAgent) *fixture {
	t.Helper()
	f := &fixture{t: t, client: &http.Client{Transport: &http.Transport{}}, stopped: make(chan error, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	config := Config{
		Name: "router-1", Listener: listener.(*net.TCPListener), Location: topology.Location{Region: "r", Zone: "z1"},
		DrainDelay: time.Millisecond,
		Source: func(onTable func(*routing.Table)) (Source, error) {
			f.onTable = onTable
			return f, nil
		},
	}
	if change != nil {
		change(&config)
	}
	f.router, err = New(config)
	assert.NilError(t, err)
	f.url = "http://" + listener.Addr().String()
	f.publishSnapshot(newSnapshot(agents))
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	go func() { f.stopped <- f.router.Serve(ctx) }()
	t.Cleanup(func() {
		f.client.CloseIdleConnections()
		stop()
		<-f.stopped
		f.router.Close()
	})
	return f
}

func newSnapshot(agents []*fakeAgent) wire.RoutingSnapshot {
	keyed := topology.Service{ID: keyedService, Name: "keyed", Rules: []topology.RequestRule{
		{PathPrefix: "/packs/", Key: topology.KeySource{Kind: topology.KeyFromPathSegment, Index: 1}, Class: topology.ClassBulk},
		{Methods: []string{"POST"}, Key: topology.KeySource{Kind: topology.KeyFromPathSegment, Index: 1}, NonRepeatable: true},
		{Key: topology.KeySource{Kind: topology.KeyFromPathSegment, Index: 1}},
	}}
	balanced := topology.Service{ID: balancedService, Name: "balanced"}
	snapshot := wire.RoutingSnapshot{Revision: 1}
	shard := topology.Shard{ID: topology.ShardID{Service: keyedService, Shard: 1}, Phase: topology.ShardOwned, Owner: 1, Epoch: 1}
	balancedRoutes := wire.ServiceRoutes{Service: balanced}
	for i, agent := range agents {
		for _, service := range []topology.ServiceID{keyedService, balancedService} {
			snapshot.Backends = append(snapshot.Backends, topology.Backend{
				ID: backendID(service, i), Service: service, State: topology.BackendActive,
				AgentAddress: agent.Listener.Addr().String(), Location: topology.Location{Region: "r", Zone: "z1"},
			})
		}
		balancedRoutes.Shards = append(balancedRoutes.Shards, topology.Shard{
			ID:    topology.ShardID{Service: balancedService, Shard: topology.ShardNumber(i + 1)},
			Start: topology.KeyHash(i) * (^topology.KeyHash(0)/topology.KeyHash(len(agents)) + 1),
			Phase: topology.ShardOwned, Owner: backendID(balancedService, i), Epoch: 1,
		})
	}
	snapshot.Services = []wire.ServiceRoutes{{Service: keyed, Shards: []topology.Shard{shard}}, balancedRoutes}
	return snapshot
}

// backendID numbers the back ends of the keyed service 1, 2, ... and those of
// the balanced one 101, 102, ...
func backendID(service topology.ServiceID, agent int) topology.BackendID {
	if service == keyedService {
		return topology.BackendID(agent + 1)
	}
	return topology.BackendID(agent + 101)
}

// publishSnapshot publishes a complete routing table.
func (f *fixture) publishSnapshot(snapshot wire.RoutingSnapshot) {
	table, err := routing.FromSnapshot(snapshot)
	assert.NilError(f.t, err)
	f.table = table
	f.onTable(table)
}

// setShard publishes a change of the keyed service's shard as a delta.
func (f *fixture) setShard(phase topology.ShardPhase, owner topology.BackendID, epoch topology.Epoch) {
	shard := topology.Shard{ID: topology.ShardID{Service: keyedService, Shard: 1}, Phase: phase, Owner: owner, Epoch: epoch}
	table, err := f.table.Apply(wire.RoutingDelta{From: f.table.Revision(), To: f.table.Revision() + 1, Shards: []topology.Shard{shard}})
	assert.NilError(f.t, err)
	f.table = table
	f.onTable(table)
}

// callerResponse is the response that the caller received.
type callerResponse struct {
	status  int
	outcome wire.Outcome
	reason  wire.Reason
	header  http.Header
	body    string
	// closes is set if the response has "Connection: close".
	closes bool
	err    error
}

// send sends a request; extra alternates header names and values.
func (f *fixture) send(method, path, body string, extra ...string) callerResponse {
	f.t.Helper()
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	for i := 0; i < len(extra); i += 2 {
		request.Header.Set(extra[i], extra[i+1])
	}
	return f.do(request)
}

func (f *fixture) do(request *http.Request) callerResponse {
	response, err := f.client.Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return callerResponse{
		status: response.StatusCode, header: response.Header, body: string(content), closes: response.Close, err: err,
		outcome: wire.Outcome(response.Header.Get(wire.HeaderOutcome)),
		reason:  wire.Reason(response.Header.Get(wire.HeaderReason)),
	}
}

func (f *fixture) get(path string, extra ...string) callerResponse {
	f.t.Helper()
	return f.send(http.MethodGet, path, "", extra...)
}

// post sends a non-repeatable request to the keyed service.
func (f *fixture) post(extra ...string) callerResponse {
	f.t.Helper()
	return f.send(http.MethodPost, "/keyed/closures/gate-7", "closed", append([]string{wire.HeaderRequestID, newRequestID()}, extra...)...)
}

func newRequestID() string { return requestid.New(time.Now(), [10]byte{1, 2, 3}).String() }

// check compares the response with the expected status, outcome and reason.
func (r callerResponse) check(t testing.TB, status int, outcome wire.Outcome, reason wire.Reason) {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, status, r.body)
	assert.Equal(t, r.outcome, outcome)
	assert.Equal(t, r.reason, reason)
}

// listenAt listens at an address whose listener was just closed.
func listenAt(t testing.TB, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return listener
}
