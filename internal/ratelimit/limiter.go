package ratelimit

import "time"

const (
	// minRate is the rate at which requests are sent at least, in requests per second. Only a
	// response can show that a back end which takes nothing takes requests again. Together with
	// the burst it stays below slackRequests.
	minRate = 0.5
	// burstTime is how much of the rate may be sent at once, in addition to one request.
	burstTime = 200 * time.Millisecond
	// firstTokens may be sent at once when a limit is first stated.
	firstTokens = 1
)

// Limiter decides when the next request may be sent to a back end: at the rate that it states, and
// never beyond what it may get in any window (see window). The zero value knows of no limit.
type Limiter struct {
	tracker Tracker
	tokens  float64
	// filledAt is when tokens was computed.
	filledAt time.Time
	// sent counts the requests that were sent while a limit was in force.
	sent window
}

// Statement returns the statement in force.
func (l *Limiter) Statement() Statement { return l.tracker.Statement() }

// Observe applies the statement of a response that is received now, to a request sent at sentAt. It
// reports whether the statement in force has changed.
func (l *Limiter) Observe(statement Statement, sentAt, now time.Time) (changed bool) {
	return l.apply(now, func() bool { return l.tracker.Observe(statement, sentAt, now) })
}

// Relay applies a limit that another process has received from the back end (Tracker.Relay). It
// reports whether the statement in force has changed.
func (l *Limiter) Relay(perSecond float64, now time.Time) (changed bool) {
	return l.apply(now, func() bool { return l.tracker.Relay(perSecond) })
}

// apply makes a change of the statement and adapts the tokens to it.
func (l *Limiter) apply(now time.Time, change func() bool) (changed bool) {
	l.fill(now)
	wasLimited := l.Limited()
	if !change() {
		return false
	}
	if !wasLimited {
		l.tokens, l.filledAt = firstTokens, now
	}
	l.tokens = min(l.tokens, l.burst())
	return true
}

// Reset forgets what an earlier incarnation of the back end has stated and got.
func (l *Limiter) Reset() { *l = Limiter{} }

// Limited reports whether a limit is in force.
func (l *Limiter) Limited() bool { return l.tracker.Statement().Limited }

// Rate returns the rate at which requests are sent while a limit is in force, in requests per
// second.
func (l *Limiter) Rate() float64 { return max(l.tracker.Statement().PerSecond, minRate) }

// burst is the largest number of tokens.
func (l *Limiter) burst() float64 { return 1 + l.Rate()*burstTime.Seconds() }

// fill adds the tokens that have accrued since the last call.
func (l *Limiter) fill(now time.Time) {
	elapsed := now.Sub(l.filledAt)
	if !l.Limited() || elapsed <= 0 {
		return
	}
	l.tokens = min(l.burst(), l.tokens+l.Rate()*elapsed.Seconds())
	l.filledAt = now
}

// Wait returns how long the next request has to wait; zero means that it may be sent now.
func (l *Limiter) Wait(now time.Time) time.Duration { return l.WaitBehind(0, now) }

// WaitBehind returns how long a request has to wait that is sent after a number of others.
func (l *Limiter) WaitBehind(ahead int, now time.Time) time.Duration {
	if !l.Limited() {
		return 0
	}
	l.fill(now)
	if !l.sent.allows(l.tracker.Statement().PerSecond, ahead+1, now) {
		return l.simulateWait(ahead, now)
	}
	return seconds((1 + float64(ahead) - l.tokens) / l.Rate())
}

// simulateWait returns how long a request has to wait if each of those ahead is sent as early as it
// may be.
func (l *Limiter) simulateWait(ahead int, now time.Time) time.Duration {
	simulated, sentAt := *l, now
	for ; ; ahead-- {
		sentAt = sentAt.Add(simulated.waitOfNext(sentAt))
		if ahead == 0 {
			return sentAt.Sub(now)
		}
		simulated.Sent(sentAt)
	}
}

// waitOfNext returns how long the next request has to wait.
func (l *Limiter) waitOfNext(now time.Time) time.Duration {
	l.fill(now)
	return max(seconds((1-l.tokens)/l.Rate()), l.sent.wait(l.tracker.Statement().PerSecond, now))
}

// Sent counts a request that is sent to the back end.
func (l *Limiter) Sent(now time.Time) {
	if !l.Limited() {
		return
	}
	l.fill(now)
	l.tokens--
	l.sent.add(now)
}

// maxSeconds bounds converted times. A larger time would overflow.
const maxSeconds = 3600

// seconds converts a time in seconds, rounded up to a whole microsecond so that a token is
// available when the wait for it is over.
func seconds(value float64) time.Duration {
	if value <= 0 {
		return 0
	}
	return time.Duration(min(value, maxSeconds)*float64(time.Second)) + time.Microsecond
}
