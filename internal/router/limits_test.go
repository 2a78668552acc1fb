package router

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// startBlocked sends count requests and waits until the agent has received at
// least received of them, which block until unblock is closed. The returned
// function closes it and returns the responses.
func (f *fixture) startBlocked(agent *fakeAgent, unblock chan struct{}, count int, received int64, send func() callerResponse) func() []callerResponse {
	f.t.Helper()
	responses := make([]callerResponse, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() { responses[i] = send() })
	}
	release := sync.OnceFunc(func() { close(unblock) })
	f.t.Cleanup(release)
	poll.WaitOn(f.t, receivedAtLeast(agent, received))
	return func() []callerResponse {
		release()
		group.Wait()
		return responses
	}
}

// blockWhere blocks the requests for which matches returns true until unblock
// is closed.
func blockWhere(unblock chan struct{}, matches func(*http.Request) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if matches(r) {
			<-unblock
		}
		respondAnswered(w, "ok")
	}
}

func isBulk(r *http.Request) bool { return r.Header.Get(wire.HeaderClass) == "bulk" }

// Slow bulk requests must not occupy every connection to a back end.
func TestBulkRequestsLeaveConnectionsForLookups(t *testing.T) {
	unblock := make(chan struct{})
	owner := newFakeAgent(t, blockWhere(unblock, isBulk))
	f := newFixture(t, func(c *Config) { c.AgentConnections = 10 }, owner)
	finish := f.startBlocked(owner, unblock, 40, 5, func() callerResponse { return f.get("/keyed/packs/terminal-5") })
	f.get("/keyed/plans/a", wire.HeaderDeadline, "2000").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	for _, pack := range finish() {
		pack.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}

// A burst of lookups must not keep a non-repeatable write from its back end.
func TestLookupsLeaveConnectionsForWrites(t *testing.T) {
	unblock := make(chan struct{})
	owner := newFakeAgent(t, blockWhere(unblock, func(r *http.Request) bool { return r.Method == http.MethodGet }))
	f := newFixture(t, func(c *Config) { c.AgentConnections = 10 }, owner)
	finish := f.startBlocked(owner, unblock, 40, 5, func() callerResponse { return f.get("/keyed/plans/a") })
	f.post(wire.HeaderDeadline, "2000").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	for _, plan := range finish() {
		plan.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}

// The queue for a back end is bounded. Requests that do not fit are answered
// immediately with Retry-After and never reach the back end.
func TestFullBackendQueueShedsImmediately(t *testing.T) {
	const connections, sent = 2, 60
	unblock := make(chan struct{})
	owner := newFakeAgent(t, blockWhere(unblock, func(*http.Request) bool { return true }))
	f := newFixture(t, func(c *Config) { c.AgentConnections = connections }, owner)
	shed := make(chan callerResponse, sent)
	finish := f.startBlocked(owner, unblock, sent, connections, func() callerResponse {
		got := f.get("/keyed/plans/a")
		if got.reason == wire.ReasonShed {
			shed <- got
		}
		return got
	})
	for range sent - connections - connections*queuedPerConnection {
		var got callerResponse
		select {
		case got = <-shed:
		case <-time.After(10 * time.Second):
			t.Fatal("the queue accepts more requests than its limit")
		}
		got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	finish()
	assert.Equal(t, owner.requests.Load(), int64(connections+connections*queuedPerConnection))
}

// A request that would wait in the queue beyond its deadline is answered
// immediately.
func TestBackendQueueShedsRequestsThatCannotMeetTheirDeadline(t *testing.T) {
	unblock := make(chan struct{})
	owner := newFakeAgent(t, blockWhere(unblock, func(*http.Request) bool { return true }))
	f := newFixture(t, func(c *Config) { c.AgentConnections = 1 }, owner)
	finish := f.startBlocked(owner, unblock, 6, 1, func() callerResponse { return f.get("/keyed/plans/a") })
	f.get("/keyed/plans/a", wire.HeaderDeadline, "10").check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
	finish()
	assert.Equal(t, owner.requests.Load(), int64(6))
}

func TestSlowServiceLeavesCapacityForOthers(t *testing.T) {
	unblock := make(chan struct{})
	slow := newFakeAgent(t, blockWhere(unblock, func(r *http.Request) bool { return r.Header.Get(wire.HeaderShard) != "" }))
	f := newFixture(t, func(c *Config) { c.MaximumInFlight = 8; c.ServiceShare = 0.5 }, slow)
	finish := f.startBlocked(slow, unblock, 4, 4, func() callerResponse { return f.get("/keyed/plans/a") })
	got := f.get("/keyed/plans/a")
	got.check(t, http.StatusTooManyRequests, wire.OutcomeNotRun, wire.ReasonOverLimit)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
	f.get("/balanced/plans").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	finish()
}

func TestRouterShedsAboveMaximumInFlight(t *testing.T) {
	unblock := make(chan struct{})
	slow := newFakeAgent(t, blockWhere(unblock, func(*http.Request) bool { return true }))
	f := newFixture(t, func(c *Config) { c.MaximumInFlight = 2; c.ServiceShare = 1 }, slow)
	finish := f.startBlocked(slow, unblock, 2, 2, func() callerResponse { return f.get("/keyed/plans/a") })
	got := f.get("/balanced/plans")
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
	finish()
	f.get("/balanced/plans").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
}

// Requests that wait for a connection to a frozen owner are sent to the next
// one, including non-repeatable ones, because they were not sent yet.
func TestQueuedRequestIsSentToTheNewOwner(t *testing.T) {
	unblock := make(chan struct{})
	frozen := newFakeAgent(t, blockWhere(unblock, func(*http.Request) bool { return true }))
	newOwner := newFakeAgent(t, respondOK)
	f := newFixture(t, func(c *Config) { c.AgentConnections = 1; c.SupersededGrace = time.Millisecond }, frozen, newOwner)
	finish := f.startBlocked(frozen, unblock, 1, 1, func() callerResponse { return f.get("/keyed/plans/a") })
	waiting := make(chan callerResponse, 1)
	go func() { waiting <- f.post() }()
	poll.WaitOn(t, f.queuedFor(1, 1))
	f.setShard(topology.ShardOwned, 2, 2)
	(<-waiting).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	finish()
	assert.Equal(t, frozen.requests.Load(), int64(1))
}

// The table becomes stale while a request waits for a connection.
func TestQueuedRequestIsNotSentWhenTheTableBecomesStale(t *testing.T) {
	unblock := make(chan struct{})
	owner := newFakeAgent(t, blockWhere(unblock, func(*http.Request) bool { return true }))
	f := newFixture(t, func(c *Config) { c.AgentConnections = 1 }, owner)
	finish := f.startBlocked(owner, unblock, 1, 1, func() callerResponse { return f.get("/keyed/plans/a") })
	waiting := make(chan callerResponse, 1)
	go func() { waiting <- f.get("/keyed/plans/a") }()
	poll.WaitOn(t, f.queuedFor(1, 1))
	f.tableAge.Store(int64(time.Minute))
	finish()
	(<-waiting).check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonStale)
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// queuedFor waits until count requests wait for a connection to a back end.
func (f *fixture) queuedFor(backend topology.BackendID, count int) poll.Check {
	return func(poll.LogT) poll.Result {
		if waiting := f.router.view.Load().endpoints[backend].gate.Waiting(); waiting != count {
			return poll.Continue("%d requests are queued", waiting)
		}
		return poll.Success()
	}
}

// A caller disconnects while its request waits for a connection. The request
// must leave the queue and not be sent.
func TestDisconnectedCallerLeavesTheQueue(t *testing.T) {
	unblock := make(chan struct{})
	owner := newFakeAgent(t, blockWhere(unblock, func(*http.Request) bool { return true }))
	f := newFixture(t, func(c *Config) { c.AgentConnections = 1 }, owner)
	finish := f.startBlocked(owner, unblock, 1, 1, func() callerResponse { return f.get("/keyed/plans/a") })
	ctx, disconnect := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/keyed/plans/a", nil)
	assert.NilError(t, err)
	received := make(chan callerResponse, 1)
	go func() { received <- f.do(request) }()
	poll.WaitOn(t, f.queuedFor(1, 1))
	disconnect()
	assert.ErrorIs(t, (<-received).err, context.Canceled)
	poll.WaitOn(t, f.queuedFor(1, 0))
	finish()
	assert.Equal(t, owner.requests.Load(), int64(1), "the request of the disconnected caller was sent")
}

func TestErrorStatusCodes(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.MaximumBodyBytes = 100 }, newFakeAgent(t, respondOK))
	f.get("/nothing/here").check(t, http.StatusNotFound, wire.OutcomeNotRun, wire.ReasonNotFound)
	f.get("/keyed/").check(t, http.StatusBadRequest, wire.OutcomeNotRun, wire.ReasonInvalid)
	f.get("/keyed/plans/a", wire.HeaderDeadline, "soon").check(t, http.StatusBadRequest, wire.OutcomeNotRun, wire.ReasonInvalid)
	f.get("/keyed/plans/a", wire.HeaderNonRepeatable, "yes").check(t, http.StatusBadRequest, wire.OutcomeNotRun, wire.ReasonInvalid)
	tooLong := fmt.Sprintf("%0101d", 1)
	f.send(http.MethodPut, "/keyed/plans/a", tooLong).check(t, http.StatusRequestEntityTooLarge, wire.OutcomeNotRun, wire.ReasonTooLarge)
}
