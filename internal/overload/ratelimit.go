package overload

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/ratelimit"
)

// Keeps to the rate limit that the back end states, in addition to its slots (see package
// ratelimit).

// ObserveLimit applies what a response of the back end states about its limit, and reports whether
// the statement in force has changed.
func (q *SlotQueue) ObserveLimit(statement ratelimit.Statement, sentAt, now time.Time) (changed bool) {
	return q.limit.Observe(statement, sentAt, now)
}

// StatedLimit returns the back end's statement in force.
func (q *SlotQueue) StatedLimit() ratelimit.Statement { return q.limit.Statement() }
