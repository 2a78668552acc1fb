package gateway

import (
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/ratelimit"
)

// A back end may state a limit of the requests that it takes from all gateways together. Its local
// gateway is its only sender, so it enforces the limit exactly. The other gateways send the limits
// that they have passed on along with their requests, for a local gateway that was restarted and
// does not know the limit yet.

// rateLimitedError means that a back end has got as many requests as the limit allows that it
// states, and that waiting for the next one takes too long.
type rateLimitedError struct {
	// retryAfter is when there may be room for the request.
	retryAfter time.Duration
}

func (e *rateLimitedError) Error() string {
	return "the back end's rate limit is used up for " + e.retryAfter.String()
}

// refusalOf returns why a request gets no slot.
func refusalOf(queue *overload.SlotQueue, wanted demand, now time.Time) error {
	if retryAfter, limited := queue.RefuseByLimit(wanted, now); limited {
		return &rateLimitedError{retryAfter}
	}
	return errNoSlot
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
		g.logRateLimit(request, statement, false)
	}
}

// relayRateLimit applies the limit that the caller's gateway has received from the back end.
func (g *Gateway) relayRateLimit(request *forwardRequest) {
	if request.Limit.Limited && g.slots.relayLimit(request.Limit.PerSecond) {
		g.logRateLimit(request, request.Limit, true)
	}
}

func (g *Gateway) logRateLimit(request *forwardRequest, statement ratelimit.Statement, relayed bool) {
	g.config.Log.Info("rate limit of the back end", "request", request.ID, "instance", request.Instance,
		"limited", statement.Limited, "per_second", statement.PerSecond, "relayed", relayed)
}

// decodeLimit decodes the limit that another gateway has sent along with a request.
func (g *Gateway) decodeLimit(header http.Header) ratelimit.Statement {
	statement, err := ratelimit.Parse(header.Values(fieldLimit))
	if err != nil {
		g.metrics.countUnreadable(unreadableLimit)
	}
	return statement
}

// observeLimit applies what a response of the back end states about its limit, and reports a
// change.
func (g *slotLimiter) observeLimit(statement ratelimit.Statement, sentAt time.Time) (changed bool) {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { changed = queue.ObserveLimit(statement, sentAt, now) })
	return changed
}

// relayLimit applies a limit that another gateway has received from the back end, and reports a
// change.
func (g *slotLimiter) relayLimit(perSecond float64) (changed bool) {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { changed = queue.RelayLimit(perSecond, now) })
	return changed
}

// statedLimit returns the back end's statement in force.
func (g *slotLimiter) statedLimit() (statement ratelimit.Statement) {
	g.withQueue(func(queue *overload.SlotQueue, _ time.Time) { statement = queue.StatedLimit() })
	return statement
}

// limitedSlots returns how many slots the back end's limit lets it use on average, zero if it states
// none.
func (g *slotLimiter) limitedSlots() (slots float64) {
	g.withQueue(func(queue *overload.SlotQueue, _ time.Time) { slots = queue.LimitedSlots() })
	return slots
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

// limitRefusals collects the refusals of one request because of rate limits.
type limitRefusals struct {
	count int
	// earliest is when the first of the instances may have room.
	earliest time.Duration
}

// add records the result of an attempt.
func (r *limitRefusals) add(result *forwardResult) {
	if result.Reason != reasonRateLimited {
		return
	}
	if r.count == 0 || result.RetryAfter < r.earliest {
		r.earliest = result.RetryAfter
	}
	r.count++
}

// final reports whether a request that was just refused because of a rate limit is refused at once:
// no other instance is left, or the next one has no room for limitWait either. The result then says
// when the first of those that were asked may have room.
func (r *limitRefusals) final(result *forwardResult, limitWait time.Duration, anotherLeft bool) bool {
	if result.Reason != reasonRateLimited || anotherLeft && limitWait == 0 {
		return false
	}
	result.RetryAfter = r.earliest
	return true
}
