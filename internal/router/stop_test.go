package router

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Callers send continuously, each on its own connection, until a response has
// "Connection: close". Every request must be answered.
func TestPlannedStopAnswersEveryRequest(t *testing.T) {
	const callers = 16
	owner := newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		respondAnswered(w, "ok")
	})
	f := newFixture(t, func(c *Config) { c.DrainDelay = 50 * time.Millisecond }, owner)
	var served atomic.Int64
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			for {
				got := f.get("/keyed/plans/a")
				if !assert.Check(t, got.err == nil && got.outcome == wire.OutcomeAnswered, "%v %s %s", got.err, got.outcome, got.reason) {
					return
				}
				served.Add(1)
				if got.closes {
					return
				}
			}
		})
	}
	poll.WaitOn(t, receivedAtLeast(owner, 10*callers))
	f.stop()
	group.Wait()
	assert.NilError(t, <-f.stopped)
	f.stopped <- nil
	assert.Equal(t, owner.requests.Load(), served.Load())
}

// During a planned stop, responses have "Connection: close", and callers are
// served until they reconnect elsewhere.
func TestStoppingRouterClosesConnections(t *testing.T) {
	f := newFixture(t, nil, newFakeAgent(t, respondOK))
	f.get("/keyed/plans/a").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	f.router.admission.Begin(time.Now().Add(time.Hour))
	assert.ErrorIs(t, f.router.Ready(), ErrDraining)
	got := f.get("/keyed/plans/a")
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Assert(t, got.closes, "the response has no Connection: close")
	got = f.get("/nothing")
	got.check(t, http.StatusNotFound, wire.OutcomeNotRun, wire.ReasonNotFound)
	assert.Assert(t, got.closes)
}

// A response that is still being streamed and a held request both complete
// after the stop began.
func TestPlannedStopWaitsForSlowAndHeldRequests(t *testing.T) {
	unblock := make(chan struct{})
	owner := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		if !isBulk(r) {
			respondAnswered(w, "ok")
			return
		}
		respondAnswered(w, longBody)
		w.(http.Flusher).Flush()
		<-unblock
		respondAnswered(w, longBody)
	})
	f := newFixture(t, nil, owner)
	pack, edit := make(chan callerResponse, 1), make(chan callerResponse, 1)
	go func() { pack <- f.get("/keyed/packs/terminal-5") }()
	poll.WaitOn(t, receivedAtLeast(owner, 1))
	f.setShard(topology.ShardReleasing, 1, 1)
	go func() { edit <- f.post() }()
	poll.WaitOn(t, f.heldRequests(1))
	f.stop()
	poll.WaitOn(t, f.listenerClosed())
	f.setShard(topology.ShardOwned, 1, 2)
	(<-edit).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	close(unblock)
	got := <-pack
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Assert(t, got.body == longBody+longBody)
	assert.NilError(t, <-f.stopped)
	f.stopped <- nil
}

// A request whose deadline is after the end of the stop is rejected as not run.
// If it were accepted, it could be cut off while the owner works on it. A
// request that ends in time is served.
func TestPlannedStopRejectsRequestsThatMayOutlastIt(t *testing.T) {
	unblock := make(chan struct{})
	release := sync.OnceFunc(func() { close(unblock) })
	owner := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		if isBulk(r) {
			<-unblock
		}
		respondAnswered(w, "ok")
	})
	f := newFixture(t, func(c *Config) { c.DrainLimit = time.Minute }, owner)
	t.Cleanup(release) // also if the test fails early
	pack := make(chan callerResponse, 1)
	go func() { pack <- f.get("/keyed/packs/terminal-5") }()
	poll.WaitOn(t, receivedAtLeast(owner, 1))
	f.stop()
	poll.WaitOn(t, f.listenerClosed()) // the stop is in progress
	// Real callers send such requests before the router's listener closes, which a
	// test cannot arrange without a race. By now it is closed, so use a second
	// listener.
	late := httptest.NewServer(f.router.Handler())
	defer late.Close()
	f.url = late.URL
	got := f.get("/keyed/plans/a", wire.HeaderDeadline, "3600000")
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonDraining)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, got.closes)
	f.post(wire.HeaderDeadline, "3600000").check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonDraining)
	assert.Equal(t, owner.requests.Load(), int64(1))
	f.get("/keyed/plans/a", wire.HeaderDeadline, "20000").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	release()
	(<-pack).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.NilError(t, <-f.stopped)
	f.stopped <- nil
}

// listenerClosed waits until the router's listener is closed.
func (f *fixture) listenerClosed() poll.Check {
	return func(poll.LogT) poll.Result {
		fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := fresh.Get(f.url + "/nothing")
		if errors.Is(err, syscall.ECONNREFUSED) {
			return poll.Success()
		}
		if err == nil {
			_ = response.Body.Close()
		}
		return poll.Continue("the router still listens")
	}
}

// When DrainLimit has passed, the stop cuts off the remaining requests and
// reports their number.
func TestPlannedStopReportsRequestsCutOff(t *testing.T) {
	stuck := newFakeAgent(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFixture(t, func(c *Config) { c.DrainLimit = 20 * time.Millisecond }, stuck)
	cutOff := make(chan callerResponse, 1)
	go func() { cutOff <- f.get("/keyed/plans/a") }()
	poll.WaitOn(t, receivedAtLeast(stuck, 1))
	f.stop()
	err := <-f.stopped
	f.stopped <- err
	assert.ErrorIs(t, err, ErrCutOff)
	assert.ErrorContains(t, err, "1 in progress")
	assert.Assert(t, (<-cutOff).err != nil)
}

// A restarted router rejects requests as not run until it has a table. It then
// routes a repetition of an earlier request to the same shard, with the same
// id.
func TestRouterWithoutTableRejectsRequests(t *testing.T) {
	seen := make(chan http.Header, 2)
	owner := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		respondAnswered(w, "ok")
	})
	f := newFixture(t, nil, owner)
	id := newRequestID()
	f.post(wire.HeaderRequestID, id).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	before := <-seen

	f.router.view.Store(nil)
	got := f.post(wire.HeaderRequestID, id)
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonStale)
	assert.Equal(t, got.header.Get("Retry-After"), "2")
	assert.ErrorIs(t, f.router.Ready(), ErrNoTable)

	table, err := routing.FromSnapshot(newSnapshot([]*fakeAgent{owner}))
	assert.NilError(t, err)
	f.onTable(table)
	f.post(wire.HeaderRequestID, id).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	after := <-seen
	assert.Equal(t, after.Get(wire.HeaderRequestID), id)
	assert.Equal(t, after.Get(wire.HeaderShard), before.Get(wire.HeaderShard))
}

// When a caller disconnects, the request to the back end is cancelled.
func TestCallerCancellationReachesTheBackend(t *testing.T) {
	cancelled := make(chan struct{})
	owner := newFakeAgent(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	f := newFixture(t, nil, owner)
	ctx, disconnect := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/keyed/plans/a", nil)
	assert.NilError(t, err)
	received := make(chan callerResponse, 1)
	go func() { received <- f.do(request) }()
	poll.WaitOn(t, receivedAtLeast(owner, 1))
	disconnect()
	assert.ErrorIs(t, (<-received).err, context.Canceled)
	<-cancelled
	poll.WaitOn(t, f.idle())
}

// idle waits until the router has no request in progress.
func (f *fixture) idle() poll.Check {
	return func(poll.LogT) poll.Result {
		if received := f.router.inFlight.Load(); received != 0 {
			return poll.Continue("%d in progress", received)
		}
		return poll.Success()
	}
}
