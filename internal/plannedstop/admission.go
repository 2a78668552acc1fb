// Package plannedstop says which work a process may still begin while it stops
// as planned.
//
// A planned stop has an end, at which the process closes its connections. Work
// that is begun during the stop and may last beyond that end would be cut off
// while a back end is at it, so that nobody knows whether it ran. It is refused
// instead, with proof that it has not run. The package is pure: times are
// arguments.
package plannedstop

import (
	"sync/atomic"
	"time"
)

// AnswerMargin is kept between the latest deadline of admitted work and the end
// of the stop, for the answer to be written, also where it says that the
// deadline has passed: one pause of a processor quota (100 ms), and the writing.
const AnswerMargin = 150 * time.Millisecond

// Admission admits all work until a planned stop begins, and from then on what
// ends before the stop does. The zero value is ready. It may be used by many
// goroutines.
type Admission struct {
	// end is nil until a stop has begun. It keeps the monotonic reading.
	end atomic.Pointer[time.Time]
}

// Begin begins a planned stop that ends at the given time. A later call has no
// effect: an end that was announced stays.
func (a *Admission) Begin(end time.Time) { a.end.CompareAndSwap(nil, &end) }

// Stopping says that a planned stop has begun.
func (a *Admission) Stopping() bool { return a.end.Load() != nil }

// Left is how long a stop that has begun lasts on; zero where none has begun.
func (a *Admission) Left(now time.Time) time.Duration {
	end := a.end.Load()
	if end == nil {
		return 0
	}
	return max(end.Sub(now), 0)
}

// Admits says whether work may begin that ends by its deadline at the latest.
// The zero deadline is none: such work is admitted only while no stop has begun.
func (a *Admission) Admits(deadline time.Time) bool {
	end := a.end.Load()
	if end == nil {
		return true
	}
	return !deadline.IsZero() && !deadline.Add(AnswerMargin).After(*end)
}
