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

// fixture is a router between a test's caller and its stand-in agents.
type fixture struct {
	t       testing.TB
	router  *Router
	url     string
	client  *http.Client
	onTable func(*routing.Table)
	table   *routing.Table
	age     atomic.Int64 // nanoseconds of Freshness
	stop    context.CancelFunc
	stopped chan error

	mutex sync.Mutex
	sent  []wire.ToController
}

// Freshness implements Source.
func (f *fixture) Freshness(time.Duration) time.Duration { return time.Duration(f.age.Load()) }

// Send implements Source.
func (f *fixture) Send(message wire.ToController) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sent = append(f.sent, message)
	return nil
}

// Stop implements Source.
func (f *fixture) Stop() {}

// agentServer is a stand-in for an agent.
type agentServer struct {
	*httptest.Server
	requests atomic.Int64
	// accepted counts connections.
	accepted atomic.Int64
}

func newAgent(t testing.TB, handler http.HandlerFunc) *agentServer {
	agent := new(agentServer)
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

// answered writes an agent's answer.
func answered(w http.ResponseWriter, body string) {
	w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
	_, _ = io.WriteString(w, body)
}

// refused writes an agent's refusal.
func refusedBy(w http.ResponseWriter, outcome wire.Outcome, reason wire.Reason, status int) {
	w.Header().Set(wire.HeaderOutcome, string(outcome))
	w.Header().Set(wire.HeaderReason, string(reason))
	w.WriteHeader(status)
}

// abort breaks the connection without an answer.
func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func ok(w http.ResponseWriter, _ *http.Request) { answered(w, "ok") }

// newFixture starts a router whose two services have the agents as back ends.
// The single shard of the keyed service belongs to the first.
func newFixture(t testing.TB, change func(*Config), agents ...*agentServer) *fixture {
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
	f.show(snapshotOf(agents))
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

func snapshotOf(agents []*agentServer) wire.RoutingSnapshot {
	keyed := topology.Service{ID: keyedService, Name: "keyed", Rules: []topology.RequestRule{
		{PathPrefix: "/packs/", Key: topology.KeySource{Kind: topology.KeyFromPathSegment, Index: 1}, Class: topology.ClassBulk},
		{Methods: []string{"POST"}, Key: topology.KeySource{Kind: topology.KeyFromPathSegment, Index: 1}, NonRepeatable: true},
		{Key: topology.KeySource{Kind: topology.KeyFromPathSegment, Index: 1}},
	}}
	balanced := topology.Service{ID: balancedService, Name: "balanced"}
	snapshot := wire.RoutingSnapshot{Revision: 1}
	shard := topology.Shard{ID: topology.ShardID{Service: keyedService, Shard: 1}, Phase: topology.ShardOwned, Owner: 1, Epoch: 1}
	ofIDs := wire.ServiceRoutes{Service: balanced}
	for i, agent := range agents {
		for _, service := range []topology.ServiceID{keyedService, balancedService} {
			snapshot.Backends = append(snapshot.Backends, topology.Backend{
				ID: backendID(service, i), Service: service, State: topology.BackendActive,
				AgentAddress: agent.Listener.Addr().String(), Location: topology.Location{Region: "r", Zone: "z1"},
			})
		}
		ofIDs.Shards = append(ofIDs.Shards, topology.Shard{
			ID:    topology.ShardID{Service: balancedService, Shard: topology.ShardNumber(i + 1)},
			Start: topology.KeyHash(i) * (^topology.KeyHash(0)/topology.KeyHash(len(agents)) + 1),
			Phase: topology.ShardOwned, Owner: backendID(balancedService, i), Epoch: 1,
		})
	}
	snapshot.Services = []wire.ServiceRoutes{{Service: keyed, Shards: []topology.Shard{shard}}, ofIDs}
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

// show publishes a whole table.
func (f *fixture) show(snapshot wire.RoutingSnapshot) {
	table, err := routing.FromSnapshot(snapshot)
	assert.NilError(f.t, err)
	f.table = table
	f.onTable(table)
}

// setShard publishes a change of the keyed service's shard.
func (f *fixture) setShard(phase topology.ShardPhase, owner topology.BackendID, epoch topology.Epoch) {
	shard := topology.Shard{ID: topology.ShardID{Service: keyedService, Shard: 1}, Phase: phase, Owner: owner, Epoch: epoch}
	table, err := f.table.Apply(wire.RoutingDelta{From: f.table.Revision(), To: f.table.Revision() + 1, Shards: []topology.Shard{shard}})
	assert.NilError(f.t, err)
	f.table = table
	f.onTable(table)
}

// reply is what the caller saw.
type reply struct {
	status  int
	outcome wire.Outcome
	reason  wire.Reason
	header  http.Header
	body    string
	// closes says that the connection ends with this answer.
	closes bool
	err    error
}

// send makes a request; extra are header names and values in turn.
func (f *fixture) send(method, path, body string, extra ...string) reply {
	f.t.Helper()
	request, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	assert.NilError(f.t, err)
	for i := 0; i < len(extra); i += 2 {
		request.Header.Set(extra[i], extra[i+1])
	}
	return f.do(request)
}

func (f *fixture) do(request *http.Request) reply {
	response, err := f.client.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{
		status: response.StatusCode, header: response.Header, body: string(content), closes: response.Close, err: err,
		outcome: wire.Outcome(response.Header.Get(wire.HeaderOutcome)),
		reason:  wire.Reason(response.Header.Get(wire.HeaderReason)),
	}
}

func (f *fixture) get(path string, extra ...string) reply {
	f.t.Helper()
	return f.send(http.MethodGet, path, "", extra...)
}

// post sends a non-repeatable request to the keyed service.
func (f *fixture) post(extra ...string) reply {
	f.t.Helper()
	return f.send(http.MethodPost, "/keyed/closures/gate-7", "closed", append([]string{wire.HeaderRequestID, newID()}, extra...)...)
}

func newID() string { return requestid.New(time.Now(), [10]byte{1, 2, 3}).String() }

// check compares what the caller saw.
func (r reply) check(t testing.TB, status int, outcome wire.Outcome, reason wire.Reason) {
	t.Helper()
	assert.NilError(t, r.err)
	assert.Equal(t, r.status, status, r.body)
	assert.Equal(t, r.outcome, outcome)
	assert.Equal(t, r.reason, reason)
}

// listenAt takes an address that was just given up.
func listenAt(t testing.TB, address string) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	return listener
}
