package agent

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// hopHeaders are about one connection and not passed on (RFC 9110, section
// 7.6.1).
var hopHeaders = map[string]bool{
	"Connection":          true,
	"Expect":              true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	// The body's length and digest are each hop's own.
	"Content-Length":    true,
	wire.TrailerDigest:  true,
	wire.HeaderOutcome:  true,
	wire.HeaderReason:   true,
	wire.HeaderDeadline: true,
	wire.HeaderRevision: true,
}

// copyHeader adds the end-to-end headers of one message to another.
func copyHeader(to, from http.Header) {
	named := from["Connection"]
	for name, values := range from {
		if !hopHeaders[name] && !isNamed(named, name) {
			to[name] = values
		}
	}
}

// isNamed says that a Connection header lists the name.
func isNamed(connection []string, name string) bool {
	for _, list := range connection {
		for option := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}

// run waits for a slot, sends the request once and releases its answer.
func (agent *Agent) run(ctx context.Context, w http.ResponseWriter, r *http.Request, parsed request, shard *served, body *requestBody) result {
	slot, err := agent.gate.Acquire(ctx, agent.slotRequest(ctx, parsed))
	if err != nil {
		return refusedResult(gateRefusal(err))
	}
	if err := agent.stillOwns(parsed); err != nil {
		slot.Release()
		return refusedResult(fenceRefusal(err))
	}
	started := agent.now()
	defer func() {
		took := agent.now() - started
		shard.used(took)
		agent.counts.slotTime.WithLabelValues(className(parsed.class)).Observe(took.Seconds())
	}()
	return agent.exchange(ctx, w, r, parsed, body, slot.Release)
}

func className(class topology.RequestClass) string {
	if class == topology.ClassBulk {
		return classBulk
	}
	return "lookup"
}

func (agent *Agent) slotRequest(ctx context.Context, parsed request) admission.Request {
	wanted := admission.Request{
		Service: topology.ServiceID(agent.service.Load()),
		Caller:  parsed.caller,
		Class:   admission.ClassOf(parsed.class, parsed.nonRepeatable),
	}
	if deadline, ok := ctx.Deadline(); ok {
		wanted.Deadline = deadline.Sub(agent.start)
	}
	return wanted
}

// exchange sends the request and deals with its answer. Ended is called once,
// when the back end has ended with the request.
func (agent *Agent) exchange(ctx context.Context, w http.ResponseWriter, r *http.Request, parsed request, body *requestBody, ended func()) result {
	watched := parsed.class == topology.ClassLookup
	started := agent.now()
	if watched {
		agent.fitness.sent(started)
	}
	response, err := agent.requests.DoNotify(ctx, outgoing(ctx, r, body, parsed.served), ended)
	if watched {
		agent.fitness.settled()
	}
	if err != nil {
		return refusedResult(agent.exchangeRefusal(ctx, parsed, err, agent.now()-started))
	}
	defer response.Body.Close()
	if response.Header.Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun) {
		return refusedResult(agent.backendRefusal(parsed, response))
	}
	relayed := agent.relay(w, r, parsed, response)
	agent.judge(parsed, response.StatusCode, relayed, agent.now()-started)
	return relayed
}

// judge tells what the exchange says of the back end's fitness.
func (agent *Agent) judge(parsed request, status int, ended result, took time.Duration) {
	now := agent.now()
	switch {
	case ended.broken || status >= http.StatusInternalServerError:
		agent.fitness.failed(now, parsed.source())
	case ended.ran:
		agent.fitness.succeeded(now, took)
	}
}

// outgoing is the request as the back end gets it: the same, with what is left
// of the deadline and the epoch that the back end knows its shard by.
func outgoing(ctx context.Context, r *http.Request, body *requestBody, shard *served) *http.Request {
	sent := &http.Request{
		Method: r.Method,
		URL:    &url.URL{Scheme: "http", Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Host:   r.Host,
		Header: make(http.Header, len(r.Header)),
	}
	copyHeader(sent.Header, r.Header)
	if r.Header.Get(wire.HeaderShard) != "" {
		sent.Header.Set(wire.HeaderEpoch, strconv.FormatUint(shard.granted.Load(), decimal))
	}
	if _, set := sent.Header["User-Agent"]; !set {
		sent.Header["User-Agent"] = []string{""} // none, instead of Go's own
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		sent.Header.Set(wire.HeaderDeadline, strconv.FormatInt(left, decimal))
	}
	if reader := body.reader(); reader != nil {
		sent.Body = reader
		sent.ContentLength = body.length
	}
	return sent
}

// exchangeRefusal answers a request that got no answer.
func (agent *Agent) exchangeRefusal(ctx context.Context, parsed request, err error, took time.Duration) *refusal {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded)
	notSent := errors.Is(err, upstream.ErrNotSent)
	switch {
	case notSent && expired:
		return notRun(http.StatusGatewayTimeout, wire.ReasonExpired, err.Error())
	case notSent && ctx.Err() == nil:
		agent.fitness.failed(agent.now(), parsed.source())
		fallthrough
	case notSent:
		answer := notRun(http.StatusServiceUnavailable, wire.ReasonUnreachable, err.Error())
		answer.retryAfter = time.Second
		return answer
	}
	agent.unanswered.note(parsed.served)
	switch {
	case expired:
		agent.fitness.timedOut(agent.now(), took, parsed.source())
		return unknown(http.StatusGatewayTimeout, wire.ReasonTimedOut, err.Error())
	case ctx.Err() == nil:
		agent.fitness.failed(agent.now(), parsed.source())
	}
	return unknown(http.StatusBadGateway, wire.ReasonInterrupted, err.Error())
}

// backendRefusal passes on that the back end did not run the request.
func (agent *Agent) backendRefusal(parsed request, response *http.Response) *refusal {
	switch response.StatusCode {
	case http.StatusPreconditionFailed:
		return notRun(http.StatusMisdirectedRequest, wire.ReasonNoLease, "the back end's fence refused the request")
	case http.StatusServiceUnavailable:
		agent.fitness.failed(agent.now(), parsed.source())
		answer := notRun(http.StatusServiceUnavailable, wire.ReasonShed, "the back end shed the request")
		answer.retryAfter = time.Second
		return answer
	}
	return notRun(response.StatusCode, wire.ReasonInvalid, "the back end did not run the request")
}
