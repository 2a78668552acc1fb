package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"syscall"
	"time"

	"github.com/quartzdock/quartzdock/internal/incarnation"
	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/sentids"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/upstream"
)

const (
	// extraBackendConnections is how many connections to the back end there may be beyond
	// its slots.
	extraBackendConnections = 8
	// backendIdleTimeout is shorter than the back end's own idle timeout, so that the back
	// end never closes an idle connection first.
	backendIdleTimeout = 4 * time.Second
	backendDialTimeout = 400 * time.Millisecond
	// responseMargin is how much earlier than the caller's deadline the egress gives up, so
	// that its result still arrives.
	responseMargin = 15 * time.Millisecond
	// maxKeyWaitFraction bounds, as a fraction of the request's time, how long a request
	// waits for a key that the back end is about to get. The wait is at most one heartbeat
	// interval.
	maxKeyWaitFraction = 0.5
	// maxResponseBody bounds the body of a response.
	maxResponseBody = 64 << 20
)

// errInvalidResponse means that the received message is not a valid response to the request.
var errInvalidResponse = errors.New("not an answer to this request")

// egress passes requests on to the local back end.
type egress struct {
	gateway *Gateway
	pool    *upstream.Pool
	sent    *sentids.Set
}

func newEgress(g *Gateway) (*egress, error) {
	pool, err := upstream.New(upstream.Config{
		Address:        g.config.BackendAddress,
		MaxConnections: extraBackendConnections,
		MinWarm:        -1,
		DialTimeout:    backendDialTimeout,
		IdleTimeout:    backendIdleTimeout,
		IsSurplus:      g.isSurplusResponse,
	})
	if err != nil {
		return nil, err
	}
	return &egress{gateway: g, pool: pool, sent: sentids.New()}, nil
}

// isSurplusResponse reports whether a back end's response states the id of another request, and counts
// such responses. Requests without an id are probes, which have connections of their own.
func (g *Gateway) isSurplusResponse(request *http.Request, response *http.Response) bool {
	name := g.config.Headers.RequestID
	due, stated := request.Header.Get(name), response.Header.Get(name)
	if due == "" || stated == "" || stated == due {
		return false
	}
	g.metrics.surplus.Inc()
	return true
}

// setSlots applies the back end's number of slots.
func (e *egress) setSlots(slots int) {
	e.pool.SetMaxConnections(slots + extraBackendConnections)
	e.gateway.slots.setCapacity(slots)
}

// serve makes one attempt at the back end and records its result.
func (e *egress) serve(ctx context.Context, request *forwardRequest) *forwardResult {
	began := steady.Reading()
	result, used := e.attempt(ctx, request)
	waited := steady.Elapsed(began) - used
	e.gateway.attemptCounters.record(result, waited, used)
	e.gateway.metrics.backendAttempt(result, waited, used)
	if result.Outcome == outcomeAnswered {
		e.gateway.clearAnsweredSuspect(request.digest)
	}
	if result.Outcome == outcomeNotRun && !result.Sent {
		e.logRefusal(request, result.Reason)
	}
	result.Load = e.gateway.slots.load()
	result.Load.linkBacklog = e.gateway.pacer.backlog()
	return result
}

func notRun(why reason) *forwardResult { return &forwardResult{Outcome: outcomeNotRun, Reason: why} }

// attempt returns the result of a request and how long it used a slot.
func (e *egress) attempt(ctx context.Context, request *forwardRequest) (*forwardResult, time.Duration) {
	if refusal := e.awaitKey(ctx, request); refusal != nil {
		return refusal, 0
	}
	e.gateway.relayRateLimit(request)
	ctx, cancel := context.WithTimeout(ctx, steady.Until(request.Deadline.Add(-responseMargin)))
	defer cancel()
	if !request.Transfer {
		return e.attemptInSlot(ctx, request)
	}
	reservation, ok := e.gateway.pacer.admit(e.transferDemand(request))
	if !ok {
		return notRun(reasonLinkFull), 0
	}
	result, used := e.attemptInSlot(ctx, request)
	answered := result.Outcome == outcomeAnswered
	e.gateway.pacer.settle(reservation, answered, len(result.Body))
	if answered {
		result.linkReservation = reservation
	}
	return result, used
}

// transferDemand is what a request with a large response demands of the link.
func (e *egress) transferDemand(request *forwardRequest) overload.Transfer {
	load := e.gateway.slots.load()
	return overload.Transfer{Due: request.Due, Deadline: request.Deadline, Target: request.Target, Run: load.serviceTimeFor(request.Target)}
}

// attemptInSlot waits for a slot, makes the attempt and releases the slot.
func (e *egress) attemptInSlot(ctx context.Context, request *forwardRequest) (*forwardResult, time.Duration) {
	slot, err := e.gateway.slots.acquire(ctx, e.slotDemand(request))
	if err != nil {
		return e.refuseWithoutSlot(request, err), 0
	}
	began := steady.Reading()
	result := e.recheckAndExchange(ctx, request)
	used := steady.Elapsed(began)
	e.release(request, result, slot, used)
	return result, used
}

// awaitKey checks the request as checkAdmission does. If only the key is missing and the
// back end is about to get it, awaitKey waits for the key.
func (e *egress) awaitKey(ctx context.Context, request *forwardRequest) *forwardResult {
	refusal := e.checkAdmission(request)
	if refusal == nil || refusal.Reason != reasonNotOwner {
		return refusal
	}
	left := steady.Until(request.Deadline)
	ctx, cancel := context.WithTimeout(ctx, min(e.gateway.config.HeartbeatInterval, time.Duration(maxKeyWaitFraction*float64(left))))
	defer cancel()
	e.gateway.keys.awaitKey(ctx, request.Instance, request.Key)
	return e.checkAdmission(request)
}

// recheckAndExchange sends the request unless it is no longer admitted after the wait for a
// slot.
func (e *egress) recheckAndExchange(ctx context.Context, request *forwardRequest) *forwardResult {
	if refusal := e.checkAdmission(request); refusal != nil {
		return refusal
	}
	return e.exchange(ctx, request)
}

const (
	// minSlotWait is how long a request that is not due yet may always wait for a slot, and
	// minSlotTurns how many of the next released slots it may wait for if it can still be
	// answered in time. Without minSlotTurns a back end whose service time is nearly the
	// whole target would answer none in time: each released slot would go to a late request.
	// A request that is due has no minimum wait, because it would go before all that can
	// still be answered in time.
	minSlotWait  = 30 * time.Millisecond
	minSlotTurns = 2
	// serviceTimeMargin is the part of the time until the due time that is reserved for
	// running the request, in service times.
	serviceTimeMargin = 1.8
)

// slotDemand is what a request demands of the slots: it may wait as long as its response can
// still come in time, and, for slots that requests in time leave unused, until shortly
// before its caller's deadline.
func (e *egress) slotDemand(request *forwardRequest) demand {
	load := e.gateway.slots.load()
	service := load.serviceTimeFor(request.Target)
	reserved := time.Duration(serviceTimeMargin * float64(service))
	untilDue := steady.Until(request.Due)
	var minWait time.Duration
	if untilDue > 0 {
		minWait = minSlotWait
	}
	if untilDue > service {
		minWait = max(minWait, minSlotTurns*service/time.Duration(max(load.slots, 1)))
	}
	return demand{
		Priority:   request.Priority,
		Due:        request.Due,
		Target:     request.Target,
		InTimeWait: max(minWait, untilDue-reserved),
		MaxWait:    steady.Until(request.Deadline) - responseMargin - reserved,
		OnlyHere:   request.HasKey,
	}
}

// refuseWithoutSlot refuses a request that got no slot. It still counts toward the load of
// its key.
func (e *egress) refuseWithoutSlot(request *forwardRequest, err error) *forwardResult {
	limited := (*rateLimitedError)(nil)
	if !errors.As(err, &limited) && !errors.Is(err, errNoSlot) {
		return notRun(reasonTimeout)
	}
	load := e.gateway.slots.load()
	if request.HasKey {
		e.gateway.keyLoad.add(request.Key, load.serviceTime)
	}
	if limited != nil {
		refusal := notRun(reasonRateLimited)
		refusal.RetryAfter = limited.retryAfter
		return refusal
	}
	refusal := notRun(reasonNoSlot)
	refusal.RetryAfter = e.gateway.slots.retryAfter(request.Target)
	return refusal
}

// checkAdmission returns a refusal if the back end must not get a request now, otherwise
// nil.
func (e *egress) checkAdmission(request *forwardRequest) *forwardResult {
	now := steady.Reading()
	if !e.gateway.admission.Admits(request.Deadline.Add(callersReserve)) {
		return e.gateway.refuseStopping()
	}
	if !e.gateway.registry.admits(request.Instance, now) {
		return e.gateway.refuseUnadmitted(request, now)
	}
	if e.gateway.evacuated(now) {
		return notRun(reasonEvacuated)
	}
	if e.gateway.mayBeEvacuated(now) {
		return notRun(reasonStaleConfiguration)
	}
	if request.HasKey && !e.gateway.keys.holds(request.Instance, request.Key, now) {
		return notRun(reasonNotOwner)
	}
	if e.gateway.blocksSuspect(request) {
		return notRun(reasonAwaitsTrial)
	}
	return nil
}

// release returns the slot of a request and counts the use toward the load of its key.
func (e *egress) release(request *forwardRequest, result *forwardResult, slot overload.Slot, used time.Duration) {
	e.gateway.slots.release(slot, used)
	if !request.HasKey {
		return
	}
	e.gateway.keyLoad.add(request.Key, used)
	if result.Outcome == outcomeAnswered && result.Status < http.StatusInternalServerError {
		e.gateway.keyLoad.addSuccessfulRun(used)
	}
}

// exchange sends the request once and reads its response.
func (e *egress) exchange(ctx context.Context, request *forwardRequest) *forwardResult {
	outgoing, err := e.newBackendRequest(request)
	if err != nil {
		return notRun(reasonInterrupted)
	}
	e.gateway.runs.begin(request)
	defer e.gateway.runs.end(request)
	sentAt := steady.Reading()
	response, err := e.send(ctx, request, outgoing)
	if err != nil {
		return e.classifyError(ctx, request, err)
	}
	defer response.Body.Close()
	if response.Header.Get(e.gateway.config.Headers.RequestID) != request.ID {
		return e.brokenExchange(request, errInvalidResponse)
	}
	e.gateway.observeBackend(request, response, sentAt)
	body, err := e.gateway.held.readBody(response, maxResponseBody)
	if err != nil {
		return e.classifyIncomplete(ctx, request, err)
	}
	return e.classifyResponse(request, response, body)
}

// send sends a request over a connection that has carried none with the same id: a surplus answer to
// an earlier sending of it would be taken for the answer to this one.
func (e *egress) send(ctx context.Context, request *forwardRequest, outgoing *http.Request) (*http.Response, error) {
	if !e.sent.Add(request.ID, steady.At(request.Deadline), steady.Now()) {
		return e.pool.Do(ctx, outgoing)
	}
	e.gateway.metrics.sentAgain.Inc()
	return e.pool.DoOnNewConnection(ctx, outgoing)
}

// newBackendRequest builds the request for the back end.
func (e *egress) newBackendRequest(request *forwardRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, err
	}
	names := &e.gateway.config.Headers
	header := request.Header
	header.Set(names.TargetInstance, incarnation.IDOf(request.Instance))
	left := max(steady.Until(request.Deadline)-responseMargin, time.Millisecond)
	header.Set(names.Deadline, milliseconds(left))
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""}
	}
	outgoing := &http.Request{Method: request.Method, URL: target, Host: request.Host, Header: header, ContentLength: int64(len(request.Body))}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return outgoing, nil
}

// classifyError returns the result of an exchange that got no response.
func (e *egress) classifyError(ctx context.Context, request *forwardRequest, err error) *forwardResult {
	e.gateway.handleBackendError(request.Instance, err)
	if errors.Is(err, upstream.ErrNotSent) {
		return notRun(reasonUnreachable)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &forwardResult{Outcome: outcomeUnknown, Reason: reasonTimeout, Sent: true}
	}
	return e.classifyIncomplete(ctx, request, err)
}

// classifyIncomplete returns the result of an exchange whose connection closed before the whole
// response had arrived.
func (e *egress) classifyIncomplete(ctx context.Context, request *forwardRequest, err error) *forwardResult {
	result := e.brokenExchange(request, err)
	if ctx.Err() != nil || errors.Is(err, errInvalidResponse) || errors.Is(err, upstream.ErrSurplus) {
		// The deadline passed, the caller disconnected, or the response was invalid.
		return result
	}
	if atWork, crashed := e.gateway.crashedDuring(request); crashed {
		result.Reason, result.RequestsRunning = reasonBackendCrashed, atWork
	}
	return result
}

// brokenExchange logs an exchange that was interrupted or got an invalid response, and
// returns its result: the request may have run.
func (e *egress) brokenExchange(request *forwardRequest, err error) *forwardResult {
	e.gateway.config.Log.Info("exchange with back end broken off", "request", request.ID, "instance", request.Instance,
		"gateway_stopping", e.gateway.admission.Stopping(), "deadline_in_ms", steady.Until(request.Deadline).Milliseconds(), "error", err)
	return &forwardResult{Outcome: outcomeUnknown, Reason: reasonInterrupted, Sent: true}
}

// classifyResponse returns what a complete response proves about the request.
func (e *egress) classifyResponse(request *forwardRequest, response *http.Response, body []byte) *forwardResult {
	names := &e.gateway.config.Headers
	status := response.StatusCode
	if response.Header.Get(names.NotExecuted) != "" || status == http.StatusMisdirectedRequest {
		e.gateway.config.Log.Info("refused by back end", "request", request.ID, "instance", request.Instance, "status", status, "key", request.Key)
		return &forwardResult{Outcome: outcomeNotRun, Reason: reasonRefused, Sent: true}
	}
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	if success && (response.Header.Get(names.Seal) == "" || response.Header.Get("Content-Encoding") != "") {
		return e.brokenExchange(request, errInvalidResponse)
	}
	return &forwardResult{
		Outcome: outcomeAnswered,
		Sent:    true,
		Status:  status,
		Header:  forwardable(response.Header),
		Body:    body,
	}
}

// isConnectionRefused reports whether nothing listens at an address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
