package agent

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// stopRetryAfter tells a router how long not to retry at an agent that stops.
// After it the shards have another owner, or the agent has returned.
const stopRetryAfter = time.Second

// errStopping is returned for all requests during the last part of a planned
// stop.
var errStopping = errors.New("the agent is stopping")

// errOutlastsStop is returned for requests that may still run when a planned
// stop ends.
var errOutlastsStop = fmt.Errorf("%w before the request's deadline", errStopping)

// refusal is a response that the agent itself generates: the request was not
// run, or it is unknown whether it ran.
type refusal struct {
	status     int
	outcome    wire.Outcome
	reason     wire.Reason
	retryAfter time.Duration
	detail     string
}

func notRun(status int, reason wire.Reason, detail string) *refusal {
	return &refusal{status: status, outcome: wire.OutcomeNotRun, reason: reason, detail: detail}
}

func unknown(status int, reason wire.Reason, detail string) *refusal {
	return &refusal{status: status, outcome: wire.OutcomeUnknown, reason: reason, detail: detail}
}

// write sends the refusal as plain text.
func (refused *refusal) write(w http.ResponseWriter) {
	body := fmt.Sprintf("%s: %s\n%s\n", refused.outcome, refused.reason, refused.detail)
	header := w.Header()
	header.Set(wire.HeaderOutcome, string(refused.outcome))
	header.Set(wire.HeaderReason, string(refused.reason))
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if refused.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(refused.retryAfter)))
	}
	w.WriteHeader(refused.status)
	_, _ = w.Write([]byte(body))
}

// wholeSeconds rounds up to seconds, because Retry-After allows no fractions.
func wholeSeconds(duration time.Duration) int {
	return int((duration + time.Second - 1) / time.Second)
}

// ownershipRefusal returns the response to a request that fails the checks of
// lease and ownership.
func ownershipRefusal(err error) *refusal {
	reason := wire.ReasonWrongEpoch
	retryAfter := time.Duration(0)
	switch {
	case errors.Is(err, errStopping):
		reason = wire.ReasonDraining
		retryAfter = stopRetryAfter
	case errors.Is(err, ownership.ErrNoLease):
		reason = wire.ReasonNoLease
	case errors.Is(err, ownership.ErrReleasing):
		reason = wire.ReasonDraining
	}
	answer := notRun(http.StatusMisdirectedRequest, reason, err.Error())
	answer.retryAfter = retryAfter
	return answer
}

// slotRefusal returns the response to a request that got no slot.
func slotRefusal(err error) *refusal {
	var refused *admission.Refusal
	if !errors.As(err, &refused) {
		return notRun(http.StatusServiceUnavailable, wire.ReasonShed, "the caller went away while the request waited")
	}
	if refused.Reason == wire.ReasonExpired {
		return notRun(http.StatusGatewayTimeout, wire.ReasonExpired, "the deadline passed while the request waited")
	}
	answer := notRun(http.StatusServiceUnavailable, refused.Reason, "the back end is busy")
	answer.retryAfter = refused.RetryAfter
	return answer
}

// recordRefusal returns the response to a request whose id could not be looked
// up in the request record.
func recordRefusal(err error) *refusal {
	switch {
	case errors.Is(err, requestrecord.ErrFuture):
		return notRun(http.StatusBadRequest, wire.ReasonInvalid, err.Error())
	case errors.Is(err, requestrecord.ErrNotServing):
		return notRun(http.StatusMisdirectedRequest, wire.ReasonWrongEpoch, err.Error())
	case errors.Is(err, requestrecord.ErrJournal):
		answer := notRun(http.StatusServiceUnavailable, wire.ReasonShed, err.Error())
		answer.retryAfter = time.Second
		return answer
	}
	return notRun(http.StatusGatewayTimeout, wire.ReasonExpired, err.Error())
}

// duplicateRefusal returns the response to a request whose id was seen before,
// if there is no kept answer to repeat.
func duplicateRefusal(decision requestrecord.Decision) *refusal {
	switch decision {
	case requestrecord.InProgress:
		answer := unknown(http.StatusConflict, wire.ReasonDuplicate, "a request with this id is running")
		answer.retryAfter = time.Second
		return answer
	case requestrecord.AnswerNotKept:
		return unknown(http.StatusConflict, wire.ReasonAlreadyRun, "the request ran; its answer was not kept")
	case requestrecord.Mismatch:
		return notRun(http.StatusBadRequest, wire.ReasonInvalid, "the id belongs to another request")
	case requestrecord.RecordLost:
		return unknown(http.StatusConflict, wire.ReasonRecordLost,
			"the record of requests from before this id was made is lost; it may have run")
	}
	return unknown(http.StatusBadGateway, wire.ReasonInterrupted, "an earlier attempt was interrupted and may have run")
}
