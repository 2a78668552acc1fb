package inforce

import "time"

// Freshness remembers when a controller last confirmed, with a quorum, that it
// had applied all that was committed.
type Freshness struct {
	confirmed time.Duration
	known     bool
}

// Confirm records that all that was committed before the time at is applied.
// It reports false where a later time is confirmed already.
func (f *Freshness) Confirm(at time.Duration) bool {
	if f.known && at <= f.confirmed {
		return false
	}
	f.confirmed = at
	f.known = true
	return true
}

// Age returns how long ago, at now, the last confirmed moment is. Without any
// it is as long as the process runs.
func (f *Freshness) Age(now time.Duration) time.Duration { return now - f.confirmed }

// ConfirmedSince reports whether a moment at or after the time given is
// confirmed.
func (f *Freshness) ConfirmedSince(at time.Duration) bool {
	return f.known && f.confirmed >= at
}
