package router

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// errorResponse is a response that the router generates itself: the request was
// not run, or its outcome is unknown.
type errorResponse struct {
	outcome wire.Outcome
	reason  wire.Reason
	// retryAfter is the value of Retry-After; zero omits the header.
	retryAfter time.Duration
	detail     string
}

// Error implements error.
func (r *errorResponse) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.outcome, r.reason, r.detail)
}

// Values of Retry-After.
const (
	// ownerRetryAfter is about how long a change of owner takes.
	ownerRetryAfter = time.Second
	// shedRetryAfter gives a full queue time to empty.
	shedRetryAfter = time.Second
	// staleRetryAfter is about how long a router takes to connect to a
	// controller.
	staleRetryAfter = 2 * time.Second
)

// notRunError returns the error response for a request that provably was not
// run.
func notRunError(reason wire.Reason, detail string) *errorResponse {
	return &errorResponse{outcome: wire.OutcomeNotRun, reason: reason, detail: detail, retryAfter: retryAfterFor(reason)}
}

// unknownOutcomeError returns the error response for a request that may have
// run.
func unknownOutcomeError(reason wire.Reason, detail string) *errorResponse {
	return &errorResponse{outcome: wire.OutcomeUnknown, reason: reason, detail: detail}
}

// retryAfterFor returns the Retry-After value for a reason, or zero.
func retryAfterFor(reason wire.Reason) time.Duration {
	switch reason {
	case wire.ReasonNoOwner, wire.ReasonUnreachable, wire.ReasonWrongEpoch, wire.ReasonNoLease, wire.ReasonDraining:
		return ownerRetryAfter
	case wire.ReasonShed, wire.ReasonOverLimit:
		return shedRetryAfter
	case wire.ReasonStale:
		return staleRetryAfter
	}
	return 0
}

// statusFor returns the HTTP status code for a reason.
func statusFor(reason wire.Reason) int {
	switch reason {
	case wire.ReasonOverLimit:
		return http.StatusTooManyRequests
	case wire.ReasonExpired, wire.ReasonLeaseLost, wire.ReasonTimedOut:
		return http.StatusGatewayTimeout
	case wire.ReasonInvalid:
		return http.StatusBadRequest
	case wire.ReasonNotFound:
		return http.StatusNotFound
	case wire.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case wire.ReasonSlowSender:
		return http.StatusRequestTimeout
	case wire.ReasonDuplicate, wire.ReasonRecordLost, wire.ReasonAlreadyRun:
		return http.StatusConflict
	case wire.ReasonInterrupted, wire.ReasonTruncated:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// write sends the error response. It is short, so the caller receives it at
// once.
func (r *errorResponse) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set(wire.HeaderOutcome, string(r.outcome))
	header.Set(wire.HeaderReason, string(r.reason))
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(ceilSeconds(r.retryAfter)))
	}
	if r.reason == wire.ReasonSlowSender || r.reason == wire.ReasonTooLarge {
		header.Set("Connection", "close")
	}
	body := string(r.outcome) + " (" + string(r.reason) + "): " + r.detail + "\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusFor(r.reason))
	// A write error means that the caller disconnected; nothing is left to do.
	_, _ = w.Write([]byte(body))
}

// ceilSeconds rounds up to seconds, because Retry-After has no fractions (RFC
// 9110, 10.2.3).
func ceilSeconds(duration time.Duration) int {
	return int((duration + time.Second - 1) / time.Second)
}
