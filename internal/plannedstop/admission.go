// Package plannedstop decides which work a process may still start during a planned stop
// (graceful shutdown).
//
// A planned stop has an end time, at which the process closes its connections. Work
// that starts during the stop and may last beyond the end would be cut off while a
// back end is processing it, leaving its outcome unknown. It is rejected instead, so
// that the caller knows that it has not run. The package is pure: times are arguments.
package plannedstop

import (
	"sync/atomic"
	"time"
)

// ResponseMargin is the minimum time between the deadline of admitted work and the end of the
// stop. It leaves time to write the response, also one that reports that the deadline has
// passed: one CPU quota period for which the process may be throttled (100 ms), and the write
// itself.
const ResponseMargin = 150 * time.Millisecond

// Admission admits all work until a planned stop begins, and from then on only work that
// ends before the stop does. The zero value is ready for use. It is safe for concurrent use.
type Admission struct {
	// end is nil until a stop has begun. It includes the monotonic clock reading.
	end atomic.Pointer[time.Time]
}

// Begin begins a planned stop that ends at the given time. Later calls have no effect,
// because work may already have been admitted by the first end.
func (a *Admission) Begin(end time.Time) { a.end.CompareAndSwap(nil, &end) }

// Stopping reports whether a planned stop has begun.
func (a *Admission) Stopping() bool { return a.end.Load() != nil }

// Remaining returns the remaining time of the planned stop, or zero if none has begun.
func (a *Admission) Remaining(now time.Time) time.Duration {
	end := a.end.Load()
	if end == nil {
		return 0
	}
	return max(end.Sub(now), 0)
}

// Admits reports whether work with the given deadline may start. A zero deadline
// means none: such work is admitted only while no stop has begun.
func (a *Admission) Admits(deadline time.Time) bool {
	end := a.end.Load()
	if end == nil {
		return true
	}
	return !deadline.IsZero() && !deadline.Add(ResponseMargin).After(*end)
}
