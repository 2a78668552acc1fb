// Package warmup limits the rate of requests to a cold back end. A back end that has just
// started, or has been idle for a while, can handle only a few requests per second until
// its caches are filled. Well above that rate it fails, and after each failure it starts
// cold again. The package is pure: the time is an argument of every call.
//
// # Load pattern
//
// The critical case is a zone that returns after an outage while the rest of the fleet is
// at capacity: without a limit, every caller's next request goes to the back ends that look
// idle.
package warmup

import "time"

const (
	// unlimitedRate is the rate of a warm back end.
	unlimitedRate = 0
	// burst is the size of the token bucket, which is how many requests may be sent at once
	// to a cold back end. At a rate of 13 per second, a burst of 2 allows 15 requests in a
	// second, where the limit for users' back ends is 27.5.
	burst = 2
	// maxColdTime limits the cold time that a back end may report, so that a wrong unit
	// doesn't make it cold forever.
	maxColdTime = 5 * time.Minute
	// maxDebt limits how far the bucket may be overdrawn while the back end is considered
	// warm. Once it turns out to be cold, only the requests of the last second count.
	maxDebt = time.Second
)

// Limiter is a token bucket that is enforced while a back end is cold. It also counts
// the requests sent while the back end is warm, so that one which becomes cold under load
// gets time to work them off. The zero value considers the back end warm.
type Limiter struct {
	// rate is the limit while the back end is cold, in requests per second; zero is
	// unlimited.
	rate float64
	// coldTime is how long a back end stays cold after its start, zero if not known.
	coldTime time.Duration
	// coldUntil is when the back end becomes warm, according to its own reports. While
	// stateUnknown is set, it hasn't reported whether it is cold, and is considered cold until
	// assumedColdUntil.
	coldUntil        time.Time
	stateUnknown     bool
	assumedColdUntil time.Time

	tokens float64
	at     time.Time
}

// Configure sets the limit in requests per second while the back end is cold (zero or less
// is unlimited) and how long a back end stays cold after its start.
func (l *Limiter) Configure(perSecond float64, length time.Duration) {
	l.rate, l.coldTime = max(perSecond, 0), max(length, 0)
}

// Rate returns the limit while the back end is cold, in requests per second; zero is
// unlimited.
func (l *Limiter) Rate() float64 { return l.rate }

// MarkUnknown records that it isn't known whether the back end is cold. It is considered cold
// until it reports its state, but no longer than a back end stays cold after its start.
func (l *Limiter) MarkUnknown(now time.Time) {
	l.stateUnknown = true
	l.assumedColdUntil = now.Add(l.coldTime)
}

// StateUnknown reports whether the back end should be probed for its state.
func (l *Limiter) StateUnknown() bool { return l.stateUnknown && l.rate > 0 }

// RecordProbe records how much longer the back end stays cold, as it reported in its response
// to a probe that was sent after the last call of MarkUnknown.
func (l *Limiter) RecordProbe(left time.Duration, now time.Time) {
	l.stateUnknown = false
	l.RecordReport(left, now)
}

// RecordReport records how much longer the back end stays cold, as it reported in any other
// message. Such a message may be older than an event that made the back end cold: it never
// shortens the cold time, and one that reports a warm back end doesn't clear an unknown state.
func (l *Limiter) RecordReport(left time.Duration, now time.Time) {
	if left > 0 {
		l.stateUnknown = false
	}
	if until := now.Add(min(left, maxColdTime)); left > 0 && until.After(l.coldUntil) {
		l.coldUntil = until
	}
}

// Reset resets the state after a restart of the back end. The settings stay.
func (l *Limiter) Reset() { *l = Limiter{rate: l.rate, coldTime: l.coldTime} }

// Cold reports whether the back end is considered cold and the limit is enforced.
func (l *Limiter) Cold(now time.Time) bool {
	return l.rate > 0 && (now.Before(l.coldUntil) || l.stateUnknown && now.Before(l.assumedColdUntil))
}

// EnforcedRate returns the limit that is enforced now, in requests per second; zero is
// unlimited.
func (l *Limiter) EnforcedRate(now time.Time) float64 {
	if !l.Cold(now) {
		return unlimitedRate
	}
	return l.rate
}

// Wait returns how long the next request has to wait; zero means that it may be sent now.
func (l *Limiter) Wait(now time.Time) time.Duration {
	if !l.Cold(now) {
		return 0
	}
	l.fill(now)
	if l.tokens >= 1 {
		return 0
	}
	// Rounded up, so that the token is available when the wait is over.
	return time.Duration((1-l.tokens)/l.rate*float64(time.Second)) + time.Microsecond
}

// Sent counts a request that is sent to the back end.
func (l *Limiter) Sent(now time.Time) {
	if l.rate <= 0 {
		return
	}
	l.fill(now)
	l.tokens = max(l.tokens-1, -l.rate*maxDebt.Seconds())
}

// fill adds the tokens that have accrued since the last call.
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
