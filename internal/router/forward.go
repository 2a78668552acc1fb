package router

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// maximumAttempts limits the back ends that a request without a key is sent to.
const maximumAttempts = 3

// forwarder forwards one request; it holds the state of the retry loop.
type forwarder struct {
	router     *Router
	request    *request
	writer     http.ResponseWriter
	controller *http.ResponseController
	// ctx ends at the request's deadline or when its caller disconnects.
	ctx context.Context

	// lastAttempt is nil before the first attempt.
	lastAttempt *attemptResult
	// unknownOutcome is the error response of the latest attempt that may have
	// run the request; nil if there is none.
	unknownOutcome *errorResponse
	// tried lists the back ends that a request without a key was sent to.
	tried []*endpoint
	// sameOwnerRetries counts the pauses before retries at the same owner;
	// sameOwnerPaused is set once such a pause was begun and not yet used by a
	// retry.
	sameOwnerRetries int
	sameOwnerPaused  bool
	// holdDeadline is when waiting for an owner ends; zero before the first wait.
	holdDeadline time.Time
	// retryPrepaid is set if the next retry was already taken from the retry
	// budget.
	retryPrepaid atomic.Bool
}

// run makes attempts until one succeeds or no retry is allowed. Nothing is sent
// to the caller while another attempt is still possible.
func (f *forwarder) run() *errorResponse {
	f.request.service.state.earnRetry()
	for {
		to, targetErr := f.nextTarget()
		if targetErr != nil {
			return targetErr
		}
		result := f.attempt(to)
		f.lastAttempt = &result
		errResp := result.errResp
		if result.kind == attemptAnswered {
			if errResp = f.relayResponse(result); errResp == nil {
				return nil
			}
			result.kind, result.errResp = attemptUnknown, errResp
		}
		if errResp.outcome == wire.OutcomeUnknown {
			f.unknownOutcome = errResp
		}
		if !f.mayRetry(&result) {
			return f.finalError(errResp)
		}
	}
}

// finalError returns the error response after the last attempt. If an earlier
// attempt may have run the request, it does not state not-run.
func (f *forwarder) finalError(errResp *errorResponse) *errorResponse {
	if errResp.outcome == wire.OutcomeNotRun && f.unknownOutcome != nil {
		return f.unknownOutcome
	}
	return errResp
}

// mayRetry reports whether the request may be sent again after an attempt.
// nextTarget charges the retry budget and waits before the retry.
func (f *forwarder) mayRetry(result *attemptResult) bool {
	if f.ctx.Err() != nil || result.kind == attemptAbandoned || !f.request.body.replayable() {
		return false
	}
	if result.errResp.outcome == wire.OutcomeUnknown {
		return f.request.idempotent && retryableUnknownReason(result.errResp.reason)
	}
	return retryableNotRunReason(result.errResp.reason, f.request.keyed)
}

// retryableUnknownReason reports whether a request with an unknown outcome may
// succeed at another back end.
func retryableUnknownReason(reason wire.Reason) bool {
	switch reason {
	case wire.ReasonInterrupted, wire.ReasonTruncated, wire.ReasonTimedOut, wire.ReasonLeaseLost:
		return true
	}
	return false
}

// retryableNotRunReason reports whether a request that was not run may be
// accepted by another owner or, without a key, by another back end.
func retryableNotRunReason(reason wire.Reason, keyed bool) bool {
	switch reason {
	case wire.ReasonWrongEpoch, wire.ReasonNoLease, wire.ReasonDraining, wire.ReasonUnreachable, wire.ReasonNoOwner:
		return true
	case wire.ReasonShed, wire.ReasonOverLimit:
		return !keyed
	}
	return false
}

// mayCancelSlowAttempt reports whether an unanswered attempt may be cancelled
// to try another back end.
func (f *forwarder) mayCancelSlowAttempt() bool {
	q := f.request
	return q.idempotent && q.class == topology.ClassLookup &&
		len(f.tried) < min(maximumAttempts, len(q.service.balanced)) && q.body.replayable()
}
