package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// maximumAttempts bounds the back ends that one request not bound to an owner
// is sent to.
const maximumAttempts = 3

// forwarding is one request on its way: the retry loop's state.
type forwarding struct {
	router     *Router
	request    *request
	writer     http.ResponseWriter
	controller *http.ResponseController
	// ctx ends with the request's deadline or its caller.
	ctx context.Context

	// last is the latest attempt; nil before the first.
	last *attemptResult
	// mayHaveRun is the refusal of an attempt whose outcome is unknown.
	mayHaveRun *refusal
	// tried are the back ends of attempts not bound to an owner.
	tried []*peer
	// sameOwner counts pauses before the same owner is tried again; paused
	// says that such a pause has passed.
	sameOwner int
	paused    bool
	// holdUntil is when waiting for an owner ends; zero before the first wait.
	holdUntil time.Time
	// paid says that the next attempt's retry was already taken from the
	// budget.
	paid atomic.Bool
}

// run makes attempts until the request has its answer. Nothing is sent to the
// caller before the last attempt is known to be the last.
func (f *forwarding) run() *refusal {
	f.request.service.state.earnRetry()
	for {
		to, refused := f.nextTarget()
		if refused != nil {
			return refused
		}
		result := f.attempt(to)
		f.last = &result
		told := result.refusal
		if result.kind == attemptAnswered {
			if told = f.deliver(result); told == nil {
				return nil
			}
			result.kind, result.refusal = attemptUnknown, told
		}
		if told.outcome == wire.OutcomeUnknown {
			f.mayHaveRun = told
		}
		if !f.mayRetry(&result) {
			return f.final(told)
		}
	}
}

// final is the answer after the last attempt: a request that an earlier
// attempt may have run is not called not run.
func (f *forwarding) final(told *refusal) *refusal {
	if told.outcome == wire.OutcomeNotRun && f.mayHaveRun != nil {
		return f.mayHaveRun
	}
	return told
}

// mayRetry says whether the request may be sent again after an attempt. The
// cost and the pause are settled by nextTarget.
func (f *forwarding) mayRetry(result *attemptResult) bool {
	if f.ctx.Err() != nil || result.kind == attemptAbandoned || !f.request.body.replayable() {
		return false
	}
	if result.refusal.outcome == wire.OutcomeUnknown {
		return f.request.resendable && reachesAnother(result.refusal.reason)
	}
	return retryableRefusal(result.refusal.reason, f.request.keyed)
}

// reachesAnother says whether a request of unknown outcome could fare better
// elsewhere.
func reachesAnother(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonInterrupted, wire.ReasonTruncated, wire.ReasonTimedOut, wire.ReasonLeaseLost:
		return true
	}
	return false
}

// retryableRefusal says whether a request that was not run could be taken by
// another owner, or, where it is not bound to one, by another back end.
func retryableRefusal(reason wire.Reason, keyed bool) bool {
	switch reason {
	case wire.ReasonWrongEpoch, wire.ReasonNoLease, wire.ReasonDraining, wire.ReasonUnreachable, wire.ReasonNoOwner:
		return true
	case wire.ReasonShed, wire.ReasonOverLimit:
		return !keyed
	}
	return false
}

// mayHedge says whether an attempt may be ended early in favour of another
// back end.
func (f *forwarding) mayHedge() bool {
	q := f.request
	return q.resendable && q.class == topology.ClassLookup &&
		len(f.tried) < min(maximumAttempts, len(q.service.balanced)) && q.body.replayable()
}
