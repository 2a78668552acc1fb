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
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/upstream"
)

const (
	// backendConnections bounds connections to the back end beside its slots.
	backendConnections = 8
	// backendIdle closes connections before the back end does.
	backendIdle = 4 * time.Second
	backendDial = 400 * time.Millisecond
	// answerMargin is how much earlier than the caller the egress gives up, so
	// that its word still arrives.
	answerMargin = 15 * time.Millisecond
	// keyWaitShare is the part of a request's time that it may wait for its key,
	// where the back end is about to get it; a heartbeat's interval at the most.
	keyWaitShare = 0.5
	// maxAnswer bounds the body of an answer.
	maxAnswer = 64 << 20
)

// errNoAnswer: what came back is not the answer to the request.
var errNoAnswer = errors.New("not an answer to this request")

// egress passes requests on to the back end beside the gateway.
type egress struct {
	gateway *Gateway
	pool    *upstream.Pool
}

func newEgress(g *Gateway) (*egress, error) {
	pool, err := upstream.New(upstream.Config{
		Address:        g.config.BackendAddress,
		MaxConnections: backendConnections,
		MinWarm:        -1,
		DialTimeout:    backendDial,
		IdleTimeout:    backendIdle,
	})
	if err != nil {
		return nil, err
	}
	return &egress{gateway: g, pool: pool}, nil
}

// setSlots follows the back end's number of slots.
func (e *egress) setSlots(slots int) {
	e.pool.SetMaxConnections(slots + backendConnections)
	e.gateway.slots.setCapacity(slots)
}

// serve tries a request at the back end.
func (e *egress) serve(ctx context.Context, request *forwardRequest) *forwardResult {
	began := steady.Reading()
	result, used := e.try(ctx, request)
	waited := steady.Elapsed(began) - used
	e.gateway.tally.count(result, waited, used)
	e.gateway.metrics.backendTry(result, waited, used)
	if result.Outcome == outcomeAnswered {
		e.gateway.noteAnswered(request.digest)
	}
	if result.Outcome == outcomeNotRun && !result.Sent {
		e.logRefusal(request, result.Reason)
	}
	result.Load = e.gateway.slots.load()
	result.Load.linkBacklog = e.gateway.pacer.backlog()
	return result
}

func notRun(why reason) *forwardResult { return &forwardResult{Outcome: outcomeNotRun, Reason: why} }

// try returns what became of a request and for how long it used a slot.
func (e *egress) try(ctx context.Context, request *forwardRequest) (*forwardResult, time.Duration) {
	if refusal := e.awaitKey(ctx, request); refusal != nil {
		return refusal, 0
	}
	ctx, cancel := context.WithTimeout(ctx, steady.Until(request.Deadline.Add(-answerMargin)))
	defer cancel()
	if !request.Transfer {
		return e.tryInSlot(ctx, request)
	}
	kept, ok := e.gateway.pacer.admit(e.transfer(request))
	if !ok {
		return notRun(reasonLinkFull), 0
	}
	result, used := e.tryInSlot(ctx, request)
	answered := result.Outcome == outcomeAnswered
	e.gateway.pacer.settle(kept, answered, len(result.Body))
	if answered {
		result.kept = kept
	}
	return result, used
}

// transfer is what a request for a large answer asks of the link.
func (e *egress) transfer(request *forwardRequest) overload.Transfer {
	load := e.gateway.slots.load()
	return overload.Transfer{Due: request.Due, Deadline: request.Deadline, Target: request.Target, Run: load.service(request.Target)}
}

// tryInSlot waits for a slot and uses it.
func (e *egress) tryInSlot(ctx context.Context, request *forwardRequest) (*forwardResult, time.Duration) {
	taken, err := e.gateway.slots.acquire(ctx, e.demand(request))
	if err != nil {
		return e.noSlot(request, err), 0
	}
	began := steady.Reading()
	result := e.useSlot(ctx, request)
	used := steady.Elapsed(began)
	e.release(request, result, taken, used)
	return result, used
}

// awaitKey refuses a request as refuses does, but where only the key is missing
// that the back end is about to get, it waits for it.
func (e *egress) awaitKey(ctx context.Context, request *forwardRequest) *forwardResult {
	refusal := e.refuses(request)
	if refusal == nil || refusal.Reason != reasonNotOwner {
		return refusal
	}
	left := steady.Until(request.Deadline)
	ctx, cancel := context.WithTimeout(ctx, min(e.gateway.config.HeartbeatInterval, time.Duration(keyWaitShare*float64(left))))
	defer cancel()
	e.gateway.keys.await(ctx, request.Instance, request.Key)
	return e.refuses(request)
}

// useSlot sends the request, unless things have changed while it waited.
func (e *egress) useSlot(ctx context.Context, request *forwardRequest) *forwardResult {
	if refusal := e.refuses(request); refusal != nil {
		return refusal
	}
	return e.exchange(ctx, request)
}

const (
	// leastPatience is how long a request that is not due yet may always wait for a
	// slot, and turnsWaited for how many of the next slots that become free, where it can
	// still be answered in time. One that is due has no such place: it would stand before
	// all that can be in time. A back end whose runs take nearly the whole target would otherwise
	// serve none in time: each free slot would go to one that is late already.
	leastPatience = 30 * time.Millisecond
	turnsWaited   = 2
	// serviceMargin is what is kept of the time to the due moment, in service
	// times.
	serviceMargin = 1.8
)

// demand is what a request asks of the slots: it may wait as long as its answer
// can still come in time, and where slots are left over, before its caller leaves.
func (e *egress) demand(request *forwardRequest) demand {
	load := e.gateway.slots.load()
	service := load.service(request.Target)
	kept := time.Duration(serviceMargin * float64(service))
	left := steady.Until(request.Due)
	var least time.Duration
	if left > 0 {
		least = leastPatience
	}
	if left > service {
		least = max(least, turnsWaited*service/time.Duration(max(load.slots, 1)))
	}
	return demand{
		Priority: request.Priority,
		Due:      request.Due,
		Target:   request.Target,
		Patience: max(least, left-kept),
		Latest:   steady.Until(request.Deadline) - answerMargin - kept,
		OnlyHere: request.HasKey,
	}
}

// noSlot refuses a request. Its key's load counts all the same.
func (e *egress) noSlot(request *forwardRequest, err error) *forwardResult {
	if !errors.Is(err, errNoRoom) {
		return notRun(reasonTimeout)
	}
	load := e.gateway.slots.load()
	if request.HasKey {
		e.gateway.keyLoad.add(request.Key, load.serviceTime)
	}
	refusal := notRun(reasonNoRoom)
	refusal.RetryAfter = e.gateway.slots.comeBackIn(request.Target)
	return refusal
}

// refuses returns a refusal where the back end must not get a request now.
func (e *egress) refuses(request *forwardRequest) *forwardResult {
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
		return notRun(reasonOutdated)
	}
	if request.HasKey && !e.gateway.keys.holds(request.Instance, request.Key, now) {
		return notRun(reasonNotOwner)
	}
	if e.gateway.refusesSuspect(request) {
		return notRun(reasonAwaitsTrial)
	}
	return nil
}

func (e *egress) release(request *forwardRequest, result *forwardResult, taken overload.Slot, used time.Duration) {
	e.gateway.slots.release(taken, used)
	if !request.HasKey {
		return
	}
	e.gateway.keyLoad.add(request.Key, used)
	if result.Outcome == outcomeAnswered && result.Status < http.StatusInternalServerError {
		e.gateway.keyLoad.ran(used)
	}
}

// exchange sends the request once and reads its answer.
func (e *egress) exchange(ctx context.Context, request *forwardRequest) *forwardResult {
	outgoing, err := e.outgoing(request)
	if err != nil {
		return notRun(reasonBroken)
	}
	e.gateway.atWork.begin(request)
	defer e.gateway.atWork.end(request)
	response, err := e.pool.Do(ctx, outgoing)
	if err != nil {
		return e.failed(ctx, request, err)
	}
	defer response.Body.Close()
	if response.Header.Get(e.gateway.config.Headers.RequestID) != request.ID {
		return e.broken(request, errNoAnswer)
	}
	body, err := readAnswer(response)
	if err != nil {
		return e.cutOff(ctx, request, err)
	}
	return e.judge(request, response, body)
}

// outgoing builds the request for the back end.
func (e *egress) outgoing(request *forwardRequest) (*http.Request, error) {
	target, err := url.ParseRequestURI(request.URI)
	if err != nil {
		return nil, err
	}
	names := &e.gateway.config.Headers
	header := request.Header
	header.Set(names.TargetInstance, incarnation.IDOf(request.Instance))
	left := max(steady.Until(request.Deadline)-answerMargin, time.Millisecond)
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

func readAnswer(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxAnswer {
		return nil, errNoAnswer
	}
	if response.ContentLength > 0 {
		body := make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			return nil, err
		}
		// One more read lets the connection know that the body has ended.
		if _, err := response.Body.Read(make([]byte, 1)); err != io.EOF {
			return nil, errNoAnswer
		}
		return body, nil
	}
	return io.ReadAll(io.LimitReader(response.Body, maxAnswer))
}

// failed classifies an exchange without an answer.
func (e *egress) failed(ctx context.Context, request *forwardRequest, err error) *forwardResult {
	e.gateway.suspect(request.Instance, err)
	if errors.Is(err, upstream.ErrNotSent) {
		return notRun(reasonUnreachable)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &forwardResult{Outcome: outcomeUnknown, Reason: reasonTimeout, Sent: true}
	}
	return e.cutOff(ctx, request, err)
}

// cutOff classifies an exchange whose connection ended before the whole answer was there.
func (e *egress) cutOff(ctx context.Context, request *forwardRequest, err error) *forwardResult {
	result := e.broken(request, err)
	if ctx.Err() != nil || errors.Is(err, errNoAnswer) {
		// The time was over, the caller has left, or the back end answered wrongly.
		return result
	}
	if atWork, ended := e.gateway.endedUnder(request); ended {
		result.Reason, result.AtWork = reasonEnded, atWork
	}
	return result
}

func (e *egress) broken(request *forwardRequest, err error) *forwardResult {
	e.gateway.config.Log.Info("exchange with back end broken off", "request", request.ID, "instance", request.Instance,
		"gateway_stopping", e.gateway.admission.Stopping(), "deadline_in_ms", steady.Until(request.Deadline).Milliseconds(), "error", err)
	return &forwardResult{Outcome: outcomeUnknown, Reason: reasonBroken, Sent: true}
}

// judge says what a whole answer proves.
func (e *egress) judge(request *forwardRequest, response *http.Response, body []byte) *forwardResult {
	names := &e.gateway.config.Headers
	status := response.StatusCode
	if response.Header.Get(names.NotExecuted) != "" || status == http.StatusMisdirectedRequest {
		e.gateway.config.Log.Info("refused by back end", "request", request.ID, "instance", request.Instance, "status", status, "key", request.Key)
		return &forwardResult{Outcome: outcomeNotRun, Reason: reasonRefused, Sent: true}
	}
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	if success && (response.Header.Get(names.Seal) == "" || response.Header.Get("Content-Encoding") != "") {
		return e.broken(request, errNoAnswer)
	}
	return &forwardResult{
		Outcome: outcomeAnswered,
		Sent:    true,
		Status:  status,
		Header:  forwardable(response.Header),
		Body:    body,
	}
}

// refusedConnection says that nothing listens at an address.
func refusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
