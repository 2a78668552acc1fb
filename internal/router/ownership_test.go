package router

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const noReason = wire.Reason("")

func TestKeyedRequestReachesOwnerWithShardAndEpoch(t *testing.T) {
	seen := make(chan http.Header, 1)
	owner := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		respondAnswered(w, r.URL.RequestURI())
	})
	f := newFixture(t, nil, owner, newFakeAgent(t, abortConnection))
	got := f.get("/keyed/plans/gate%2F7?floor=2", wire.HeaderShard, "9/9", wire.HeaderCaller, "app/1",
		wire.HeaderDeadline, "2000", "Connection", "X-Private", "X-Private", "1", "X-Kept", "2")
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, got.body, "/keyed/plans/gate%2F7?floor=2")
	header := <-seen
	assert.Equal(t, header.Get(wire.HeaderShard), "1/1", "a caller must not be able to set it")
	assert.Equal(t, header.Get(wire.HeaderEpoch), "1")
	_, err := strconv.ParseUint(header.Get(wire.HeaderKey), hexadecimal, 64)
	assert.NilError(t, err, "the hash of the key")
	assert.Equal(t, header.Get(wire.HeaderCaller), "app/1")
	assert.Equal(t, header.Get(wire.HeaderClass), "lookup")
	assert.Equal(t, header.Get("X-Private"), "", "it is listed in Connection")
	assert.Equal(t, header.Get("X-Kept"), "2")
	assert.Assert(t, header.Get(wire.HeaderDeadline) != "")
}

func TestRequestIsHeldWhileShardIsReleasing(t *testing.T) {
	newOwner := newFakeAgent(t, respondOK)
	f := newFixture(t, nil, newFakeAgent(t, abortConnection), newOwner)
	f.setShard(topology.ShardReleasing, 1, 1)
	responses := make(chan callerResponse, 1)
	go func() { responses <- f.post() }()
	poll.WaitOn(t, f.heldRequests(1))
	f.setShard(topology.ShardOwned, 2, 2)
	got := <-responses
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, newOwner.requests.Load(), int64(1))
	assert.Equal(t, f.router.holdBuffer.requests.Load(), int64(0))
	assert.Equal(t, f.router.holdBuffer.bytes.Load(), int64(0))
}

// heldRequests waits until count requests are held.
func (f *fixture) heldRequests(count int64) poll.Check {
	return func(poll.LogT) poll.Result {
		if f.router.holdBuffer.requests.Load() == count {
			return poll.Success()
		}
		return poll.Continue("%d requests are held", f.router.holdBuffer.requests.Load())
	}
}

// A request whose shard gets no owner is answered after HoldTimeout, long
// before its deadline, with Retry-After.
func TestHeldRequestFailsAfterHoldTimeout(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HoldTimeout = 20 * time.Millisecond }, newFakeAgent(t, abortConnection))
	f.setShard(topology.ShardUnassigned, 0, 1)
	got := f.post(wire.HeaderDeadline, "3600000")
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonNoOwner)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
}

func TestHeldRequestFailsAtItsDeadline(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HoldTimeout = time.Hour }, newFakeAgent(t, abortConnection))
	f.setShard(topology.ShardUnassigned, 0, 1)
	f.post(wire.HeaderDeadline, "20").check(t, http.StatusGatewayTimeout, wire.OutcomeNotRun, wire.ReasonExpired)
}

func TestFullHoldBufferShedsImmediately(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HoldRequests = 1; c.HoldTimeout = time.Hour }, newFakeAgent(t, respondOK))
	f.setShard(topology.ShardReleasing, 1, 1)
	responses := make(chan callerResponse, 1)
	go func() { responses <- f.post() }()
	poll.WaitOn(t, f.heldRequests(1))
	got := f.post()
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
	f.setShard(topology.ShardOwned, 1, 2)
	(<-responses).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
}

// The memory for held request bodies is limited. A request whose body does not
// fit is rejected immediately.
func TestHoldBufferBoundsBytes(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HoldBytes = 10; c.HoldTimeout = time.Hour }, newFakeAgent(t, respondOK))
	f.setShard(topology.ShardReleasing, 1, 1)
	responses := make(chan callerResponse, 1)
	go func() { responses <- f.post() }() // 6 bytes
	poll.WaitOn(t, f.heldRequests(1))
	f.post().check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
	f.setShard(topology.ShardOwned, 1, 2)
	(<-responses).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
}

// A draining owner rejects the request. The request waits for the next owner,
// even though it is non-repeatable, because it was not run.
func TestRejectedRequestIsSentToTheNextOwner(t *testing.T) {
	rejecting := newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		respondError(w, wire.OutcomeNotRun, wire.ReasonDraining, http.StatusMisdirectedRequest)
	})
	newOwner := newFakeAgent(t, respondOK)
	f := newFixture(t, nil, rejecting, newOwner)
	responses := make(chan callerResponse, 1)
	go func() { responses <- f.post() }()
	poll.WaitOn(t, f.heldRequests(1))
	f.setShard(topology.ShardOwned, 2, 2)
	(<-responses).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, newOwner.requests.Load(), int64(1))
}

// An agent keeps its shards across a restart. Held requests must reach it as
// soon as it listens again.
func TestUnreachableOwnerIsRetried(t *testing.T) {
	owner := newFakeAgent(t, respondOK)
	address := owner.Listener.Addr().String()
	f := newFixture(t, nil, owner)
	f.get("/keyed/plans/a").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	poll.WaitOn(t, f.connectionsAccepted(owner))
	owner.Close()
	responses := make(chan callerResponse, 1)
	go func() { responses <- f.post() }()
	poll.WaitOn(t, f.heldRequests(1))
	restarted := &http.Server{Handler: http.HandlerFunc(respondOK)}
	listener := listenAt(t, address)
	go func() { _ = restarted.Serve(listener) }()
	t.Cleanup(func() { _ = restarted.Close() })
	(<-responses).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
}

// connectionsAccepted waits until the owner has accepted all connections of the
// router. If the listener closes with a connection in its backlog, a request
// sent on that connection is lost and its outcome is unknown.
func (f *fixture) connectionsAccepted(owner *fakeAgent) poll.Check {
	return func(poll.LogT) poll.Result {
		endpoints := f.router.view.Load().endpoints
		keyed, balanced := endpoints[1].pool.Stats(), endpoints[101].pool.Stats()
		open := keyed.Open + balanced.Open
		if keyed.Dialling+balanced.Dialling > 0 || open == 0 || owner.accepted.Load() != int64(open) {
			return poll.Continue("%d open, %d accepted", open, owner.accepted.Load())
		}
		return poll.Success()
	}
}

// The owner freezes with requests in progress, and the table then names another
// owner. The lookup is retried there. The non-repeatable write must not be,
// because it may have run.
func TestAttemptAtSupersededOwnerIsCancelled(t *testing.T) {
	unblock := make(chan struct{})
	frozen := newFakeAgent(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-unblock
	})
	defer close(unblock)
	newOwner := newFakeAgent(t, respondOK)
	f := newFixture(t, func(c *Config) { c.SupersededGrace = time.Millisecond }, frozen, newOwner)
	lookup, write := make(chan callerResponse, 1), make(chan callerResponse, 1)
	go func() { lookup <- f.get("/keyed/plans/a") }()
	go func() { write <- f.post() }()
	poll.WaitOn(t, receivedAtLeast(frozen, 2))
	f.setShard(topology.ShardOwned, 2, 2)
	(<-lookup).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	(<-write).check(t, http.StatusGatewayTimeout, wire.OutcomeUnknown, wire.ReasonLeaseLost)
	assert.Equal(t, newOwner.requests.Load(), int64(1), "the write must not run a second time")
}

// A split or a merge raises the epoch, but the owner stays and completes the
// requests in progress. They must not be cancelled.
func TestAttemptContinuesWhenEpochRisesButOwnerStays(t *testing.T) {
	unblock := make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	owner := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		<-unblock
		respondOK(w, r)
	})
	defer release()
	f := newFixture(t, func(c *Config) { c.SupersededGrace = time.Millisecond }, owner)
	write := make(chan callerResponse, 1)
	go func() { write <- f.post() }()
	poll.WaitOn(t, receivedAtLeast(owner, 1))
	f.setShard(topology.ShardOwned, 1, 2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		cancels := f.router.view.Load().endpoints[1].pending.supersededCancels(f.router.view.Load())
		if len(cancels) > 0 {
			return poll.Error(errSuperseded)
		}
		if f.router.view.Load().table.Revision() < f.table.Revision() {
			return poll.Continue("the table is not in force yet")
		}
		return poll.Success()
	})
	release()
	(<-write).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// receivedAtLeast waits until an agent has received at least count requests.
func receivedAtLeast(agent *fakeAgent, count int64) poll.Check {
	return func(poll.LogT) poll.Result {
		if agent.requests.Load() >= count {
			return poll.Success()
		}
		return poll.Continue("%d requests arrived", agent.requests.Load())
	}
}

// A router without contact to the controllers must not route by a table that
// may have been replaced, not even lookups, because a new rule may have made
// them non-repeatable. It serves again as soon as the table is confirmed.
func TestStaleRouterRejectsAllRequests(t *testing.T) {
	owner := newFakeAgent(t, respondOK)
	f := newFixture(t, nil, owner)
	f.tableAge.Store(int64(wire.MaxRoutingStaleness + 1))
	for _, got := range []callerResponse{f.get("/keyed/plans/a"), f.post(), f.get("/balanced/plans"), f.send(http.MethodPut, "/keyed/plans/a", "x")} {
		got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonStale)
		assert.Equal(t, got.header.Get("Retry-After"), "2")
	}
	assert.ErrorIs(t, f.router.Ready(), ErrStale)
	assert.Equal(t, owner.requests.Load(), int64(0))
	f.tableAge.Store(int64(wire.MaxRoutingStaleness))
	f.get("/keyed/plans/a").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.NilError(t, f.router.Ready())
}

// The table becomes stale during an attempt. A retry would rely on the stale
// table.
func TestRequestIsNotRetriedWhenTheTableBecomesStale(t *testing.T) {
	var f *fixture
	failing := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		f.tableAge.Store(int64(time.Minute))
		abortConnection(w, r)
	})
	f = newFixture(t, nil, failing)
	f.get("/keyed/plans/a").check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, failing.requests.Load(), int64(1))
}

// A request that is held when the table becomes stale is answered then, and not
// after HoldTimeout.
func TestHeldRequestFailsWhenTheTableBecomesStale(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HoldTimeout = time.Hour }, newFakeAgent(t, respondOK))
	f.setShard(topology.ShardReleasing, 1, 1)
	responses := make(chan callerResponse, 1)
	go func() { responses <- f.post(wire.HeaderDeadline, "3600000") }()
	poll.WaitOn(t, f.heldRequests(1))
	f.tableAge.Store(int64(time.Minute))
	(<-responses).check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonStale)
}
