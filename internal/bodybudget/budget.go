// Package bodybudget bounds the bytes of request bodies that a process holds. The bytes of a body
// are reserved before they are read. What does not fit is refused, with the time after which it
// may fit. The package is pure: the time is an argument of every call.
package bodybudget

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

const (
	// endStep is the resolution of the latest ends of reservations.
	endStep = 100 * time.Millisecond
	// holdTimeWeight is the weight of the newest reservation in the average hold time.
	holdTimeWeight = 0.125
)

// FullError reports that a body does not fit.
type FullError struct {
	// Bytes were asked for.
	Bytes int64
	// RetryAfter is the time after which they may fit.
	RetryAfter time.Duration
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("no memory for a request body of %d bytes for %v", e.Bytes, e.RetryAfter)
}

// Budget bounds the bytes that are reserved at a time. One body that is larger than the bound is
// admitted while nothing else is reserved, so that no body is refused for ever. It is safe for
// concurrent use.
type Budget struct {
	// limit is the bound in bytes; zero is none.
	limit int64

	mutex    sync.Mutex
	reserved int64
	// ending has the reserved bytes by the step in which their requests end at the latest.
	ending map[int64]int64
	// holdTime is the average time for which a reservation lasts; zero until the first one ends.
	holdTime time.Duration
}

// New returns a budget with a bound in bytes; zero or less is none.
func New(limit int64) *Budget { return &Budget{limit: max(limit, 0), ending: map[int64]int64{}} }

// Reservation is the reserved bytes of one body. Its methods must not be called concurrently.
type Reservation struct {
	budget *Budget
	bytes  int64
	began  steady.Instant
	// endsIn is the step in which the request ends at the latest.
	endsIn int64
}

// Reserve reserves bytes for a request that ends at a time at the latest, or returns a *FullError.
func (b *Budget) Reserve(bytes int64, end, now steady.Instant) (*Reservation, error) {
	reservation := &Reservation{budget: b, began: now, endsIn: stepOf(end)}
	if err := reservation.Grow(bytes, now); err != nil {
		return nil, err
	}
	return reservation, nil
}

// stepOf returns the first step that ends at or after a time.
func stepOf(end steady.Instant) int64 {
	return int64((end + steady.Instant(endStep) - 1) / steady.Instant(endStep))
}

// Grow reserves further bytes, or returns a *FullError and leaves the reservation as it is.
func (r *Reservation) Grow(bytes int64, now steady.Instant) error {
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	alone := b.reserved == r.bytes
	if b.limit > 0 && !alone && b.reserved+bytes > b.limit {
		return &FullError{Bytes: bytes, RetryAfter: b.retryAfter(bytes, now)}
	}
	r.add(bytes)
	return nil
}

// Shrink gives a part of the bytes back.
func (r *Reservation) Shrink(bytes int64) {
	r.budget.mutex.Lock()
	defer r.budget.mutex.Unlock()
	r.add(-min(bytes, r.bytes))
}

// Release gives all bytes back. Further calls have no effect.
func (r *Reservation) Release(now steady.Instant) {
	b := r.budget
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if r.bytes == 0 {
		return
	}
	r.add(-r.bytes)
	b.observeHoldTime(now.Sub(r.began))
}

// add changes the reserved bytes. The caller has the budget's mutex.
func (r *Reservation) add(bytes int64) {
	b := r.budget
	r.bytes += bytes
	b.reserved += bytes
	if b.ending[r.endsIn] += bytes; b.ending[r.endsIn] == 0 {
		delete(b.ending, r.endsIn)
	}
}

// observeHoldTime adds a hold time to the average. The caller has the mutex.
func (b *Budget) observeHoldTime(held time.Duration) {
	if b.holdTime == 0 {
		b.holdTime = held
		return
	}
	b.holdTime += time.Duration(holdTimeWeight * float64(held-b.holdTime))
}

// retryAfter returns when bytes that do not fit now may fit: after the average hold time, and at
// the latest once enough of the requests have ended. The caller has the mutex.
func (b *Budget) retryAfter(bytes int64, now steady.Instant) time.Duration {
	left := b.reserved
	latest := time.Duration(0)
	for _, step := range slices.Sorted(maps.Keys(b.ending)) {
		if left == 0 || left+bytes <= b.limit {
			break
		}
		left -= b.ending[step]
		latest = max(steady.Instant(step*int64(endStep)).Sub(now), 0)
	}
	if b.holdTime == 0 {
		return latest
	}
	return min(latest, b.holdTime)
}

// Reserved returns the reserved bytes.
func (b *Budget) Reserved() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.reserved
}
