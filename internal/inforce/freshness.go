package inforce

import "time"

// Freshness records when a controller last confirmed with a quorum that it had
// applied everything that was committed.
type Freshness struct {
	confirmed time.Duration
	known     bool
}

// Confirm records that everything that was committed before the time at is applied.
// It returns false if that time or a later one is confirmed already.
func (f *Freshness) Confirm(at time.Duration) bool {
	if f.known && at <= f.confirmed {
		return false
	}
	f.confirmed = at
	f.known = true
	return true
}

// Age returns the time from the last confirmed moment until now, or since the start
// of the process if nothing is confirmed.
func (f *Freshness) Age(now time.Duration) time.Duration { return now - f.confirmed }

// ConfirmedSince reports whether a moment at or after the given time is confirmed.
func (f *Freshness) ConfirmedSince(at time.Duration) bool {
	return f.known && f.confirmed >= at
}
