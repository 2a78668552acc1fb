// Package keyhold works out until when a back end may hold keys at most, by what it was sent
// and what it has answered. It is pure: readings of the sender's clock go in.
//
// A back end counts the time of an order from its arrival, which no sender knows: a process
// that stands still between working an order out and sending it lets it arrive later by all of
// that time. So nothing is taken for over while an order is on its way, and its time counts
// from its answer. That the back end seems to have ended changes nothing: one that refuses
// connections may live, and what it holds runs out by itself.
package keyhold

import "time"

// ClockDrift bounds how slowly a back end's clock may run, as a share. The users' back ends
// promise 0.02.
const ClockDrift = 0.03

// Bound is until when a back end may hold the keys of one series of orders. The zero value
// is that of keys that were never granted. It is not safe for concurrent use.
type Bound struct {
	until   time.Time
	sending bool
	hold    time.Duration
}

// Send notes that an order of a length is about to leave. One is on its way at a time.
func (b *Bound) Send(hold time.Duration) {
	b.sending, b.hold = true, hold
}

// Sending reports whether an order is on its way.
func (b *Bound) Sending() bool { return b.sending }

// Answered notes that the order on its way has arrived before now.
func (b *Bound) Answered(now time.Time) {
	b.sending = false
	b.Given(now, b.hold)
}

// Unanswered notes that the order on its way is given up. It may arrive until a time; one that
// is carried out later is made harmless by its fence alone.
func (b *Bound) Unanswered(now, arrives time.Time) {
	if arrives.Before(now) {
		arrives = now
	}
	b.sending = false
	b.Given(arrives, b.hold)
}

// NotTaken notes that the order on its way was surely not carried out and never will be.
func (b *Bound) NotTaken() { b.sending = false }

// TakenBack notes that the order on its way took the keys back: it was answered by the one
// that held them.
func (b *Bound) TakenBack() { *b = Bound{} }

// Given notes keys that are held for a length from a time on, at the latest.
func (b *Bound) Given(from time.Time, hold time.Duration) {
	if until := from.Add(Longest(hold)); until.After(b.until) {
		b.until = until
	}
}

// Until is when what was answered for has run out. What is on its way is not in it.
func (b *Bound) Until() time.Time { return b.until }

// Over reports whether the keys are surely not held any more.
func (b *Bound) Over(now time.Time) bool { return !b.sending && !now.Before(b.until) }

// Longest is how long a hold may last by the clock of its sender.
func Longest(hold time.Duration) time.Duration {
	return time.Duration(float64(hold) * (1 + ClockDrift))
}
