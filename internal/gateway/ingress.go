package gateway

import (
	"context"
	"errors"
	"io"
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
	// defaultDeadline stands where a caller states none.
	defaultDeadline = 30 * time.Second
	// deadlineMargin is kept of a caller's deadline for the way back.
	deadlineMargin = 5 * time.Millisecond
	// defaultMaxBody bounds request bodies before the first configuration.
	defaultMaxBody = 64 << 20
)

// call is one request of a caller.
type call struct {
	request *http.Request
	body    []byte
	id      string
	// key is the request's, where its service has keys and it tells one.
	key     keyspace.Key
	hasKey  bool
	route   *routeconfig.Route
	service *routeconfig.Service
	began   time.Time
	// firstTry is when its caller tried first, as far as that is known.
	firstTry time.Time
	deadline time.Time
	// timesOut says that the deadline is the route's timeout.
	timesOut bool
	// mayHaveRun is the last result that is not proof of the contrary.
	mayHaveRun *forwardResult
	// tries that were made, for the log.
	tries []tryRecord

	digestOnce sync.Once
	digested   quarantine.Digest
}

// digest names the request among others. It is the one that gateways beside back ends find.
func (c *call) digest() quarantine.Digest {
	c.digestOnce.Do(func() {
		same := quarantine.Request{Service: c.service.Name, Method: c.request.Method, Host: c.request.Host, Target: c.request.RequestURI, Body: c.body}
		if c.hasKey {
			same.Key = strconv.FormatUint(uint64(c.key), 10)
		}
		c.digested = same.Digest()
	})
	return c.digested
}

// due is until when the answer is worth most. A route may hold its requests for less than
// their target: one that waited for a slot until the target would then be cut off as it runs.
func (c *call) due() time.Time {
	due := c.firstTry.Add(c.route.TargetLatency)
	if c.deadline.Before(due) {
		return c.deadline
	}
	return due
}

// callerHandler takes requests of callers.
func (g *Gateway) callerHandler(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	g.closeWhileStopping(w, r)
	began := steady.Reading()
	g.lastCaller.Store(steady.At(began))
	v := g.views.load()
	route := v.find(r)
	if why := g.refusesCaller(r, v, route, began); why != reasonNone {
		g.metrics.request("", outcomeNotRun, why)
		g.refuse(w, r, why, retryAfter(notRun(why)), nil)
		return
	}
	if route == nil {
		g.metrics.request("", outcomeNotRun, reasonNoRoute)
		g.config.Log.Info("no route", g.requestFields(r)...)
		http.Error(w, string(reasonNoRoute), http.StatusNotFound)
		return
	}
	c, status := g.newCall(w, r, v, route, began)
	if c == nil {
		http.Error(w, "request body not read", status)
		return
	}
	if !g.admission.Admits(c.deadline) {
		g.metrics.request(c.service.Name, outcomeNotRun, reasonStopping)
		g.refuse(w, r, reasonStopping, retryAfter(g.refuseStopping()), nil)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), steady.Until(c.deadline))
	defer cancel()
	g.held.add(len(c.body))
	result := g.run(ctx, c)
	defer result.Stream.close()
	g.held.add(result.size())
	defer g.held.add(-len(c.body) - result.size())
	g.answer(w, c, result)
}

// refusesCaller says why a caller's request is refused before it is read, reasonNone where
// it is not. Route is nil where the view has none for it.
func (g *Gateway) refusesCaller(r *http.Request, v *view, route *routeconfig.Route, now time.Time) reason {
	switch {
	case g.held.full():
		return reasonNoMemory
	case v.table == nil:
		return reasonNoConfiguration
	case !g.session.vouched.holds(now):
		// Another configuration may have been in force for long, with other routes.
		return reasonOutdated
	case route != nil && !route.Repetition.MayRepeat() && httpserver.MayRunBeside(r):
		// The route has changed since the request was taken for one that may run twice.
		return reasonRouteChanged
	}
	return reasonNone
}

// newCall reads a request, or returns the status of its refusal.
func (g *Gateway) newCall(w http.ResponseWriter, r *http.Request, v *view, route *routeconfig.Route, began time.Time) (*call, int) {
	limit := v.table.Document().Limits.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	var body []byte
	if r.ContentLength != 0 {
		var err error
		if body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit)); err != nil {
			var tooLarge *http.MaxBytesError
			if errors.As(err, &tooLarge) {
				return nil, http.StatusRequestEntityTooLarge
			}
			return nil, http.StatusBadRequest
		}
	}
	c := &call{
		request: r,
		body:    body,
		id:      r.Header.Get(g.config.Headers.RequestID),
		route:   route,
		service: v.table.Service(route.Pick(rand.Float64())),
		began:   began,
	}
	c.key, c.hasKey = parseKey(r.Header.Get(g.config.Headers.Key))
	c.hasKey = c.hasKey && c.service.Keyed
	waits, ok := parseMilliseconds(r.Header.Get(g.config.Headers.Deadline))
	if !ok {
		waits = defaultDeadline
	}
	c.firstTry = began
	if ok {
		c.firstTry = began.Add(-g.firstTries.age(route.Name, waits))
	}
	c.deadline = began.Add(waits - deadlineMargin)
	if limit := began.Add(route.Timeout); limit.Before(c.deadline) {
		c.deadline, c.timesOut = limit, true
	}
	g.budgets.request(c.service.Name, steady.At(began))
	return c, 0
}

// answer writes the final answer of a request.
func (g *Gateway) answer(w http.ResponseWriter, c *call, result *forwardResult) {
	took := steady.Elapsed(c.began)
	if c.request.Context().Err() != nil {
		g.metrics.callerLeft(c.service.Name)
		// A return would end in an empty success, which a caller that closed only
		// its own side of the connection could read.
		panic(http.ErrAbortHandler)
	}
	g.metrics.answered(c, result, took)
	switch result.Outcome {
	case outcomeAnswered:
		g.logAnswer(c, result, took)
		header := w.Header()
		for name, values := range result.Header {
			header[name] = values
		}
		if result.Stream != nil {
			g.streamAnswer(w, c, result)
			return
		}
		if g.writeAnswer(c.request.Context(), w, result.Status, result.Body) {
			g.pacer.sent(result.kept)
		}
		return
	case outcomeNotRun:
		g.refuse(w, c.request, result.Reason, retryAfter(result), c.tries)
	default:
		status := http.StatusBadGateway
		if result.Reason == reasonTimeout {
			status = http.StatusGatewayTimeout
		}
		g.logFailure(c.request, status, result.Reason, 0, c.tries)
		http.Error(w, string(result.Reason), status)
	}
}

const (
	// retryOutage is when to come back where something is being replaced: a
	// leader, an owner, an instance. Callers that come back sooner spend their
	// repeats before it is over.
	retryOutage = 600 * time.Millisecond
	// retryRoom is when to come back at the earliest to a full back end, and
	// retryServices in how many of its service times.
	retryRoom     = 300 * time.Millisecond
	retryServices = 3
	// retrySpread is around when callers come back whose gateway is known to serve
	// again at a certain time.
	retrySpread = 200 * time.Millisecond
	// longestRetry bounds what a caller is told: nobody knows the load of half a minute
	// later.
	longestRetry = 30 * time.Second
)

// retryAfter says when a refused request should come back, at different times
// for different callers. Where its turn is after the caller has left, it is told so, and
// can go elsewhere. Told a third of the time that they had left instead, callers came
// back together, and none of them found room.
func retryAfter(result *forwardResult) time.Duration {
	base := retryOutage
	switch result.Reason {
	case reasonStopping, reasonOwnerLost:
		base = retrySpread
	case reasonNoRoom:
		base = max(retryRoom, retryServices*result.Load.serviceTime)
	case reasonLinkFull:
		// What the link has to send now is through by then.
		base = max(retryRoom, result.Load.linkBacklog)
	}
	return min(result.RetryAfter+base/2+time.Duration(rand.Float64()*float64(base)), longestRetry)
}

// refuse answers a request that has not run and will not.
func (g *Gateway) refuse(w http.ResponseWriter, r *http.Request, why reason, after time.Duration, tries []tryRecord) {
	g.logFailure(r, http.StatusServiceUnavailable, why, after, tries)
	w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	http.Error(w, string(why), http.StatusServiceUnavailable)
}
