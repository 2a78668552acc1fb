package agent

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/backend"
	"github.com/quartzdock/quartzdock/lab/ledger"
)

const (
	self              = topology.BackendID(1)
	other             = topology.BackendID(2)
	testLease         = 500 * time.Millisecond
	testRenewInterval = 25 * time.Millisecond
)

var shard = topology.ShardID{Service: 1, Shard: 1}

// fakeController stands in for the subscription to the controller that grants
// the agent its lease.
type fakeController struct {
	agent *Agent
	// unresponsive is set while renewals are not answered, as if the agent were
	// disconnected.
	unresponsive atomic.Bool
	// renewInterval is the time between renewals.
	renewInterval atomic.Int64
	reporting     sync.Mutex

	mutex            sync.Mutex
	messages         []wire.ToController
	failed           uint32
	released         bool
	announcedLeaving bool
}

func (controller *fakeController) Send(message wire.ToController) error {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	controller.messages = append(controller.messages, message)
	return nil
}

// RenewNow performs one renewal and answers it as a controller would.
func (controller *fakeController) RenewNow() {
	sentAt := controller.agent.now()
	renew := controller.report()
	controller.mutex.Lock()
	controller.released = renew.Release
	controller.failed += renew.Backend.Failed
	controller.announcedLeaving = controller.announcedLeaving || renew.Leaving
	controller.mutex.Unlock()
	if !renew.Release && !controller.unresponsive.Load() {
		// Granted tells the control goroutine, which may be the caller.
		go controller.agent.lease.Granted(sentAt, testLease)
	}
}

// report requests one report at a time, as the subscription's sending goroutine
// does.
func (controller *fakeController) report() wire.Renew {
	controller.reporting.Lock()
	defer controller.reporting.Unlock()
	return controller.agent.report()
}

func (controller *fakeController) Stop() {}

func (controller *fakeController) hasReleased() bool {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return controller.released
}

func (controller *fakeController) warmed(id topology.ShardID) bool {
	return controller.find(func(m wire.ToController) bool { return m.Warmed != nil && m.Warmed.Shard == id })
}

// sent returns the number of messages.
func (controller *fakeController) sent() int {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	return len(controller.messages)
}

// releasedShard returns the first Released of the shard, or nil.
func (controller *fakeController) releasedShard(id topology.ShardID) *wire.Released {
	var found *wire.Released
	controller.find(func(m wire.ToController) bool {
		if m.Released != nil && m.Released.Shard == id {
			found = m.Released
		}
		return found != nil
	})
	return found
}

func (controller *fakeController) find(match func(wire.ToController) bool) bool {
	controller.mutex.Lock()
	defer controller.mutex.Unlock()
	for _, message := range controller.messages {
		if match(message) {
			return true
		}
	}
	return false
}

// harness runs an agent with a fake controller and a lab back end.
type harness struct {
	t          testing.TB
	self       topology.BackendID
	agent      *Agent
	controller *fakeController
	backend    *backend.Backend
	ledger     string
	folder     string
	stop       context.CancelFunc
	ended      chan error
}

func startBackend(t testing.TB, config backend.Config) (*backend.Backend, string) {
	t.Helper()
	config.Name = "one"
	if config.Listen == "" {
		config.Listen = "127.0.0.1:0"
	}
	config.Ledger = filepath.Join(t.TempDir(), "ledger.jsonl")
	if config.Slots == 0 {
		config.Slots = 4
	}
	started, err := backend.Start(config)
	assert.NilError(t, err)
	t.Cleanup(func() { stopNow(t, started) })
	return started, config.Ledger
}

// startHarness starts all of them and returns once the lease is valid.
func startHarness(t testing.TB, backendConfig backend.Config, edit func(*Config)) *harness {
	t.Helper()
	return startHarnessAs(t, self, backendConfig, edit)
}

// startHarnessAs is startHarness for a back end of any identity.
func startHarnessAs(t testing.TB, id topology.BackendID, backendConfig backend.Config, edit func(*Config)) *harness {
	t.Helper()
	started, path := startBackend(t, backendConfig)
	r := startAgent(t, id, started.Address(), t.TempDir(), edit)
	r.backend, r.ledger = started, path
	return r
}

// startAgent starts an agent and a fake controller for the back end at the
// address.
func startAgent(t testing.TB, id topology.BackendID, address, folder string, edit func(*Config)) *harness {
	t.Helper()
	config := Config{
		Name:           "one",
		Listen:         "127.0.0.1:0",
		Controllers:    []string{"127.0.0.1:1"},
		DataFolder:     folder,
		BackendAddress: address,
		StopTimeout:    10 * time.Second,
		Log:            slog.New(slog.NewTextHandler(newTestWriter(t), nil)),
	}
	if edit != nil {
		edit(&config)
	}
	agent, err := New(config)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	r := &harness{t: t, self: id, agent: agent, controller: &fakeController{agent: agent},
		folder: folder, stop: stop, ended: make(chan error, 1)}
	r.controller.renewInterval.Store(int64(testRenewInterval))
	renewals, endRenewals := context.WithCancel(context.Background())
	go func() {
		defer endRenewals()
		r.ended <- agent.runWith(ctx, r.controller)
	}()
	go r.renew(renewals)
	agent.onWelcome(wire.Welcome{Backend: id, Service: shard.Service})
	t.Cleanup(stop)
	r.waitFor("lease", func() bool { return agent.holder.Valid(agent.now()) })
	return r
}

// renew sends renewals regularly, as the subscription does. They continue while
// a planned stop drains.
func (r *harness) renew(ctx context.Context) {
	for ctx.Err() == nil {
		r.controller.RenewNow()
		time.Sleep(time.Duration(r.controller.renewInterval.Load()))
	}
}

// testWriter writes the agent's log to the test's until the test has ended.
type testWriter struct {
	mutex sync.Mutex
	t     testing.TB
}

func newTestWriter(t testing.TB) *testWriter {
	writer := &testWriter{t: t}
	t.Cleanup(func() {
		writer.mutex.Lock()
		defer writer.mutex.Unlock()
		writer.t = nil
	})
	return writer
}

func (writer *testWriter) Write(line []byte) (int, error) {
	writer.mutex.Lock()
	defer writer.mutex.Unlock()
	if writer.t != nil {
		writer.t.Log(strings.TrimSpace(string(line)))
	}
	return len(line), nil
}

func (r *harness) waitFor(what string, condition func() bool) {
	r.t.Helper()
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// applyShard applies a routing table with one shard in the given state.
func (r *harness) applyShard(revision topology.Revision, state topology.Shard, others ...topology.Backend) {
	r.t.Helper()
	r.applyShardAs(revision, topology.BackendActive, state, others...)
}

// applyShardAs is applyShard with a given state of the back end.
func (r *harness) applyShardAs(revision topology.Revision, as topology.BackendState, state topology.Shard, others ...topology.Backend) {
	r.t.Helper()
	state.ID = shard
	r.applyShards(revision, as, []topology.Shard{state}, others...)
}

// applyShards applies a routing table with shards in the order of their ranges.
func (r *harness) applyShards(revision topology.Revision, as topology.BackendState, shards []topology.Shard, others ...topology.Backend) {
	r.t.Helper()
	table, err := routing.FromSnapshot(wire.RoutingSnapshot{
		Revision: revision,
		Services: []wire.ServiceRoutes{{
			Service: topology.Service{ID: shard.Service, Name: "closures", InitialShards: 1, DrainLimit: 5 * time.Second},
			Shards:  shards,
		}},
		Backends: append(others, r.asBackend(as)),
	})
	assert.NilError(r.t, err)
	r.agent.onTable(table)
}

// asBackend returns the entry of the harness's back end in the routing table.
func (r *harness) asBackend(state topology.BackendState) topology.Backend {
	return topology.Backend{ID: r.self, Service: shard.Service, Name: "one",
		AgentAddress: r.agent.Address(), Slots: 4, Connections: 20, State: state}
}

// ownShard assigns the shard to the agent and waits until it is served.
func (r *harness) ownShard(revision topology.Revision, epoch topology.Epoch) {
	r.t.Helper()
	r.applyShard(revision, topology.Shard{Phase: topology.ShardOwned, Owner: r.self, Epoch: epoch})
	r.waitServed(epoch)
}

// waitServed waits until the shard is served at the epoch.
func (r *harness) waitServed(epoch topology.Epoch) {
	r.t.Helper()
	r.waitFor("shard served", func() bool {
		held, ok := r.agent.view.Load().shards[shard]
		return ok && held.epoch == epoch
	})
}

// testResponse is what a router receives.
type testResponse struct {
	status  int
	outcome wire.Outcome
	reason  wire.Reason
	body    string
	header  http.Header
	err     error
}

// testRequest is a request as a router sends it.
type testRequest struct {
	method, path, body string
	epoch              topology.Epoch
	id                 string
	header             map[string]string
}

func (r *harness) newRequest(sent testRequest) *http.Request {
	request, err := http.NewRequest(sent.method, "http://"+r.agent.Address()+sent.path, strings.NewReader(sent.body))
	assert.NilError(r.t, err)
	request.Header.Set(wire.HeaderShard, shard.String())
	request.Header.Set(wire.HeaderEpoch, strconv.FormatUint(uint64(sent.epoch), 10))
	if sent.id != "" {
		request.Header.Set(wire.HeaderRequestID, sent.id)
		request.Header.Set(wire.HeaderNonRepeatable, "true")
	}
	for name, value := range sent.header {
		request.Header.Set(name, value)
	}
	return request
}

func (r *harness) send(sent testRequest) testResponse {
	r.t.Helper()
	return exchange(r.newRequest(sent))
}

func exchange(request *http.Request) testResponse {
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return testResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return testResponse{
		status:  response.StatusCode,
		outcome: wire.Outcome(response.Header.Get(wire.HeaderOutcome)),
		reason:  wire.Reason(response.Header.Get(wire.HeaderReason)),
		body:    string(body),
		header:  response.Header,
		err:     err,
	}
}

// sendAsync sends a request and returns the channel that receives the response.
func (r *harness) sendAsync(sent testRequest) <-chan testResponse {
	request := r.newRequest(sent)
	result := make(chan testResponse, 1)
	go func() { result <- exchange(request) }()
	return result
}

// setBehaviour sets the behaviour of the lab back end.
func (r *harness) setBehaviour(behaviour string) {
	r.t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+r.backend.Address()+"/_lab/behaviour", bytes.NewBufferString(behaviour))
	assert.NilError(r.t, err)
	got := exchange(request)
	assert.NilError(r.t, got.err)
	assert.Equal(r.t, got.status, http.StatusOK)
}

// countEntries counts the ledger entries of one kind for a request id.
func (r *harness) countEntries(id string, kind ledger.Kind) int {
	r.t.Helper()
	entries, err := ledger.ReadBackends(r.ledger)
	assert.NilError(r.t, err)
	found := 0
	for _, entry := range entries {
		if entry.RequestID == id && entry.Kind == kind {
			found++
		}
	}
	return found
}

// waitRunning waits until the back end runs the request.
func (r *harness) waitRunning(id string) {
	r.t.Helper()
	r.waitFor("request runs", func() bool { return r.countEntries(id, ledger.KindRun) > 0 })
}

var idCount atomic.Uint64

// newID returns an id with the given time.
func newID(at time.Time) string { return newIDOf(at, idCount.Add(1)) }

// newIDOf returns an id with the given time and number.
func newIDOf(at time.Time, number uint64) string {
	var random [10]byte
	binary.BigEndian.PutUint64(random[2:], number)
	return requestid.New(at, random).String()
}

// freshID returns an id whose time is above the floor of every record that the
// agent has begun.
func (r *harness) freshID() string {
	time.Sleep(time.Millisecond)
	bound := r.agent.config.Record.ClockBound
	return newID(time.Now().Add(bound))
}

func (r *harness) backendStatus() map[string]any {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.backend.Address()+"/_lab/status", nil)
	assert.NilError(r.t, err)
	got := exchange(request)
	status := make(map[string]any)
	assert.NilError(r.t, json.Unmarshal([]byte(got.body), &status), fmt.Sprint(got))
	return status
}

// stopNow stops a lab back end without waiting for its requests.
func stopNow(t testing.TB, started *backend.Backend) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = started.Stop(ctx)
}

// sendCancellable sends a request that the returned function cancels, as a
// router does whose caller disconnected.
func (r *harness) sendCancellable(sent testRequest) (cancel func(), done <-chan testResponse) {
	ctx, cancel := context.WithCancel(context.Background())
	request := r.newRequest(sent).WithContext(ctx)
	result := make(chan testResponse, 1)
	go func() { result <- exchange(request) }()
	return cancel, result
}
