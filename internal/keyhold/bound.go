// Package keyhold computes an upper bound on how long a back end may hold keys, from the grants
// that it was sent and its responses. It does no I/O and reads no clock: readings of the
// sender's clock go in.
//
// A back end counts the duration of a grant from its arrival, which the sender doesn't know: if
// the sender is suspended between creating a grant and sending it, the grant arrives later by
// that time. So the keys never count as free while a grant is in flight, and its duration
// counts from its response. That the back end seems to have crashed changes nothing: one that
// refuses connections may still run, and what it holds expires by itself.
package keyhold

import "time"

// ClockDrift bounds how much slower than the sender's clock a back end's clock may run, as a
// fraction. Users' back ends guarantee 0.02.
const ClockDrift = 0.03

// Bound tracks until when a back end may hold the keys of one series of grants. The zero value
// stands for keys that were never granted. It is not safe for concurrent use.
type Bound struct {
	until    time.Time
	inFlight bool
	hold     time.Duration
}

// Send records that a grant for the duration hold is about to be sent. At most one may be in
// flight.
func (b *Bound) Send(hold time.Duration) {
	b.inFlight, b.hold = true, hold
}

// InFlight reports whether a grant is in flight.
func (b *Bound) InFlight() bool { return b.inFlight }

// Answered records that the grant in flight has arrived before now.
func (b *Bound) Answered(now time.Time) {
	b.inFlight = false
	b.Extend(now, b.hold)
}

// Unanswered records that no response to the grant in flight is awaited any more. It may still
// arrive until the time arrives; if it is applied later, its fence alone makes it ineffective.
func (b *Bound) Unanswered(now, arrives time.Time) {
	if arrives.Before(now) {
		arrives = now
	}
	b.inFlight = false
	b.Extend(arrives, b.hold)
}

// Rejected records that the grant in flight was certainly not applied and never will be.
func (b *Bound) Rejected() { b.inFlight = false }

// Revoked records that the message in flight revoked the keys, as confirmed by the back end
// that held them.
func (b *Bound) Revoked() { *b = Bound{} }

// Extend records that the keys may be held for the duration hold, counted from a time that is
// not before the grant's arrival.
func (b *Bound) Extend(from time.Time, hold time.Duration) {
	if until := from.Add(WithDrift(hold)); until.After(b.until) {
		b.until = until
	}
}

// Until returns when the answered grants have expired. It does not include a grant in flight.
func (b *Bound) Until() time.Time { return b.until }

// Expired reports whether the keys are certainly no longer held.
func (b *Bound) Expired(now time.Time) bool { return !b.inFlight && !now.Before(b.until) }

// WithDrift returns how long a hold may last by the sender's clock, given ClockDrift.
func WithDrift(hold time.Duration) time.Duration {
	return time.Duration(float64(hold) * (1 + ClockDrift))
}
