package router

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// refusal is an answer that the router gives itself: the request was not run,
// or its outcome is unknown.
type refusal struct {
	outcome wire.Outcome
	reason  wire.Reason
	// retryAfter is when it is worth asking again; zero says nothing.
	retryAfter time.Duration
	detail     string
}

// Error implements error.
func (r *refusal) Error() string {
	return fmt.Sprintf("%s (%s): %s", r.outcome, r.reason, r.detail)
}

// Times told in Retry-After.
const (
	// ownerRetryAfter is about how long a change of owner takes.
	ownerRetryAfter = time.Second
	// shedRetryAfter lets a queue drain.
	shedRetryAfter = time.Second
	// staleRetryAfter is about how long a router takes to find a controller.
	staleRetryAfter = 2 * time.Second
)

// notRun makes the refusal of a request that was provably not run.
func notRun(reason wire.Reason, detail string) *refusal {
	return &refusal{outcome: wire.OutcomeNotRun, reason: reason, detail: detail, retryAfter: retryAfterOf(reason)}
}

// unknown makes the refusal of a request that may have run.
func unknown(reason wire.Reason, detail string) *refusal {
	return &refusal{outcome: wire.OutcomeUnknown, reason: reason, detail: detail}
}

func retryAfterOf(reason wire.Reason) time.Duration {
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

// statusOf gives the status code that carries a reason to callers.
func statusOf(reason wire.Reason) int {
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
	case wire.ReasonDuplicate, wire.ReasonRecordLost, wire.ReasonAlreadyTaken:
		return http.StatusConflict
	case wire.ReasonInterrupted, wire.ReasonTruncated:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// write sends the refusal. It is short, so the caller has it at once.
func (r *refusal) write(w http.ResponseWriter) {
	header := w.Header()
	header.Set(wire.HeaderOutcome, string(r.outcome))
	header.Set(wire.HeaderReason, string(r.reason))
	if r.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(r.retryAfter)))
	}
	if r.reason == wire.ReasonSlowSender || r.reason == wire.ReasonTooLarge {
		header.Set("Connection", "close")
	}
	body := string(r.outcome) + " (" + string(r.reason) + "): " + r.detail + "\n"
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(statusOf(r.reason))
	// The caller may be gone; there is nobody else to tell.
	_, _ = w.Write([]byte(body))
}

// wholeSeconds rounds up, as Retry-After has no fractions (RFC 9110, 10.2.3).
func wholeSeconds(duration time.Duration) int {
	return int((duration + time.Second - 1) / time.Second)
}
