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

// occupy sends requests to a busy agent and waits until it holds at least so
// many of them. The function that is returned lets them end and gives what
// their callers saw.
func (f *fixture) occupy(busy *agentServer, thaw chan struct{}, count int, held int64, send func() reply) func() []reply {
	f.t.Helper()
	replies := make([]reply, count)
	var all sync.WaitGroup
	for i := range count {
		all.Go(func() { replies[i] = send() })
	}
	release := sync.OnceFunc(func() { close(thaw) })
	f.t.Cleanup(release)
	poll.WaitOn(f.t, arrived(busy, held))
	return func() []reply {
		release()
		all.Wait()
		return replies
	}
}

// slowFor holds requests whose class or method is slow until it is thawed.
func slowFor(thaw chan struct{}, slow func(*http.Request) bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if slow(r) {
			<-thaw
		}
		answered(w, "ok")
	}
}

func isBulk(r *http.Request) bool { return r.Header.Get(wire.HeaderClass) == "bulk" }

// Slow map packs wait for slots of the back end; they must not take every
// connection to it.
func TestBulkLeavesConnectionsToLookups(t *testing.T) {
	thaw := make(chan struct{})
	owner := newAgent(t, slowFor(thaw, isBulk))
	f := newFixture(t, func(c *Config) { c.AgentConnections = 10 }, owner)
	finish := f.occupy(owner, thaw, 40, 5, func() reply { return f.get("/keyed/packs/terminal-5") })
	f.get("/keyed/plans/a", wire.HeaderDeadline, "2000").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	for _, pack := range finish() {
		pack.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}

// A crowd of look-ups must not keep a settlement from its back end.
func TestLookupsLeaveConnectionsToWrites(t *testing.T) {
	thaw := make(chan struct{})
	owner := newAgent(t, slowFor(thaw, func(r *http.Request) bool { return r.Method == http.MethodGet }))
	f := newFixture(t, func(c *Config) { c.AgentConnections = 10 }, owner)
	finish := f.occupy(owner, thaw, 40, 5, func() reply { return f.get("/keyed/plans/a") })
	f.post(wire.HeaderDeadline, "2000").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	for _, plan := range finish() {
		plan.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}

// The queue before a back end is bounded; what does not fit is answered at
// once, with the time to come back, and never reached the back end.
func TestFullQueueBeforeABackendShedsAtOnce(t *testing.T) {
	const connections, sent = 2, 60
	thaw := make(chan struct{})
	owner := newAgent(t, slowFor(thaw, func(*http.Request) bool { return true }))
	f := newFixture(t, func(c *Config) { c.AgentConnections = connections }, owner)
	shed := make(chan reply, sent)
	finish := f.occupy(owner, thaw, sent, connections, func() reply {
		got := f.get("/keyed/plans/a")
		if got.reason == wire.ReasonShed {
			shed <- got
		}
		return got
	})
	for range sent - connections - connections*queuedPerConnection {
		var got reply
		select {
		case got = <-shed:
		case <-time.After(10 * time.Second):
			t.Fatal("the queue takes more than its limit")
		}
		got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
		assert.Assert(t, got.header.Get("Retry-After") != "")
	}
	finish()
	assert.Equal(t, owner.requests.Load(), int64(connections+connections*queuedPerConnection))
}

// A request whose deadline cannot be met is answered when that is known.
func TestQueueBeforeABackendShedsByDeadline(t *testing.T) {
	thaw := make(chan struct{})
	owner := newAgent(t, slowFor(thaw, func(*http.Request) bool { return true }))
	f := newFixture(t, func(c *Config) { c.AgentConnections = 1 }, owner)
	finish := f.occupy(owner, thaw, 6, 1, func() reply { return f.get("/keyed/plans/a") })
	f.get("/keyed/plans/a", wire.HeaderDeadline, "10").check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
	finish()
	assert.Equal(t, owner.requests.Load(), int64(6))
}

func TestSlowServiceLeavesRoomForOthers(t *testing.T) {
	thaw := make(chan struct{})
	slow := newAgent(t, slowFor(thaw, func(r *http.Request) bool { return r.Header.Get(wire.HeaderShard) != "" }))
	f := newFixture(t, func(c *Config) { c.MaximumInFlight = 8; c.ServiceShare = 0.5 }, slow)
	finish := f.occupy(slow, thaw, 4, 4, func() reply { return f.get("/keyed/plans/a") })
	got := f.get("/keyed/plans/a")
	got.check(t, http.StatusTooManyRequests, wire.OutcomeNotRun, wire.ReasonOverLimit)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
	f.get("/balanced/plans").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	finish()
}

func TestRouterOverItsLimitSheds(t *testing.T) {
	thaw := make(chan struct{})
	slow := newAgent(t, slowFor(thaw, func(*http.Request) bool { return true }))
	f := newFixture(t, func(c *Config) { c.MaximumInFlight = 2; c.ServiceShare = 1 }, slow)
	finish := f.occupy(slow, thaw, 2, 2, func() reply { return f.get("/keyed/plans/a") })
	got := f.get("/balanced/plans")
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
	assert.Equal(t, got.header.Get("Retry-After"), "1")
	finish()
	f.get("/balanced/plans").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
}

// Requests that wait before a frozen owner go to the next one, also those that
// are non-repeatable: they were not sent.
func TestQueuedRequestsGoToTheNextOwner(t *testing.T) {
	thaw := make(chan struct{})
	frozen := newAgent(t, slowFor(thaw, func(*http.Request) bool { return true }))
	later := newAgent(t, ok)
	f := newFixture(t, func(c *Config) { c.AgentConnections = 1; c.SupersededGrace = time.Millisecond }, frozen, later)
	finish := f.occupy(frozen, thaw, 1, 1, func() reply { return f.get("/keyed/plans/a") })
	waiting := make(chan reply, 1)
	go func() { waiting <- f.post() }()
	poll.WaitOn(t, f.queuedBefore(1, 1))
	f.setShard(topology.ShardOwned, 2, 2)
	(<-waiting).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	finish()
	assert.Equal(t, frozen.requests.Load(), int64(1))
}

// The table becomes stale while a request waits for a connection.
func TestQueuedRequestIsNotSentByAStaleTable(t *testing.T) {
	thaw := make(chan struct{})
	owner := newAgent(t, slowFor(thaw, func(*http.Request) bool { return true }))
	f := newFixture(t, func(c *Config) { c.AgentConnections = 1 }, owner)
	finish := f.occupy(owner, thaw, 1, 1, func() reply { return f.get("/keyed/plans/a") })
	waiting := make(chan reply, 1)
	go func() { waiting <- f.get("/keyed/plans/a") }()
	poll.WaitOn(t, f.queuedBefore(1, 1))
	f.age.Store(int64(time.Minute))
	finish()
	(<-waiting).check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonStale)
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// queuedBefore waits until so many requests wait for a connection to a back
// end.
func (f *fixture) queuedBefore(backend topology.BackendID, count int) poll.Check {
	return func(poll.LogT) poll.Result {
		if waiting := f.router.view.Load().peers[backend].gate.Waiting(); waiting != count {
			return poll.Continue("%d requests wait", waiting)
		}
		return poll.Success()
	}
}

// The caller that gave up is told nothing, but its place is given back.
func TestCallerThatLeavesFreesItsPlace(t *testing.T) {
	thaw := make(chan struct{})
	owner := newAgent(t, slowFor(thaw, func(*http.Request) bool { return true }))
	f := newFixture(t, func(c *Config) { c.AgentConnections = 1 }, owner)
	finish := f.occupy(owner, thaw, 1, 1, func() reply { return f.get("/keyed/plans/a") })
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/keyed/plans/a", nil)
	assert.NilError(t, err)
	left := make(chan reply, 1)
	go func() { left <- f.do(request) }()
	poll.WaitOn(t, f.queuedBefore(1, 1))
	leave()
	assert.ErrorIs(t, (<-left).err, context.Canceled)
	poll.WaitOn(t, f.queuedBefore(1, 0))
	finish()
	assert.Equal(t, owner.requests.Load(), int64(1), "the one that left was never sent")
}

func TestRefusalsCarryTheirStatus(t *testing.T) {
	f := newFixture(t, func(c *Config) { c.MaximumBodyBytes = 100 }, newAgent(t, ok))
	f.get("/nothing/here").check(t, http.StatusNotFound, wire.OutcomeNotRun, wire.ReasonNotFound)
	f.get("/keyed/").check(t, http.StatusBadRequest, wire.OutcomeNotRun, wire.ReasonInvalid)
	f.get("/keyed/plans/a", wire.HeaderDeadline, "soon").check(t, http.StatusBadRequest, wire.OutcomeNotRun, wire.ReasonInvalid)
	f.get("/keyed/plans/a", wire.HeaderNonRepeatable, "yes").check(t, http.StatusBadRequest, wire.OutcomeNotRun, wire.ReasonInvalid)
	tooLong := fmt.Sprintf("%0101d", 1)
	f.send(http.MethodPut, "/keyed/plans/a", tooLong).check(t, http.StatusRequestEntityTooLarge, wire.OutcomeNotRun, wire.ReasonTooLarge)
}
