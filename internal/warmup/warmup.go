// Package warmup bounds what a cold back end is sent. A back end that has just
// started, or stood empty for a while, bears a few requests a second until its
// caches are filled; well above that it fails, and each failure makes the next
// start cold again. The package is pure: readings of the clock go in, decisions
// come out.
//
// # Load pattern
//
// A zone comes back after an outage while the rest of the fleet is full: without a
// bound every caller's next request goes to the back ends that look idle.
package warmup

import "time"

const (
	// unboundedRate says that a back end is warm.
	unboundedRate = 0
	// burst is how many requests may follow each other at once while cold. The rate
	// holds for a second; with 2 beside it a second has 15 requests at a rate of 13,
	// where the users' bound is 27.5.
	burst = 2
	// longestCold bounds what a back end may say of itself, lest a wrong unit makes it
	// cold for good.
	longestCold = 5 * time.Minute
	// longestDebt is how much of what a back end was sent while it was taken for warm
	// counts once it says that it is cold: what it got in the last second.
	longestDebt = time.Second
)

// Limiter is a token bucket that binds while a back end is cold. It also counts
// what is sent while it is not, so that one which turns cold under load is given
// the time to work that off. The zero value takes the back end for warm.
type Limiter struct {
	// rate is what the back end bears while cold, in requests a second; zero is
	// unbounded.
	rate float64
	// length is how long a back end is cold at the longest, where that is known.
	length time.Duration
	// until is when the back end is warm. Unknown says that nobody has said so, and
	// suspectedUntil for how long that makes it cold.
	until          time.Time
	unknown        bool
	suspectedUntil time.Time

	tokens float64
	at     time.Time
}

// Configure says how many requests a second the back end bears while it is cold,
// any number where it is zero or less, and how long one is cold after its start.
func (l *Limiter) Configure(perSecond float64, length time.Duration) {
	l.rate, l.length = max(perSecond, 0), max(length, 0)
}

// Rate is what the back end bears while it is cold, in requests a second; zero is
// unbounded.
func (l *Limiter) Rate() float64 { return l.rate }

// Suspect says that it is not known whether the back end is cold. It is taken for
// cold until it is told, or as long as one is cold after its start.
func (l *Limiter) Suspect(now time.Time) {
	l.unknown = true
	l.suspectedUntil = now.Add(l.length)
}

// Suspected reports whether the back end should be asked.
func (l *Limiter) Suspected() bool { return l.unknown && l.rate > 0 }

// Tell takes a back end's answer on how much longer it is cold, asked after the last
// suspicion.
func (l *Limiter) Tell(left time.Duration, now time.Time) {
	l.unknown = false
	l.Hear(left, now)
}

// Hear takes any other word of a back end on how much longer it is cold. Words can
// arrive late, behind what they don't know of: none makes the time shorter, and one
// that says warm ends no suspicion.
func (l *Limiter) Hear(left time.Duration, now time.Time) {
	if left > 0 {
		l.unknown = false
	}
	if until := now.Add(min(left, longestCold)); left > 0 && until.After(l.until) {
		l.until = until
	}
}

// Forget begins a new life of the back end, of which nothing is known.
func (l *Limiter) Forget() { *l = Limiter{rate: l.rate, length: l.length} }

// Cold reports whether the bound holds.
func (l *Limiter) Cold(now time.Time) bool {
	return l.rate > 0 && (now.Before(l.until) || l.unknown && now.Before(l.suspectedUntil))
}

// Bears returns how many requests a second the back end bears now; zero is
// unbounded.
func (l *Limiter) Bears(now time.Time) float64 {
	if !l.Cold(now) {
		return unboundedRate
	}
	return l.rate
}

// Wait returns how long the next request has to wait; zero is not at all.
func (l *Limiter) Wait(now time.Time) time.Duration {
	if !l.Cold(now) {
		return 0
	}
	l.fill(now)
	if l.tokens >= 1 {
		return 0
	}
	// Rounded up, so that the token is there when the time has passed.
	return time.Duration((1-l.tokens)/l.rate*float64(time.Second)) + time.Microsecond
}

// Sent counts a request that is sent to the back end.
func (l *Limiter) Sent(now time.Time) {
	if l.rate <= 0 {
		return
	}
	l.fill(now)
	l.tokens = max(l.tokens-1, -l.rate*longestDebt.Seconds())
}

// fill adds what has come since the last look.
func (l *Limiter) fill(now time.Time) {
	elapsed := now.Sub(l.at)
	switch {
	case l.at.IsZero():
		l.tokens = burst
	case elapsed > 0:
		l.tokens = min(burst, l.tokens+l.rate*elapsed.Seconds())
	default:
		return
	}
	l.at = now
}
