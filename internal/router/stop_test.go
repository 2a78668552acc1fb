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

// Callers send without a pause, each on its own connection, until an answer
// tells them to go elsewhere. Each request is answered.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	const callers = 16
	owner := newAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(5 * time.Millisecond)
		answered(w, "ok")
	})
	f := newFixture(t, func(c *Config) { c.DrainDelay = 50 * time.Millisecond }, owner)
	var served atomic.Int64
	var all sync.WaitGroup
	for range callers {
		all.Go(func() {
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
	poll.WaitOn(t, arrived(owner, 10*callers))
	f.stop()
	all.Wait()
	assert.NilError(t, <-f.stopped)
	f.stopped <- nil
	assert.Equal(t, owner.requests.Load(), served.Load())
}

// During a planned stop callers learn that they should go elsewhere, and are
// served until they do.
func TestStoppingRouterSaysSo(t *testing.T) {
	f := newFixture(t, nil, newAgent(t, ok))
	f.get("/keyed/plans/a").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	f.router.admission.Begin(time.Now().Add(time.Hour))
	assert.ErrorIs(t, f.router.Ready(), ErrDraining)
	got := f.get("/keyed/plans/a")
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Assert(t, got.closes, "the connection ends with this answer")
	got = f.get("/nothing")
	got.check(t, http.StatusNotFound, wire.OutcomeNotRun, wire.ReasonNotFound)
	assert.Assert(t, got.closes)
}

// A map pack that is still being sent, and a request that waits for its owner,
// both end whole after the stop began.
func TestPlannedStopWaitsForSlowAndHeldRequests(t *testing.T) {
	thaw := make(chan struct{})
	owner := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		if !isBulk(r) {
			answered(w, "ok")
			return
		}
		answered(w, long)
		w.(http.Flusher).Flush()
		<-thaw
		answered(w, long)
	})
	f := newFixture(t, nil, owner)
	pack, edit := make(chan reply, 1), make(chan reply, 1)
	go func() { pack <- f.get("/keyed/packs/terminal-5") }()
	poll.WaitOn(t, arrived(owner, 1))
	f.setShard(topology.ShardReleasing, 1, 1)
	go func() { edit <- f.post() }()
	poll.WaitOn(t, f.held(1))
	f.stop()
	poll.WaitOn(t, f.refusesConnections())
	f.setShard(topology.ShardOwned, 1, 2)
	(<-edit).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	close(thaw)
	got := <-pack
	got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	assert.Assert(t, got.body == long+long)
	assert.NilError(t, <-f.stopped)
	f.stopped <- nil
}

// A planned stop takes nothing that may outlast it: the caller is told so, with
// proof, in place of being cut off while the owner works. What ends in time is
// served on.
func TestPlannedStopTakesNothingThatMayOutlastIt(t *testing.T) {
	thaw := make(chan struct{})
	release := sync.OnceFunc(func() { close(thaw) })
	owner := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		if isBulk(r) {
			<-thaw
		}
		answered(w, "ok")
	})
	f := newFixture(t, func(c *Config) { c.DrainLimit = time.Minute }, owner)
	t.Cleanup(release) // also where the test fails before its end
	pack := make(chan reply, 1)
	go func() { pack <- f.get("/keyed/packs/terminal-5") }()
	poll.WaitOn(t, arrived(owner, 1))
	f.stop()
	poll.WaitOn(t, f.refusesConnections()) // the stop has begun and goes on
	// A second listener for the handler, as the router's own is closed by now:
	// callers come before it is, which a test can't arrange without a race.
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

// refusesConnections waits until the router listens no more.
func (f *fixture) refusesConnections() poll.Check {
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

// Past the operator's limit a stop is not planned any more: it says how many
// requests it cut off.
func TestPlannedStopReportsWhatItCutsOff(t *testing.T) {
	stuck := newAgent(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFixture(t, func(c *Config) { c.DrainLimit = 20 * time.Millisecond }, stuck)
	cutOff := make(chan reply, 1)
	go func() { cutOff <- f.get("/keyed/plans/a") }()
	poll.WaitOn(t, arrived(stuck, 1))
	f.stop()
	err := <-f.stopped
	f.stopped <- err
	assert.ErrorIs(t, err, ErrCutOff)
	assert.ErrorContains(t, err, "1 in progress")
	assert.Assert(t, (<-cutOff).err != nil)
}

// A router that starts again knows nothing: it refuses with proof until it has
// a table, and then sends a caller's resend to the same record of ids with the
// same id.
func TestRestartedRouterWaitsForATable(t *testing.T) {
	seen := make(chan http.Header, 2)
	owner := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header
		answered(w, "ok")
	})
	f := newFixture(t, nil, owner)
	id := newID()
	f.post(wire.HeaderRequestID, id).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	before := <-seen

	f.router.view.Store(nil)
	got := f.post(wire.HeaderRequestID, id)
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonStale)
	assert.Equal(t, got.header.Get("Retry-After"), "2")
	assert.ErrorIs(t, f.router.Ready(), ErrNoTable)

	table, err := routing.FromSnapshot(snapshotOf([]*agentServer{owner}))
	assert.NilError(t, err)
	f.onTable(table)
	f.post(wire.HeaderRequestID, id).check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	after := <-seen
	assert.Equal(t, after.Get(wire.HeaderRequestID), id)
	assert.Equal(t, after.Get(wire.HeaderShard), before.Get(wire.HeaderShard))
}

// A caller that goes away is not worked for any longer.
func TestCancellationReachesTheBackend(t *testing.T) {
	cancelled := make(chan struct{})
	owner := newAgent(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	f := newFixture(t, nil, owner)
	ctx, leave := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/keyed/plans/a", nil)
	assert.NilError(t, err)
	left := make(chan reply, 1)
	go func() { left <- f.do(request) }()
	poll.WaitOn(t, arrived(owner, 1))
	leave()
	assert.ErrorIs(t, (<-left).err, context.Canceled)
	<-cancelled
	poll.WaitOn(t, f.idle())
}

// idle waits until the router has no request in progress.
func (f *fixture) idle() poll.Check {
	return func(poll.LogT) poll.Result {
		if left := f.router.inFlight.Load(); left != 0 {
			return poll.Continue("%d in progress", left)
		}
		return poll.Success()
	}
}
