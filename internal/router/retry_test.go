package router

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

func TestNonRepeatableRequestIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	owner := newFakeAgent(t, abortConnection)
	f := newFixture(t, nil, owner)
	f.post().check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// The caller's header makes a request non-repeatable that the rule would allow
// to be retried.
func TestHeaderMakesRequestNonRepeatable(t *testing.T) {
	owner := newFakeAgent(t, abortConnection)
	f := newFixture(t, nil, owner)
	got := f.get("/keyed/plans/a", wire.HeaderNonRepeatable, "true", "Idempotency-Key", newRequestID())
	got.check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// The caller's header cannot override a rule that makes requests
// non-repeatable.
func TestRuleMakesRequestNonRepeatable(t *testing.T) {
	owner := newFakeAgent(t, abortConnection)
	f := newFixture(t, nil, owner)
	f.post(wire.HeaderNonRepeatable, "false").check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, owner.requests.Load(), int64(1))
}

func TestNonRepeatableRequestRequiresID(t *testing.T) {
	owner := newFakeAgent(t, respondOK)
	f := newFixture(t, nil, owner)
	f.send(http.MethodPost, "/keyed/closures/a", "x").check(t, http.StatusBadRequest, wire.OutcomeNotRun, wire.ReasonInvalid)
	f.post(wire.HeaderRequestID, "7").check(t, http.StatusBadRequest, wire.OutcomeNotRun, wire.ReasonInvalid)
	assert.Equal(t, owner.requests.Load(), int64(0))
}

// A non-repeatable request without a key is routed by its id, so that a
// repetition reaches the back end that has recorded the id.
func TestUnkeyedNonRepeatableRequestsWithSameIDReachSameBackend(t *testing.T) {
	agents := []*fakeAgent{newFakeAgent(t, respondOK), newFakeAgent(t, respondOK), newFakeAgent(t, respondOK)}
	f := newFixture(t, nil, agents...)
	id := newRequestID()
	for range 10 {
		got := f.send(http.MethodPost, "/balanced/settle", "", wire.HeaderNonRepeatable, "true", wire.HeaderRequestID, id)
		got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
	for _, agent := range agents {
		count := agent.requests.Load()
		assert.Assert(t, count == 0 || count == 10, "%d requests", count)
	}
}

func TestIdempotentRequestIsRetriedAtAnotherBackend(t *testing.T) {
	failing, working := newFakeAgent(t, abortConnection), newFakeAgent(t, respondOK)
	f := newFixture(t, func(c *Config) { c.RetryBurst = 100 }, failing, working)
	for range 20 {
		f.get("/balanced/plans").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}

// POST is not idempotent. Without a matching rule, it is retried only with
// proof that it was not run.
func TestPostWithoutRuleIsRetriedOnlyWhenNotRun(t *testing.T) {
	failing := newFakeAgent(t, abortConnection)
	f := newFixture(t, nil, failing)
	f.send(http.MethodPost, "/balanced/plans", "x").check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, failing.requests.Load(), int64(1))

	rejecting := newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		respondError(w, wire.OutcomeNotRun, wire.ReasonShed, http.StatusServiceUnavailable)
	})
	f = newFixture(t, nil, rejecting, newFakeAgent(t, respondOK))
	for range 10 {
		f.send(http.MethodPost, "/balanced/plans", "x").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	failing, alsoFailing := newFakeAgent(t, abortConnection), newFakeAgent(t, abortConnection)
	f := newFixture(t, func(c *Config) { c.RetryShare = 0.1; c.RetryBurst = 5 }, failing, alsoFailing)
	const requests = 100
	for range requests {
		f.get("/balanced/plans").check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	}
	sent := failing.requests.Load() + alsoFailing.requests.Load()
	assert.Assert(t, sent <= requests+requests/10+5, "%d attempts for %d requests", sent, requests)
	assert.Assert(t, sent >= requests+requests/10, "%d attempts for %d requests", sent, requests)
}

// A retry at an owner that sheds load would add to its overload.
func TestShedKeyedRequestIsNotRetried(t *testing.T) {
	owner := newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "7")
		respondError(w, wire.OutcomeNotRun, wire.ReasonShed, http.StatusServiceUnavailable)
	})
	f := newFixture(t, nil, owner)
	got := f.get("/keyed/plans/a")
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
	assert.Equal(t, got.header.Get("Retry-After"), "7")
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// The first attempt may have run. A later not-run response must not hide that.
func TestUnknownOutcomeTakesPrecedenceOverLaterNotRun(t *testing.T) {
	first := true
	owner := newFakeAgent(t, func(w http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			abortConnection(w, r)
		}
		respondError(w, wire.OutcomeNotRun, wire.ReasonShed, http.StatusServiceUnavailable)
	})
	f := newFixture(t, nil, owner)
	f.get("/keyed/plans/a").check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, owner.requests.Load(), int64(2))
}

func TestResponseWithoutOutcomeHeaderIsUnknownOutcome(t *testing.T) {
	owner := newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	f := newFixture(t, nil, owner)
	f.post().check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
}

// If a back end does not answer a lookup, another one is tried.
func TestUnansweredLookupIsRetriedAtAnotherBackend(t *testing.T) {
	unresponsive := newFakeAgent(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFixture(t, func(c *Config) { c.AttemptTimeout = 10 * time.Millisecond }, unresponsive, newFakeAgent(t, respondOK))
	for range 10 {
		f.get("/balanced/plans").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}

func TestDeadlineCancelsTheAttemptAndReachesTheBackend(t *testing.T) {
	cancelled := make(chan struct{})
	owner := newFakeAgent(t, func(_ http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get(wire.HeaderDeadline))
		assert.Check(t, err == nil && left <= 30, "deadline %q", r.Header.Get(wire.HeaderDeadline))
		<-r.Context().Done()
		close(cancelled)
	})
	f := newFixture(t, nil, owner)
	f.get("/keyed/plans/a", wire.HeaderDeadline, "30").check(t, http.StatusGatewayTimeout, wire.OutcomeUnknown, wire.ReasonTimedOut)
	<-cancelled
}

// A back end that fails quickly has few requests in flight, but must not get
// more load for that.
func TestFailingBackendDoesNotAttractLoad(t *testing.T) {
	failing := newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
		w.WriteHeader(http.StatusInternalServerError)
	})
	working := newFakeAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		respondAnswered(w, "ok")
	})
	f := newFixture(t, nil, failing, working)
	const requests = 100
	for range requests {
		f.get("/balanced/plans")
	}
	// Both draws choose the failing back end in a quarter of the cases.
	assert.Assert(t, failing.requests.Load() < requests/2, "the failing back end got %d of %d requests", failing.requests.Load(), requests)
}

func TestLowerCostPrefersSameZoneAtEqualCost(t *testing.T) {
	near, far := &endpoint{sameZone: true}, &endpoint{}
	assert.Assert(t, lowerCost(near, far, 0) == near)
	assert.Assert(t, lowerCost(far, near, 0) == near)
	near.inFlight.Store(4)
	assert.Assert(t, lowerCost(near, far, 0) == far)
}

// The estimate after a failure decays, so that the back end is tried again.
func TestPeakEWMADecays(t *testing.T) {
	var seen peakEWMA
	seen.observe(0, 10*time.Second)
	assert.Assert(t, seen.estimate(0) >= 10)
	assert.Assert(t, seen.estimate(time.Minute+10*time.Second) < 0.01)
}

func TestObservationsAreSentToController(t *testing.T) {
	f := newFixture(t, nil, newFakeAgent(t, abortConnection))
	f.post()
	f.router.sendObservations()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	assert.Equal(t, len(f.sent), 1)
	assert.DeepEqual(t, f.sent[0].RouterLoad.Observed, []wire.ObservedBackend{{Backend: topology.BackendID(1), Failed: 1}})
}
