package gateway

import (
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/ratelimit"
)

// observeBackend applies what a response of the local back end states about the back end itself. A
// misdirected request may have been answered by another back end.
func (g *Gateway) observeBackend(request *forwardRequest, response *http.Response, sentAt time.Time) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	g.observeRateLimit(request, response.Header, sentAt)
}

// observeRateLimit applies what a response states about the back end's rate limit. A malformed
// statement leaves the earlier one in force.
func (g *Gateway) observeRateLimit(request *forwardRequest, header http.Header, sentAt time.Time) {
	statement, err := ratelimit.Parse(header.Values(g.config.Headers.RateLimit))
	if err != nil {
		g.metrics.countUnreadable(unreadableLimit)
		g.config.Log.Info("rate limit of the back end is malformed", "request", request.ID, "instance", request.Instance, "error", err)
		return
	}
	if g.slots.observeLimit(statement, sentAt) {
		g.config.Log.Info("rate limit of the back end", "request", request.ID, "instance", request.Instance, "limited", statement.Limited, "per_second", statement.PerSecond)
	}
}

// observeLimit applies what a response of the back end states about its limit, and reports a
// change.
func (g *slotLimiter) observeLimit(statement ratelimit.Statement, sentAt time.Time) (changed bool) {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { changed = queue.ObserveLimit(statement, sentAt, now) })
	return changed
}

// statedLimit returns the back end's statement in force.
func (g *slotLimiter) statedLimit() (statement ratelimit.Statement) {
	g.withQueue(func(queue *overload.SlotQueue, _ time.Time) { statement = queue.StatedLimit() })
	return statement
}

// noRateLimit is the value of the rate limit's gauge if the back end states none.
const noRateLimit = -1

// rateLimitGauge returns the limit in force, in requests per second.
func (g *Gateway) rateLimitGauge() float64 {
	statement := g.slots.statedLimit()
	if !statement.Limited {
		return noRateLimit
	}
	return statement.PerSecond
}
