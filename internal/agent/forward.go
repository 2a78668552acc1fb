package agent

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// hopByHopHeaders concern a single connection and are not forwarded (RFC 9110,
// section 7.6.1).
var hopByHopHeaders = map[string]bool{
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
	// Each hop sets the body's length and digest, and the project's own
	// headers, itself.
	"Content-Length":    true,
	wire.TrailerDigest:  true,
	wire.HeaderOutcome:  true,
	wire.HeaderReason:   true,
	wire.HeaderDeadline: true,
	wire.HeaderRevision: true,
	wire.HeaderSending:  true,
}

// copyHeader copies the end-to-end headers of one message to another.
func copyHeader(to, from http.Header) {
	named := from["Connection"]
	for name, values := range from {
		if !hopByHopHeaders[name] && !listsOption(named, name) {
			to[name] = values
		}
	}
}

// listsOption reports whether a Connection header lists the name.
func listsOption(connection []string, name string) bool {
	for _, list := range connection {
		for option := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}

// forward waits for a slot, sends the request once and releases the answer.
func (agent *Agent) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, parsed request, shard *servedShard, body *requestBody) result {
	slot, err := agent.gate.Acquire(ctx, agent.slotRequest(ctx, parsed))
	if err != nil {
		return refusedResult(slotRefusal(err))
	}
	if err := agent.checkOwned(parsed); err != nil {
		slot.Release()
		return refusedResult(ownershipRefusal(err))
	}
	started := agent.now()
	defer func() {
		took := agent.now() - started
		shard.addSlotTime(took)
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

// exchange sends the request and handles the answer. It calls onEnd once, when
// the back end has finished with the request.
func (agent *Agent) exchange(ctx context.Context, w http.ResponseWriter, r *http.Request, parsed request, body *requestBody, onEnd func()) result {
	isLookup := parsed.class == topology.ClassLookup
	started := agent.now()
	if isLookup {
		agent.fitness.lookupSent(started)
	}
	response, err := agent.sendRequest(ctx, parsed, backendRequest(ctx, r, body, parsed.admittedTo), onEnd)
	if isLookup {
		agent.fitness.lookupDone()
	}
	if err != nil {
		return refusedResult(agent.exchangeRefusal(ctx, parsed, err, agent.now()-started))
	}
	defer response.Body.Close()
	if response.Header.Get(wire.HeaderOutcome) == string(wire.OutcomeNotRun) {
		if parsed.nonRepeatable {
			agent.refusedIDs.Add(parsed.id.String(), steady.Now().Add(cmp.Or(agent.config.Record.Retention, requestrecord.DefaultRetention)), steady.Now())
		}
		return refusedResult(agent.backendRefusal(parsed, response))
	}
	relayed := agent.relay(w, r, parsed, response)
	agent.recordExchange(parsed, response.StatusCode, relayed, agent.now()-started)
	return relayed
}

// isSurplusAnswer reports whether an answer repeats the number of another sending, and counts such answers.
func (agent *Agent) isSurplusAnswer(sent *http.Request, answer *http.Response) bool {
	repeated := answer.Header.Get(wire.HeaderSending)
	if repeated == "" || repeated == sent.Header.Get(wire.HeaderSending) {
		return false
	}
	agent.counts.surplusAnswers.Add(1)
	return true
}

// sendRequest sends a request, and returns the answer to just this sending: a back end may answer twice. The
// number that an answer repeats tells which sending it is to (isSurplusAnswer). Not all back ends repeat it,
// so a request that must not run twice is sent again only over a connection that has not carried it.
func (agent *Agent) sendRequest(ctx context.Context, parsed request, outgoing *http.Request, onEnd func()) (*http.Response, error) {
	number := strconv.FormatUint(agent.sendings.Add(1), decimal)
	outgoing.Header.Set(wire.HeaderSending, number)
	exchange := agent.requests.DoNotify
	if parsed.nonRepeatable && agent.refusedIDs.Has(parsed.id.String(), steady.Now()) {
		exchange = agent.requests.DoNotifyOnNewConnection
	}
	return exchange(ctx, outgoing, onEnd)
}

// recordExchange records what the result of an exchange says about the back
// end's fitness.
func (agent *Agent) recordExchange(parsed request, status int, ended result, took time.Duration) {
	now := agent.now()
	switch {
	case ended.answerBroken || status >= http.StatusInternalServerError:
		agent.fitness.failed(now, parsed.source())
	case ended.ran:
		agent.fitness.succeeded(now, took)
	}
}

// backendRequest returns the request to send to the back end: the router's,
// with the remaining time until the deadline and the epoch at which the back
// end was granted the shard.
func backendRequest(ctx context.Context, r *http.Request, body *requestBody, shard *servedShard) *http.Request {
	sent := &http.Request{
		Method: r.Method,
		URL:    &url.URL{Scheme: "http", Host: r.Host, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Host:   r.Host,
		Header: make(http.Header, len(r.Header)),
	}
	copyHeader(sent.Header, r.Header)
	if r.Header.Get(wire.HeaderShard) != "" {
		sent.Header.Set(wire.HeaderEpoch, strconv.FormatUint(shard.grantedEpoch.Load(), decimal))
	}
	if _, set := sent.Header["User-Agent"]; !set {
		sent.Header["User-Agent"] = []string{""} // suppresses Go's default
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

// exchangeRefusal returns the response to a request that the back end did not
// answer.
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
	agent.unanswered.add(parsed.admittedTo)
	switch {
	case expired:
		agent.fitness.timedOut(agent.now(), took, parsed.source())
		return unknown(http.StatusGatewayTimeout, wire.ReasonTimedOut, err.Error())
	case ctx.Err() == nil:
		agent.fitness.failed(agent.now(), parsed.source())
	}
	return unknown(http.StatusBadGateway, wire.ReasonInterrupted, err.Error())
}

// backendRefusal returns the response to a request that the back end refused to
// run.
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
