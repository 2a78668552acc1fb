package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/httpserver"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/quarantine"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

const (
	// defaultDeadline applies if a caller states no deadline.
	defaultDeadline = 30 * time.Second
	// deadlineMargin is the part of a caller's deadline that is reserved for returning the
	// response.
	deadlineMargin = 5 * time.Millisecond
	// defaultMaxBody bounds request bodies if the configuration sets no limit.
	defaultMaxBody = 64 << 20
)

// call is one request of a caller and the attempts at it.
type call struct {
	request *http.Request
	body    []byte
	id      string
	// key is the request's key, and hasKey is set if the service uses keys and the request
	// names a valid one.
	key     keyspace.Key
	hasKey  bool
	route   *routeconfig.Route
	service *routeconfig.Service
	// tenant is nil for anonymous requests.
	tenant *routeconfig.Tenant
	began  time.Time
	// firstAttempt is when the caller first sent the request, as far as that is known.
	firstAttempt time.Time
	deadline     time.Time
	// limitedByRoute is set if the deadline comes from the route's timeout.
	limitedByRoute bool
	// possiblyRun is the last result whose request may have run.
	possiblyRun *forwardResult
	// attempts are recorded for the log.
	attempts []attemptRecord

	digestOnce  sync.Once
	digestValue quarantine.Digest
}

// digest identifies requests with the same content. The back ends' local gateways compute the
// same digest.
func (c *call) digest() quarantine.Digest {
	c.digestOnce.Do(func() {
		content := quarantine.Request{Service: c.service.Name, Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI, Body: c.body}
		if c.hasKey {
			content.Key = strconv.FormatUint(uint64(c.key), 10)
		}
		c.digestValue = content.Digest()
	})
	return c.digestValue
}

// due is the time until which the response meets the route's target. It is never after the
// deadline: the timeout of a route may be shorter than its target, and a request that waited
// for a slot until the target would be cut off while it runs.
func (c *call) due() time.Time {
	due := c.firstAttempt.Add(c.route.TargetLatency)
	if c.deadline.Before(due) {
		return c.deadline
	}
	return due
}

// callerHandler handles the requests of callers.
func (g *Gateway) callerHandler(w http.ResponseWriter, r *http.Request) {
	g.activeCallers.Add(1)
	defer g.activeCallers.Add(-1)
	g.closeWhileStopping(w, r)
	began := steady.Reading()
	g.lastCaller.Store(steady.At(began))
	v := g.views.load()
	route := v.findRoute(r)
	if why := g.checkCallerRequest(r, v, route, began); why != reasonNone {
		g.metrics.request("", outcomeNotRun, why)
		g.writeRefusal(w, r, why, retryAfter(notRun(why)), nil)
		return
	}
	if route == nil {
		g.metrics.request("", outcomeNotRun, reasonNoRoute)
		g.config.Log.Info("no route", g.requestFields(r)...)
		http.Error(w, string(reasonNoRoute), http.StatusNotFound)
		return
	}
	tenant, ok := g.authenticate(w, r, v, route)
	if !ok {
		return
	}
	c := g.newCall(r, v, route, began)
	c.tenant = tenant
	if !g.admission.Admits(c.deadline) {
		g.metrics.request(c.service.Name, outcomeNotRun, reasonStopping)
		g.writeRefusal(w, r, reasonStopping, retryAfter(g.refuseStopping()), nil)
		return
	}
	body, err := readRequestBody(w, r, g.callerBodies, maxBodyBytes(v), c.deadline)
	if err != nil {
		g.refuseBody(w, c, err)
		return
	}
	defer body.release()
	c.body = body.content
	g.budgets.countRequest(c.service.Name, steady.At(began))
	ctx, cancel := context.WithTimeout(r.Context(), steady.Until(c.deadline))
	defer cancel()
	token, refusal := g.takeToken(ctx, tenant, route.TargetLatency)
	if refusal != nil {
		g.refuseOverQuota(w, c, refusal)
		return
	}
	result := g.serveWithRetries(ctx, c)
	c.body = nil
	body.release()
	if result.Outcome == outcomeNotRun {
		g.returnToken(token)
	}
	defer result.Stream.close()
	g.held.add(result.bodySize())
	defer g.held.add(-result.bodySize())
	g.respond(w, c, result)
}

// checkCallerRequest returns why a caller's request is refused before its body is read, or
// reasonNone. Route is nil if no route of the view matches the request.
func (g *Gateway) checkCallerRequest(r *http.Request, v *view, route *routeconfig.Route, now time.Time) reason {
	switch {
	case g.held.full():
		return reasonNoMemory
	case v.table == nil:
		return reasonNoConfiguration
	case !g.session.configurationLease.valid(now):
		// Another configuration with other routes may have been in force for long.
		return reasonStaleConfiguration
	case route != nil && !route.Repetition.MayRepeat() && httpserver.MayRunConcurrently(r):
		// The route has changed since the request was accepted as one that may run twice.
		return reasonRouteChanged
	}
	return reasonNone
}

// maxBodyBytes returns the length in bytes of the longest request body that a view allows.
func maxBodyBytes(v *view) int64 {
	if limit := v.table.Document().Limits.MaxBodyBytes; limit > 0 {
		return limit
	}
	return defaultMaxBody
}

// newCall returns the call of a request whose body is still to be read.
func (g *Gateway) newCall(r *http.Request, v *view, route *routeconfig.Route, began time.Time) *call {
	c := &call{
		request: r,
		id:      r.Header.Get(g.config.Headers.RequestID),
		route:   route,
		service: v.table.Service(route.Pick(rand.Float64())),
		began:   began,
	}
	c.key, c.hasKey = parseKey(r.Header.Get(g.config.Headers.Key))
	c.hasKey = c.hasKey && c.service.Keyed
	wait, ok := parseMilliseconds(r.Header.Get(g.config.Headers.Deadline))
	if !ok {
		wait = defaultDeadline
	}
	c.firstAttempt = began
	if ok {
		c.firstAttempt = began.Add(-g.firstAttempts.age(route.Name, wait))
	}
	c.deadline = began.Add(wait - deadlineMargin)
	if limit := began.Add(route.Timeout); limit.Before(c.deadline) {
		c.deadline, c.limitedByRoute = limit, true
	}
	return c
}

// respond writes the final response to a request.
func (g *Gateway) respond(w http.ResponseWriter, c *call, result *forwardResult) {
	body, result := g.beginAnswer(c.request.Context(), c.deadline, result)
	defer body.end()
	took := steady.Elapsed(c.began)
	if c.request.Context().Err() != nil {
		g.metrics.callerLeft(c.service.Name)
		// Returning would send an empty success, which a caller that has closed only its own
		// side of the connection could read.
		panic(http.ErrAbortHandler)
	}
	g.metrics.requestFinished(c, result, took)
	switch result.Outcome {
	case outcomeAnswered:
		g.logResponse(c, result, took)
		header := w.Header()
		for name, values := range result.Header {
			header[name] = values
		}
		if result.Stream != nil {
			g.streamResponse(w, c, result, body)
			return
		}
		writeResponseHeader(w, result.Status, len(result.Body))
		if body.write(c.request.Context(), w, result.Body) {
			body.delivered(result.linkReservation)
		}
		return
	case outcomeNotRun:
		g.writeRefusal(w, c.request, result.Reason, retryAfter(result), c.attempts)
	default:
		status := http.StatusBadGateway
		if result.Reason == reasonTimeout {
			status = http.StatusGatewayTimeout
		}
		g.logFailure(c.request, status, result.Reason, 0, c.attempts)
		http.Error(w, string(result.Reason), status)
	}
}

const (
	// retryAfterOutage is the Retry-After time while a leader, an owner or an instance is
	// being replaced. Callers that come back sooner use up their retries before the
	// replacement is over.
	retryAfterOutage = 600 * time.Millisecond
	// minRetryWhenFull is the shortest Retry-After time for a back end without capacity, and
	// retryServiceTimes the same in service times of the back end.
	minRetryWhenFull  = 300 * time.Millisecond
	retryServiceTimes = 3
	// retryJitter spreads the return of callers if it is known when the gateway can serve
	// again.
	retryJitter = 200 * time.Millisecond
	// maxRetryAfter bounds Retry-After: the load half a minute ahead can't be predicted.
	maxRetryAfter = 30 * time.Second
)

// retryAfter returns when a refused request should come back, with jitter so that callers come
// back at different times. A caller whose turn comes only after its deadline gets that time and
// can go elsewhere. Sending callers a third of their remaining time instead made them come back
// together, and none of them found capacity.
func retryAfter(result *forwardResult) time.Duration {
	base := retryAfterOutage
	switch result.Reason {
	case reasonStopping, reasonOwnerLost:
		base = retryJitter
	case reasonRateLimited:
		base = retryJitter
	case reasonNoSlot:
		base = max(minRetryWhenFull, retryServiceTimes*result.Load.serviceTime)
	case reasonLinkFull:
		// The link's present backlog has been sent by then.
		base = max(minRetryWhenFull, result.Load.linkBacklog)
	}
	return min(result.RetryAfter+base/2+time.Duration(rand.Float64()*float64(base)), maxRetryAfter)
}

// writeRefusal responds to a request that has not run and will not run.
func (g *Gateway) writeRefusal(w http.ResponseWriter, r *http.Request, why reason, after time.Duration, attempts []attemptRecord) {
	g.writeRefusalStatus(w, r, http.StatusServiceUnavailable, why, after, attempts)
}
