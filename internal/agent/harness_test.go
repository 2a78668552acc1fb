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
	self          = topology.BackendID(1)
	other         = topology.BackendID(2)
	testLease     = 500 * time.Millisecond
	testRenewEach = 25 * time.Millisecond
)

var shard = topology.ShardID{Service: 1, Shard: 1}

// leader stands for the controller that grants an agent its lease.
type leader struct {
	agent *Agent
	// refuses: renewals are not answered, as when the agent is cut off.
	refuses atomic.Bool
	// renewEach is the time between renewals.
	renewEach atomic.Int64
	reporting sync.Mutex

	mutex    sync.Mutex
	messages []wire.ToController
	failed   uint32
	released bool
	left     bool
}

func (leader *leader) Send(message wire.ToController) error {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	leader.messages = append(leader.messages, message)
	return nil
}

// RenewNow answers one renewal as the leader would.
func (leader *leader) RenewNow() {
	sentAt := leader.agent.now()
	renew := leader.report()
	leader.mutex.Lock()
	leader.released = renew.Release
	leader.failed += renew.Backend.Failed
	leader.left = leader.left || renew.Leaving
	leader.mutex.Unlock()
	if !renew.Release && !leader.refuses.Load() {
		// Granted tells the control goroutine, which may be the caller.
		go leader.agent.lease.Granted(sentAt, testLease)
	}
}

// report asks for one report at a time, as the subscription's sending goroutine
// does.
func (leader *leader) report() wire.Renew {
	leader.reporting.Lock()
	defer leader.reporting.Unlock()
	return leader.agent.report()
}

func (leader *leader) Stop() {}

func (leader *leader) hasReleased() bool {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	return leader.released
}

func (leader *leader) warmed(id topology.ShardID) bool {
	return leader.find(func(m wire.ToController) bool { return m.Warmed != nil && m.Warmed.Shard == id })
}

// sent counts the messages.
func (leader *leader) sent() int {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	return len(leader.messages)
}

// releasedShard returns the first Released of the shard, or nil.
func (leader *leader) releasedShard(id topology.ShardID) *wire.Released {
	var found *wire.Released
	leader.find(func(m wire.ToController) bool {
		if m.Released != nil && m.Released.Shard == id {
			found = m.Released
		}
		return found != nil
	})
	return found
}

func (leader *leader) find(match func(wire.ToController) bool) bool {
	leader.mutex.Lock()
	defer leader.mutex.Unlock()
	for _, message := range leader.messages {
		if match(message) {
			return true
		}
	}
	return false
}

// rig is an agent with a leader and a stand-in back end.
type rig struct {
	t       testing.TB
	self    topology.BackendID
	agent   *Agent
	leader  *leader
	backend *backend.Backend
	ledger  string
	folder  string
	stop    context.CancelFunc
	ended   chan error
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

// startRig starts everything and returns once the lease is valid.
func startRig(t testing.TB, backendConfig backend.Config, edit func(*Config)) *rig {
	t.Helper()
	return startRigAs(t, self, backendConfig, edit)
}

// startRigAs is startRig for a back end of any identity.
func startRigAs(t testing.TB, id topology.BackendID, backendConfig backend.Config, edit func(*Config)) *rig {
	t.Helper()
	started, path := startBackend(t, backendConfig)
	r := startAgent(t, id, started.Address(), t.TempDir(), edit)
	r.backend, r.ledger = started, path
	return r
}

// startAgent starts an agent and a leader for the back end at the address.
func startAgent(t testing.TB, id topology.BackendID, address, folder string, edit func(*Config)) *rig {
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
	r := &rig{t: t, self: id, agent: agent, leader: &leader{agent: agent},
		folder: folder, stop: stop, ended: make(chan error, 1)}
	r.leader.renewEach.Store(int64(testRenewEach))
	renewals, endRenewals := context.WithCancel(context.Background())
	go func() {
		defer endRenewals()
		r.ended <- agent.runWith(ctx, r.leader)
	}()
	go r.renew(renewals)
	agent.onWelcome(wire.Welcome{Backend: id, Service: shard.Service})
	t.Cleanup(stop)
	r.waitFor("lease", func() bool { return agent.holder.Valid(agent.now()) })
	return r
}

// renew stands for the subscription's regular renewals, which go on while a
// planned stop drains.
func (r *rig) renew(ctx context.Context) {
	for ctx.Err() == nil {
		r.leader.RenewNow()
		time.Sleep(time.Duration(r.leader.renewEach.Load()))
	}
}

// testWriter sends the agent's log to the test's until the test has ended.
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

func (r *rig) waitFor(what string, condition func() bool) {
	r.t.Helper()
	poll.WaitOn(r.t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(2*time.Millisecond), poll.WithTimeout(10*time.Second))
}

// give puts a table in force that has the one shard in the given state.
func (r *rig) give(revision topology.Revision, state topology.Shard, others ...topology.Backend) {
	r.t.Helper()
	r.giveAs(revision, topology.BackendActive, state, others...)
}

// giveAs is give with the back end in any state.
func (r *rig) giveAs(revision topology.Revision, as topology.BackendState, state topology.Shard, others ...topology.Backend) {
	r.t.Helper()
	state.ID = shard
	r.giveShards(revision, as, []topology.Shard{state}, others...)
}

// giveShards puts a table in force with shards in the order of their ranges.
func (r *rig) giveShards(revision topology.Revision, as topology.BackendState, shards []topology.Shard, others ...topology.Backend) {
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

// asBackend is how the table lists the rig's back end.
func (r *rig) asBackend(state topology.BackendState) topology.Backend {
	return topology.Backend{ID: r.self, Service: shard.Service, Name: "one",
		AgentAddress: r.agent.Address(), Slots: 4, Connections: 20, State: state}
}

// own gives the shard to the agent and waits until it serves.
func (r *rig) own(revision topology.Revision, epoch topology.Epoch) {
	r.t.Helper()
	r.give(revision, topology.Shard{Phase: topology.ShardOwned, Owner: r.self, Epoch: epoch})
	r.serves(epoch)
}

// serves waits until the shard is served at the epoch.
func (r *rig) serves(epoch topology.Epoch) {
	r.t.Helper()
	r.waitFor("shard served", func() bool {
		held, ok := r.agent.view.Load().shards[shard]
		return ok && held.epoch == epoch
	})
}

// reply is what a router got.
type reply struct {
	status  int
	outcome wire.Outcome
	reason  wire.Reason
	body    string
	header  http.Header
	err     error
}

// call is a request as a router sends it.
type call struct {
	method, path, body string
	epoch              topology.Epoch
	id                 string
	header             map[string]string
}

func (r *rig) newRequest(sent call) *http.Request {
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

func (r *rig) do(sent call) reply {
	r.t.Helper()
	return exchange(r.newRequest(sent))
}

func exchange(request *http.Request) reply {
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{
		status:  response.StatusCode,
		outcome: wire.Outcome(response.Header.Get(wire.HeaderOutcome)),
		reason:  wire.Reason(response.Header.Get(wire.HeaderReason)),
		body:    string(body),
		header:  response.Header,
		err:     err,
	}
}

// background sends a call and returns where its reply will be.
func (r *rig) background(sent call) <-chan reply {
	request := r.newRequest(sent)
	result := make(chan reply, 1)
	go func() { result <- exchange(request) }()
	return result
}

// behave sets the stand-in's behaviour.
func (r *rig) behave(behaviour string) {
	r.t.Helper()
	request, err := http.NewRequest(http.MethodPut, "http://"+r.backend.Address()+"/_lab/behaviour", bytes.NewBufferString(behaviour))
	assert.NilError(r.t, err)
	got := exchange(request)
	assert.NilError(r.t, got.err)
	assert.Equal(r.t, got.status, http.StatusOK)
}

// kinds counts what the stand-in did with a request id.
func (r *rig) count(id string, kind ledger.Kind) int {
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

// running waits until the stand-in runs the request.
func (r *rig) running(id string) {
	r.t.Helper()
	r.waitFor("request runs", func() bool { return r.count(id, ledger.KindRun) > 0 })
}

var idCount atomic.Uint64

// newID makes an id that is stamped with the time.
func newID(at time.Time) string { return newIDOf(at, idCount.Add(1)) }

// newIDOf makes an id from a time and a number.
func newIDOf(at time.Time, number uint64) string {
	var random [10]byte
	binary.BigEndian.PutUint64(random[2:], number)
	return requestid.New(at, random).String()
}

// freshID makes an id stamped after every floor that the agent raised by now.
func (r *rig) freshID() string {
	time.Sleep(time.Millisecond)
	bound := r.agent.config.Record.ClockBound
	return newID(time.Now().Add(bound))
}

func (r *rig) status() map[string]any {
	request, err := http.NewRequest(http.MethodGet, "http://"+r.backend.Address()+"/_lab/status", nil)
	assert.NilError(r.t, err)
	got := exchange(request)
	status := make(map[string]any)
	assert.NilError(r.t, json.Unmarshal([]byte(got.body), &status), fmt.Sprint(got))
	return status
}

// stopNow ends a stand-in without waiting for its requests.
func stopNow(t testing.TB, started *backend.Backend) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = started.Stop(ctx)
}

// cancellable sends a call that the returned function cancels, as a router does
// whose caller went away.
func (r *rig) cancellable(sent call) (cancel func(), done <-chan reply) {
	ctx, cancel := context.WithCancel(context.Background())
	request := r.newRequest(sent).WithContext(ctx)
	result := make(chan reply, 1)
	go func() { result <- exchange(request) }()
	return cancel, result
}
