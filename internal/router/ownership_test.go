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

func TestKeyedRequestReachesItsOwnerWithShardAndEpoch(t *testing.T) {
	seen := make(chan http.Header, 1)
	owner := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		answered(w, r.URL.RequestURI())
	})
	f := newFixture(t, nil, owner, newAgent(t, abort))
	got := f.get("/keyed/plans/gate%2F7?floor=2", wire.HeaderShard, "9/9", wire.HeaderCaller, "app/1",
		wire.HeaderDeadline, "2000", "Connection", "X-Private", "X-Private", "1", "X-Kept", "2")
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, got.body, "/keyed/plans/gate%2F7?floor=2")
	header := <-seen
	assert.Equal(t, header.Get(wire.HeaderShard), "1/1", "a caller cannot set it")
	assert.Equal(t, header.Get(wire.HeaderEpoch), "1")
	_, err := strconv.ParseUint(header.Get(wire.HeaderKey), hexadecimal, 64)
	assert.NilError(t, err, "the position of the key")
	assert.Equal(t, header.Get(wire.HeaderCaller), "app/1")
	assert.Equal(t, header.Get(wire.HeaderClass), "lookup")
	assert.Equal(t, header.Get("X-Private"), "", "named by Connection")
	assert.Equal(t, header.Get("X-Kept"), "2")
	assert.Assert(t, header.Get(wire.HeaderDeadline) != "")
}

func TestRequestIsHeldWhileItsShardIsReleasing(t *testing.T) {
	later := newAgent(t, ok)
	f := newFixture(t, nil, newAgent(t, abort), later)
	f.setShard(topology.ShardReleasing, 1, 1)
	replies := make(chan reply, 1)
	go func() { replies <- f.post() }()
	poll.WaitOn(t, f.held(1))
	f.setShard(topology.ShardOwned, 2, 2)
	got := <-replies
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, later.requests.Load(), int64(1))
	assert.Equal(t, f.router.hold.requests.Load(), int64(0))
	assert.Equal(t, f.router.hold.bytes.Load(), int64(0))
}

// held waits until so many requests wait for an owner.
func (f *fixture) held(count int64) poll.Check {
	return func(poll.LogT) poll.Result {
		if f.router.hold.requests.Load() == count {
			return poll.Success()
		}
		return poll.Continue("%d requests are held", f.router.hold.requests.Load())
	}
}

// A request that no owner takes is answered when the router gives up, long
// before its deadline, with the time to come back.
func TestHeldRequestIsAnsweredWhenGivenUp(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HoldTimeout = 20 * time.Millisecond }, newAgent(t, abort))
	f.setShard(topology.ShardUnassigned, 0, 1)
	got := f.post(wire.HeaderDeadline, "3600000")
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonNoOwner)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
}

func TestHeldRequestEndsAtItsDeadline(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HoldTimeout = time.Hour }, newAgent(t, abort))
	f.setShard(topology.ShardUnassigned, 0, 1)
	f.post(wire.HeaderDeadline, "20").check(t, http.StatusGatewayTimeout, wire.OutcomeNotRun, wire.ReasonExpired)
}

func TestFullHoldBufferAnswersAtOnce(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HoldRequests = 1; c.HoldTimeout = time.Hour }, newAgent(t, ok))
	f.setShard(topology.ShardReleasing, 1, 1)
	replies := make(chan reply, 1)
	go func() { replies <- f.post() }()
	poll.WaitOn(t, f.held(1))
	got := f.post()
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
	f.setShard(topology.ShardOwned, 1, 2)
	(<-replies).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
}

// Held bodies take bounded memory: one that does not fit is refused at once.
func TestHoldBufferBoundsBytes(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HoldBytes = 10; c.HoldTimeout = time.Hour }, newAgent(t, ok))
	f.setShard(topology.ShardReleasing, 1, 1)
	replies := make(chan reply, 1)
	go func() { replies <- f.post() }() // 6 bytes
	poll.WaitOn(t, f.held(1))
	f.post().check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
	f.setShard(topology.ShardOwned, 1, 2)
	(<-replies).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
}

// The owner refuses as out of step (it is draining): the request waits for the
// next owner, also when it is non-repeatable, because it was not run.
func TestRefusedRequestGoesToTheNextOwner(t *testing.T) {
	refusing := newAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		refusedBy(w, wire.OutcomeNotRun, wire.ReasonDraining, http.StatusMisdirectedRequest)
	})
	later := newAgent(t, ok)
	f := newFixture(t, nil, refusing, later)
	replies := make(chan reply, 1)
	go func() { replies <- f.post() }()
	poll.WaitOn(t, f.held(1))
	f.setShard(topology.ShardOwned, 2, 2)
	(<-replies).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, later.requests.Load(), int64(1))
}

// An agent that is restarted keeps its shards: held requests reach it as soon
// as it listens again.
func TestUnreachableOwnerIsTriedAgain(t *testing.T) {
	owner := newAgent(t, ok)
	address := owner.Listener.Addr().String()
	f := newFixture(t, nil, owner)
	f.get("/keyed/plans/a").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	poll.WaitOn(t, f.settled(owner))
	owner.Close()
	replies := make(chan reply, 1)
	go func() { replies <- f.post() }()
	poll.WaitOn(t, f.held(1))
	restarted := &http.Server{Handler: http.HandlerFunc(ok)}
	listener := listenAt(t, address)
	go func() { _ = restarted.Serve(listener) }()
	t.Cleanup(func() { _ = restarted.Close() })
	(<-replies).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
}

// settled waits until the owner has accepted all connections of the router. One
// that waits in the backlog of a listener that closes could take a request with
// it, which then may have run.
func (f *fixture) settled(owner *agentServer) poll.Check {
	return func(poll.LogT) poll.Result {
		pools := f.router.view.Load().peers
		keyed, balanced := pools[1].pool.Stats(), pools[101].pool.Stats()
		open := keyed.Open + balanced.Open
		if keyed.Dialling+balanced.Dialling > 0 || open == 0 || owner.accepted.Load() != int64(open) {
			return poll.Continue("%d open, %d accepted", open, owner.accepted.Load())
		}
		return poll.Success()
	}
}

// The owner is frozen with requests in progress; then the table names another.
func TestFrozenOwnerIsLeftWhenAnotherIsNamed(t *testing.T) {
	thaw := make(chan struct{})
	frozen := newAgent(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-thaw
	})
	defer close(thaw)
	later := newAgent(t, ok)
	f := newFixture(t, func(c *Config) { c.SupersededGrace = time.Millisecond }, frozen, later)
	lookup, write := make(chan reply, 1), make(chan reply, 1)
	go func() { lookup <- f.get("/keyed/plans/a") }()
	go func() { write <- f.post() }()
	poll.WaitOn(t, arrived(frozen, 2))
	f.setShard(topology.ShardOwned, 2, 2)
	(<-lookup).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	(<-write).check(t, http.StatusGatewayTimeout, wire.OutcomeUnknown, wire.ReasonLeaseLost)
	assert.Equal(t, later.requests.Load(), int64(1), "the write must not run a second time")
}

// A split or a merge raises the epoch, but the owner stays and answers what it
// has begun.
func TestOwnerThatStaysIsWaitedForWhenTheEpochRises(t *testing.T) {
	goOn := make(chan struct{})
	answer := sync.OnceFunc(func() { close(goOn) })
	owner := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		<-goOn
		ok(w, r)
	})
	defer answer()
	f := newFixture(t, func(c *Config) { c.SupersededGrace = time.Millisecond }, owner)
	write := make(chan reply, 1)
	go func() { write <- f.post() }()
	poll.WaitOn(t, arrived(owner, 1))
	f.setShard(topology.ShardOwned, 1, 2)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		cancels := f.router.view.Load().peers[1].attempts.superseded(f.router.view.Load())
		if len(cancels) > 0 {
			return poll.Error(errSuperseded)
		}
		if f.router.view.Load().table.Revision() < f.table.Revision() {
			return poll.Continue("the table is not in force yet")
		}
		return poll.Success()
	})
	answer()
	(<-write).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// arrived waits until an agent got so many requests.
func arrived(agent *agentServer, count int64) poll.Check {
	return func(poll.LogT) poll.Result {
		if agent.requests.Load() >= count {
			return poll.Success()
		}
		return poll.Continue("%d requests arrived", agent.requests.Load())
	}
}

// A router that is cut off from the controllers must not go on by routing data
// that may have been replaced, not even for look-ups: a rule may have made them
// non-repeatable meanwhile. It serves again with the first proof.
func TestStaleRouterRefusesEverything(t *testing.T) {
	owner := newAgent(t, ok)
	f := newFixture(t, nil, owner)
	f.age.Store(int64(wire.StopRelyingAfter + 1))
	for _, got := range []reply{f.get("/keyed/plans/a"), f.post(), f.get("/balanced/plans"), f.send(http.MethodPut, "/keyed/plans/a", "x")} {
		got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonStale)
		assert.Equal(t, got.header.Get("Retry-After"), "2")
	}
	assert.ErrorIs(t, f.router.Ready(), ErrStale)
	assert.Equal(t, owner.requests.Load(), int64(0))
	f.age.Store(int64(wire.StopRelyingAfter))
	f.get("/keyed/plans/a").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.NilError(t, f.router.Ready())
}

// The table becomes stale while a request is on its way: its retry would rely
// on it.
func TestRequestIsNotSentAgainByAStaleTable(t *testing.T) {
	var f *fixture
	breaking := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		f.age.Store(int64(time.Minute))
		abort(w, r)
	})
	f = newFixture(t, nil, breaking)
	f.get("/keyed/plans/a").check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, breaking.requests.Load(), int64(1))
}

// A request that waits for an owner when the table becomes stale is answered
// then, and not at the end of the time that it could be held for.
func TestHeldRequestIsAnsweredWhenTheTableBecomesStale(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.HoldTimeout = time.Hour }, newAgent(t, ok))
	f.setShard(topology.ShardReleasing, 1, 1)
	replies := make(chan reply, 1)
	go func() { replies <- f.post(wire.HeaderDeadline, "3600000") }()
	poll.WaitOn(t, f.held(1))
	f.age.Store(int64(time.Minute))
	(<-replies).check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonStale)
}
