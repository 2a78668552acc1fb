package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// attemptKind classifies the result of one attempt.
type attemptKind uint8

const (
	// attemptAnswered: the header of a response arrived.
	attemptAnswered attemptKind = iota + 1
	// attemptRejected: the request was not run, because the agent rejected it or
	// the attempt ended before it got a connection.
	attemptRejected
	// attemptNotSent: no byte of the request was sent.
	attemptNotSent
	// attemptUnknown: the request may have run.
	attemptUnknown
	// attemptTimedOut: the request may have run; no response came in time.
	attemptTimedOut
	// attemptAbandoned: the attempt ended for a reason that says nothing about
	// the endpoint, for example because the caller disconnected.
	attemptAbandoned
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	kind   attemptKind
	target target
	// response is set for attemptAnswered; its body has not been read yet.
	response *http.Response
	// errResp is sent to the caller if this was the last attempt; nil for
	// attemptAnswered.
	errResp *errorResponse
	// release frees the resources of the attempt. For attemptAnswered it must be
	// called after the body was read; otherwise it has been called already.
	release func()
}

// attempt waits for a connection to the endpoint and sends the request once.
func (f *forwarder) attempt(to target) attemptResult {
	ctx, cancel := context.WithCancelCause(f.ctx)
	stopWatching := f.watchForCancellation(to, cancel)
	to.endpoint.inFlight.Add(1)
	slot, err := to.endpoint.gate.Acquire(ctx, f.slotRequest())
	release := func() {
		cancel(nil)
		to.endpoint.inFlight.Add(-1)
		if slot != nil {
			slot.Release()
		}
	}
	var result attemptResult
	switch {
	case err != nil:
		result = f.classifyGateError(context.Cause(ctx), err)
		to.endpoint.recordGateError(f.router.config.Clock(), result)
	case f.router.stale():
		result = attemptResult{kind: attemptAbandoned, errResp: notRunError(wire.ReasonStale, "the routing table became stale while the request waited")}
	default:
		result = f.exchange(ctx, to)
	}
	stopWatching()
	result.target = to
	result.release = release
	if result.kind != attemptAnswered {
		release()
	}
	return result
}

// exchange sends the request on a connection of the endpoint's pool and records
// the result.
func (f *forwarder) exchange(ctx context.Context, to target) attemptResult {
	started := f.router.config.Clock()
	response, err := to.endpoint.pool.Do(ctx, f.agentRequest(to))
	result := f.classifyExchange(ctx, response, err)
	now := f.router.config.Clock()
	to.endpoint.recordResult(now, now-started, kindForStatistics(result), f.request.class)
	if result.kind == attemptNotSent {
		to.endpoint.breaker.recordFailure(now)
	} else {
		to.endpoint.breaker.recordSuccess()
	}
	return result
}

// slotRequest returns the request's parameters in the queue for a connection.
func (f *forwarder) slotRequest() admission.Request {
	q := f.request
	return admission.Request{
		Service:  q.service.service.ID,
		Caller:   q.caller,
		Class:    admission.ClassOf(q.class, q.nonRepeatable),
		Deadline: f.router.config.Clock() + time.Until(q.deadline),
	}
}

// classifyGateError classifies an attempt that ended while it waited for a
// connection. Nothing was sent.
func (f *forwarder) classifyGateError(cause, err error) attemptResult {
	var gateRefusal *admission.Refusal
	switch {
	case errors.As(err, &gateRefusal) && gateRefusal.Reason == wire.ReasonExpired, errors.Is(cause, context.DeadlineExceeded):
		return deadlineExceeded(false)
	case errors.As(err, &gateRefusal):
		errResp := notRunError(gateRefusal.Reason, "too many requests wait for the back end")
		errResp.retryAfter = gateRefusal.RetryAfter
		return attemptResult{kind: attemptRejected, errResp: errResp}
	case errors.Is(cause, errSuperseded):
		return attemptResult{kind: attemptRejected, errResp: notRunError(wire.ReasonWrongEpoch, "the shard got a new owner")}
	case errors.Is(cause, errAttemptTimeout):
		return attemptResult{kind: attemptRejected, errResp: notRunError(wire.ReasonShed, "the back end has no free connection")}
	}
	return callerDisconnected(false)
}

// kindForStatistics returns the kind under which an attempt is recorded for
// load balancing: a 5xx response counts as a failure.
func kindForStatistics(result attemptResult) attemptKind {
	if result.kind == attemptAnswered && result.response.StatusCode >= http.StatusInternalServerError {
		return attemptUnknown
	}
	return result.kind
}

// watchForCancellation allows the attempt to be cancelled while it has no
// response: a keyed one when its shard gets a new owner, another one after
// Config.AttemptTimeout, so that another back end is tried.
func (f *forwarder) watchForCancellation(to target, cancel context.CancelCauseFunc) (stop func()) {
	if to.keyed {
		pending := &pendingAttempt{
			shard: to.shard, epoch: to.epoch, key: f.request.keyHash, owner: to.endpoint.id, cancel: cancel,
		}
		to.endpoint.pending.add(pending)
		return func() { to.endpoint.pending.remove(pending) }
	}
	if !f.mayCancelSlowAttempt() {
		return func() {}
	}
	timer := time.AfterFunc(f.router.config.AttemptTimeout, func() {
		if f.router.spendRetry(f.request.service.state) {
			f.retryPrepaid.Store(true)
			cancel(errAttemptTimeout)
		}
	})
	return func() { timer.Stop() }
}

// classifyExchange classifies the result of an exchange.
func (f *forwarder) classifyExchange(ctx context.Context, response *http.Response, err error) attemptResult {
	if err != nil {
		return f.classifyExchangeError(context.Cause(ctx), err)
	}
	outcome := wire.Outcome(response.Header.Get(wire.HeaderOutcome))
	if outcome == wire.OutcomeAnswered {
		return attemptResult{kind: attemptAnswered, response: response}
	}
	errResp := parseAgentError(outcome, response)
	discardBody(response)
	if errResp.outcome == wire.OutcomeNotRun {
		return attemptResult{kind: attemptRejected, errResp: errResp}
	}
	return attemptResult{kind: attemptUnknown, errResp: errResp}
}

// classifyExchangeError classifies an exchange that ended without a response.
func (f *forwarder) classifyExchangeError(cause, err error) attemptResult {
	sent := !errors.Is(err, upstream.ErrNotSent)
	if bodyErr := f.request.body.readError(); bodyErr != nil {
		errResp := bodyReadError(bodyErr)
		if sent {
			errResp = unknownOutcomeError(errResp.reason, errResp.detail)
		}
		return attemptResult{kind: attemptAbandoned, errResp: errResp}
	}
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return deadlineExceeded(sent)
	case errors.Is(cause, context.Canceled):
		return callerDisconnected(sent)
	case !sent:
		return attemptResult{kind: attemptNotSent, errResp: notRunError(wire.ReasonUnreachable, "the back end's agent cannot be reached")}
	case errors.Is(cause, errSuperseded):
		f.router.metrics.superseded.Inc()
		return attemptResult{kind: attemptTimedOut, errResp: unknownOutcomeError(wire.ReasonLeaseLost, "the shard got a new owner before the answer came")}
	case errors.Is(cause, errAttemptTimeout):
		return attemptResult{kind: attemptTimedOut, errResp: unknownOutcomeError(wire.ReasonTimedOut, "the back end took too long")}
	}
	return attemptResult{kind: attemptUnknown, errResp: unknownOutcomeError(wire.ReasonInterrupted, "the connection to the back end's agent broke")}
}

// deadlineExceeded returns the result of an attempt that ended at the request's
// deadline.
func deadlineExceeded(sent bool) attemptResult {
	if sent {
		return attemptResult{kind: attemptTimedOut, errResp: unknownOutcomeError(wire.ReasonTimedOut, "no answer within the deadline")}
	}
	return attemptResult{kind: attemptAbandoned, errResp: notRunError(wire.ReasonExpired, "the deadline passed before the request was sent")}
}

// callerDisconnected returns the result of an attempt whose caller
// disconnected.
func callerDisconnected(sent bool) attemptResult {
	errResp := notRunError(wire.ReasonInterrupted, "the caller went away before the request was sent")
	if sent {
		errResp = unknownOutcomeError(wire.ReasonInterrupted, "the caller went away")
	}
	return attemptResult{kind: attemptAbandoned, errResp: errResp}
}

// readError returns the error that ended the body early, or nil.
func (b *requestBody) readError() error {
	if b.unbuffered == nil {
		return nil
	}
	return b.unbuffered.readError()
}

// parseAgentError converts an agent's error response. Without a valid outcome
// header, the request may have run.
func parseAgentError(outcome wire.Outcome, response *http.Response) *errorResponse {
	reason := wire.Reason(response.Header.Get(wire.HeaderReason))
	if outcome != wire.OutcomeNotRun && outcome != wire.OutcomeUnknown {
		return unknownOutcomeError(wire.ReasonInterrupted, "the back end's agent stated no outcome")
	}
	errResp := &errorResponse{outcome: outcome, reason: reason, retryAfter: retryAfterFor(reason), detail: "refused by the back end's agent"}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		errResp.retryAfter = time.Duration(seconds) * time.Second
	}
	return errResp
}

// maximumDiscardedBytes is how much of an unused response body is read so that
// the connection can be reused.
const maximumDiscardedBytes = 4 * kibibyte

// discardBody reads and closes the body of a response that is not relayed.
func discardBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maximumDiscardedBytes)
	_ = response.Body.Close()
}

// agentRequest builds the request to the agent.
func (f *forwarder) agentRequest(to target) *http.Request {
	incoming := f.request.incoming
	result := &http.Request{
		Method:        incoming.Method,
		URL:           agentURL(incoming.URL, to.endpoint.address),
		Host:          incoming.Host,
		Header:        f.agentHeader(to),
		Body:          f.request.body.newReader(),
		ContentLength: f.request.body.length,
	}
	if result.Body == http.NoBody {
		result.ContentLength = 0
	}
	return result
}

// agentURL returns the URL at the agent. Path and query stay as the caller sent
// them.
func agentURL(incoming *url.URL, address string) *url.URL {
	result := *incoming
	result.Scheme = "http"
	result.Host = address
	return &result
}

// isDeadlineError reports whether an error means that a deadline passed.
func isDeadlineError(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}
