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

func TestNonRepeatableRequestOfUnknownOutcomeIsNotSentAgain(t *testing.T) {
	owner := newAgent(t, abort)
	f := newFixture(t, nil, owner)
	f.post().check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// The caller's mark makes non-repeatable what the rule would repeat.
func TestCallersMarkSuffices(t *testing.T) {
	owner := newAgent(t, abort)
	f := newFixture(t, nil, owner)
	got := f.get("/keyed/plans/a", wire.HeaderNonRepeatable, "true", "Idempotency-Key", newID())
	got.check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// The rule makes non-repeatable what the caller says is repeatable.
func TestRuleSuffices(t *testing.T) {
	owner := newAgent(t, abort)
	f := newFixture(t, nil, owner)
	f.post(wire.HeaderNonRepeatable, "false").check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, owner.requests.Load(), int64(1))
}

func TestNonRepeatableRequestNeedsAnID(t *testing.T) {
	owner := newAgent(t, ok)
	f := newFixture(t, nil, owner)
	f.send(http.MethodPost, "/keyed/closures/a", "x").check(t, http.StatusBadRequest, wire.OutcomeNotRun, wire.ReasonInvalid)
	f.post(wire.HeaderRequestID, "7").check(t, http.StatusBadRequest, wire.OutcomeNotRun, wire.ReasonInvalid)
	assert.Equal(t, owner.requests.Load(), int64(0))
}

// Without a key, the request id leads all resends to the same record of ids.
func TestResendsOfAnUnkeyedWriteReachTheSameBackend(t *testing.T) {
	agents := []*agentServer{newAgent(t, ok), newAgent(t, ok), newAgent(t, ok)}
	f := newFixture(t, nil, agents...)
	id := newID()
	for range 10 {
		got := f.send(http.MethodPost, "/balanced/settle", "", wire.HeaderNonRepeatable, "true", wire.HeaderRequestID, id)
		got.check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
	for _, agent := range agents {
		count := agent.requests.Load()
		assert.Assert(t, count == 0 || count == 10, "%d requests", count)
	}
}

func TestRepeatableRequestIsSentToAnotherBackend(t *testing.T) {
	failing, working := newAgent(t, abort), newAgent(t, ok)
	f := newFixture(t, func(c *Config) { c.RetryBurst = 100 }, failing, working)
	for range 20 {
		f.get("/balanced/plans").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}

// A POST that no rule calls repeatable is sent again only with proof.
func TestUnclassifiedPostIsSentAgainOnlyWithProof(t *testing.T) {
	failing := newAgent(t, abort)
	f := newFixture(t, nil, failing)
	f.send(http.MethodPost, "/balanced/plans", "x").check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, failing.requests.Load(), int64(1))

	refusing := newAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		refusedBy(w, wire.OutcomeNotRun, wire.ReasonShed, http.StatusServiceUnavailable)
	})
	f = newFixture(t, nil, refusing, newAgent(t, ok))
	for range 10 {
		f.send(http.MethodPost, "/balanced/plans", "x").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}

func TestRetriesStayWithinTheBudget(t *testing.T) {
	failing, other := newAgent(t, abort), newAgent(t, abort)
	f := newFixture(t, func(c *Config) { c.RetryShare = 0.1; c.RetryBurst = 5 }, failing, other)
	const requests = 100
	for range requests {
		f.get("/balanced/plans").check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	}
	sent := failing.requests.Load() + other.requests.Load()
	assert.Assert(t, sent <= requests+requests/10+5, "%d attempts for %d requests", sent, requests)
	assert.Assert(t, sent >= requests+requests/10, "%d attempts for %d requests", sent, requests)
}

// The owner sheds: asking it again at once would add to its overload.
func TestShedKeyedRequestIsAnsweredAtOnce(t *testing.T) {
	owner := newAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "7")
		refusedBy(w, wire.OutcomeNotRun, wire.ReasonShed, http.StatusServiceUnavailable)
	})
	f := newFixture(t, nil, owner)
	got := f.get("/keyed/plans/a")
	got.check(t, http.StatusServiceUnavailable, wire.OutcomeNotRun, wire.ReasonShed)
	assert.Equal(t, got.header.Get("Retry-After"), "7")
	assert.Equal(t, owner.requests.Load(), int64(1))
}

// An earlier attempt may have run; a later refusal must not hide that.
func TestRequestThatMayHaveRunIsNotCalledNotRun(t *testing.T) {
	first := true
	owner := newAgent(t, func(w http.ResponseWriter, r *http.Request) {
		if first {
			first = false
			abort(w, r)
		}
		refusedBy(w, wire.OutcomeNotRun, wire.ReasonShed, http.StatusServiceUnavailable)
	})
	f := newFixture(t, nil, owner)
	f.get("/keyed/plans/a").check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
	assert.Equal(t, owner.requests.Load(), int64(2))
}

func TestAnswerWithoutOutcomeProvesNothing(t *testing.T) {
	owner := newAgent(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	f := newFixture(t, nil, owner)
	f.post().check(t, http.StatusBadGateway, wire.OutcomeUnknown, wire.ReasonInterrupted)
}

// A back end that swallows requests is left for another one.
func TestSwallowedLookupIsSentToAnotherBackend(t *testing.T) {
	swallowing := newAgent(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	f := newFixture(t, func(c *Config) { c.AttemptTimeout = 10 * time.Millisecond }, swallowing, newAgent(t, ok))
	for range 10 {
		f.get("/balanced/plans").check(t, http.StatusOK, wire.OutcomeAnswered, noReason)
	}
}

func TestDeadlineEndsTheAttemptAndReachesTheBackend(t *testing.T) {
	cancelled := make(chan struct{})
	owner := newAgent(t, func(_ http.ResponseWriter, r *http.Request) {
		left, err := strconv.Atoi(r.Header.Get(wire.HeaderDeadline))
		assert.Check(t, err == nil && left <= 30, "deadline %q", r.Header.Get(wire.HeaderDeadline))
		<-r.Context().Done()
		close(cancelled)
	})
	f := newFixture(t, nil, owner)
	f.get("/keyed/plans/a", wire.HeaderDeadline, "30").check(t, http.StatusGatewayTimeout, wire.OutcomeUnknown, wire.ReasonTimedOut)
	<-cancelled
}

// A back end that fails fast looks idle; it must get little of the load.
func TestFailingBackendDoesNotAttractLoad(t *testing.T) {
	failing := newAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(wire.HeaderOutcome, string(wire.OutcomeAnswered))
		w.WriteHeader(http.StatusInternalServerError)
	})
	working := newAgent(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Millisecond)
		answered(w, "ok")
	})
	f := newFixture(t, nil, failing, working)
	const requests = 100
	for range requests {
		f.get("/balanced/plans")
	}
	// Two draws of the same back end happen in a quarter of the cases.
	assert.Assert(t, failing.requests.Load() < requests/2, "the failing one got %d of %d", failing.requests.Load(), requests)
}

func TestCheaperPrefersTheNearPeerAtEqualCost(t *testing.T) {
	near, far := &peer{near: true}, &peer{}
	assert.Assert(t, cheaper(near, far, 0) == near)
	assert.Assert(t, cheaper(far, near, 0) == near)
	near.running.Store(4)
	assert.Assert(t, cheaper(near, far, 0) == far)
}

// A back end that failed is tried again after a while.
func TestObservationFades(t *testing.T) {
	var seen observation
	seen.add(0, 10*time.Second)
	assert.Assert(t, seen.read(0) >= 10)
	assert.Assert(t, seen.read(time.Minute+10*time.Second) < 0.01)
}

func TestReportNamesWhatRequestsShowed(t *testing.T) {
	f := newFixture(t, nil, newAgent(t, abort))
	f.post()
	f.router.sendLoad()
	f.mutex.Lock()
	defer f.mutex.Unlock()
	assert.Equal(t, len(f.sent), 1)
	assert.DeepEqual(t, f.sent[0].RouterLoad.Observed, []wire.ObservedBackend{{Backend: topology.BackendID(1), Failed: 1}})
}
