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

// attemptKind is what came of one attempt.
type attemptKind uint8

const (
	// attemptAnswered: an answer's header arrived.
	attemptAnswered attemptKind = iota + 1
	// attemptRefused: the agent says that the request was not run.
	attemptRefused
	// attemptNotSent: no byte of the request left the router.
	attemptNotSent
	// attemptUnknown: the request may have run.
	attemptUnknown
	// attemptTimedOut: as attemptUnknown, because no answer came in time.
	attemptTimedOut
	// attemptAbandoned: the caller went away; it says nothing of the peer.
	attemptAbandoned
)

// attemptResult is what came of one attempt.
type attemptResult struct {
	kind   attemptKind
	target target
	// response is set for attemptAnswered; its body is still to be read.
	response *http.Response
	// refusal is what the caller is told if this was the last attempt; nil for
	// attemptAnswered.
	refusal *refusal
	// end frees what the attempt holds. It is called after the body was read.
	end func()
}

// attempt sends the request once, as soon as a connection to the peer is its
// own.
func (f *forwarding) attempt(to target) attemptResult {
	ctx, cancel := context.WithCancelCause(f.ctx)
	stop := f.watch(to, cancel)
	to.peer.running.Add(1)
	slot, err := to.peer.gate.Acquire(ctx, f.slotRequest())
	end := func() {
		cancel(nil)
		to.peer.running.Add(-1)
		if slot != nil {
			slot.Release()
		}
	}
	var result attemptResult
	switch {
	case err != nil:
		result = f.judgeWaiting(context.Cause(ctx), err)
		to.peer.refusedLocally(f.router.config.Clock(), result)
	case f.router.stale():
		result = attemptResult{kind: attemptAbandoned, refusal: notRun(wire.ReasonStale, "the routing table became stale while the request waited")}
	default:
		result = f.exchange(ctx, to)
	}
	stop()
	result.target = to
	result.end = end
	if result.kind != attemptAnswered {
		end()
	}
	return result
}

// exchange sends the request on a connection of the peer's pool.
func (f *forwarding) exchange(ctx context.Context, to target) attemptResult {
	started := f.router.config.Clock()
	response, err := to.peer.pool.Do(ctx, f.outgoing(to))
	result := f.judge(ctx, response, err)
	now := f.router.config.Clock()
	to.peer.ended(now, now-started, kindForPeer(result), f.request.class)
	if result.kind == attemptNotSent {
		to.peer.breaker.failed(now)
	} else {
		to.peer.breaker.succeeded()
	}
	return result
}

// slotRequest is how the request queues for a connection to a peer.
func (f *forwarding) slotRequest() admission.Request {
	q := f.request
	return admission.Request{
		Service:  q.service.service.ID,
		Caller:   q.caller,
		Class:    admission.ClassOf(q.class, q.nonRepeatable),
		Deadline: f.router.config.Clock() + time.Until(q.deadline),
	}
}

// judgeWaiting classifies an attempt that ended while it waited for a
// connection: nothing was sent.
func (f *forwarding) judgeWaiting(cause, err error) attemptResult {
	var shed *admission.Refusal
	switch {
	case errors.As(err, &shed) && shed.Reason == wire.ReasonExpired, errors.Is(cause, context.DeadlineExceeded):
		return timedOut(false)
	case errors.As(err, &shed):
		told := notRun(shed.Reason, "too many requests wait for the back end")
		told.retryAfter = shed.RetryAfter
		return attemptResult{kind: attemptRefused, refusal: told}
	case errors.Is(cause, errSuperseded):
		return attemptResult{kind: attemptRefused, refusal: notRun(wire.ReasonWrongEpoch, "the shard got a new owner")}
	case errors.Is(cause, errAttemptTimeout):
		return attemptResult{kind: attemptRefused, refusal: notRun(wire.ReasonShed, "the back end has no free connection")}
	}
	return callerLeft(false)
}

// kindForPeer is how an attempt counts for the choice of back ends: an answer
// that reports the back end's own failure is a failure.
func kindForPeer(result attemptResult) attemptKind {
	if result.kind == attemptAnswered && result.response.StatusCode >= http.StatusInternalServerError {
		return attemptUnknown
	}
	return result.kind
}

// watch lets the attempt be ended from outside while it has no answer: when
// the shard gets a new owner, or when another back end may be faster.
func (f *forwarding) watch(to target, cancel context.CancelCauseFunc) (stop func()) {
	if to.keyed {
		pending := &pendingAttempt{
			shard: to.shard, epoch: to.epoch, key: f.request.position, owner: to.peer.id, cancel: cancel,
		}
		to.peer.attempts.add(pending)
		return func() { to.peer.attempts.remove(pending) }
	}
	if !f.mayHedge() {
		return func() {}
	}
	timer := time.AfterFunc(f.router.config.AttemptTimeout, func() {
		if f.router.spendRetry(f.request.service.state) {
			f.paid.Store(true)
			cancel(errAttemptTimeout)
		}
	})
	return func() { timer.Stop() }
}

// judge classifies the result of an exchange.
func (f *forwarding) judge(ctx context.Context, response *http.Response, err error) attemptResult {
	if err != nil {
		return f.judgeError(context.Cause(ctx), err)
	}
	outcome := wire.Outcome(response.Header.Get(wire.HeaderOutcome))
	if outcome == wire.OutcomeAnswered {
		return attemptResult{kind: attemptAnswered, response: response}
	}
	told := refusalOf(outcome, response)
	discard(response)
	if told.outcome == wire.OutcomeNotRun {
		return attemptResult{kind: attemptRefused, refusal: told}
	}
	return attemptResult{kind: attemptUnknown, refusal: told}
}

// judgeError classifies an exchange without answer.
func (f *forwarding) judgeError(cause, err error) attemptResult {
	sent := !errors.Is(err, upstream.ErrNotSent)
	if bodyError := f.request.body.failure(); bodyError != nil {
		told := refusalOfBody(bodyError)
		if sent {
			told = unknown(told.reason, told.detail)
		}
		return attemptResult{kind: attemptAbandoned, refusal: told}
	}
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		return timedOut(sent)
	case errors.Is(cause, context.Canceled):
		return callerLeft(sent)
	case !sent:
		return attemptResult{kind: attemptNotSent, refusal: notRun(wire.ReasonUnreachable, "the back end's agent cannot be reached")}
	case errors.Is(cause, errSuperseded):
		f.router.metrics.superseded.Inc()
		return attemptResult{kind: attemptTimedOut, refusal: unknown(wire.ReasonLeaseLost, "the shard got a new owner before the answer came")}
	case errors.Is(cause, errAttemptTimeout):
		return attemptResult{kind: attemptTimedOut, refusal: unknown(wire.ReasonTimedOut, "the back end took too long")}
	}
	return attemptResult{kind: attemptUnknown, refusal: unknown(wire.ReasonInterrupted, "the connection to the back end's agent broke")}
}

// timedOut is the result at the request's deadline.
func timedOut(sent bool) attemptResult {
	if sent {
		return attemptResult{kind: attemptTimedOut, refusal: unknown(wire.ReasonTimedOut, "no answer within the deadline")}
	}
	return attemptResult{kind: attemptAbandoned, refusal: notRun(wire.ReasonExpired, "the deadline passed before the request was sent")}
}

// callerLeft is the result when the caller went away.
func callerLeft(sent bool) attemptResult {
	told := notRun(wire.ReasonInterrupted, "the caller went away before the request was sent")
	if sent {
		told = unknown(wire.ReasonInterrupted, "the caller went away")
	}
	return attemptResult{kind: attemptAbandoned, refusal: told}
}

// failure is the error that ended the body early, or nil.
func (b *requestBody) failure() error {
	if b.rest == nil {
		return nil
	}
	return b.rest.failure()
}

// refusalOf reads an agent's refusal. An answer without outcome proves nothing.
func refusalOf(outcome wire.Outcome, response *http.Response) *refusal {
	reason := wire.Reason(response.Header.Get(wire.HeaderReason))
	if outcome != wire.OutcomeNotRun && outcome != wire.OutcomeUnknown {
		return unknown(wire.ReasonInterrupted, "the back end's agent stated no outcome")
	}
	told := &refusal{outcome: outcome, reason: reason, retryAfter: retryAfterOf(reason), detail: "refused by the back end's agent"}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil && seconds > 0 {
		told.retryAfter = time.Duration(seconds) * time.Second
	}
	return told
}

// maximumRefusalBytes is how much of a refusal's body is read to keep the
// connection.
const maximumRefusalBytes = 4 * kibibyte

func discard(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maximumRefusalBytes)
	_ = response.Body.Close()
}

// outgoing makes the request for the agent.
func (f *forwarding) outgoing(to target) *http.Request {
	incoming := f.request.incoming
	made := &http.Request{
		Method:        incoming.Method,
		URL:           outgoingURL(incoming.URL, to.peer.address),
		Host:          incoming.Host,
		Header:        f.outgoingHeader(to),
		Body:          f.request.body.reader(),
		ContentLength: f.request.body.length,
	}
	if made.Body == http.NoBody {
		made.ContentLength = 0
	}
	return made
}

// outgoingURL keeps path and query as the caller wrote them.
func outgoingURL(incoming *url.URL, address string) *url.URL {
	made := *incoming
	made.Scheme = "http"
	made.Host = address
	return &made
}

// isDeadline says that an error comes of a passed deadline.
func isDeadline(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded)
}
