package ratelimit

import "time"

// Tracker follows what one incarnation of a back end states about its limit. The zero value
// knows of no limit.
//
// Responses may arrive in another order than they were made in. A lower limit takes effect at
// once. A higher limit, or none, takes effect only if the request was sent after the limit in
// force had been received: such a response was made after the one that stated that limit.
type Tracker struct {
	statement Statement
	// receivedAt is when the limit in force was received from the back end.
	receivedAt time.Time
	// heard is set once the back end itself has responded.
	heard bool
}

// Statement returns the statement in force.
func (t *Tracker) Statement() Statement { return t.statement }

// Observe applies the statement of a response that was received at receivedAt, to a request sent
// at sentAt. It reports whether the statement in force has changed.
func (t *Tracker) Observe(statement Statement, sentAt, receivedAt time.Time) (changed bool) {
	before := t.statement
	if t.heard && statement.looserThan(before) && !sentAt.After(t.receivedAt) {
		return false
	}
	t.heard = true
	t.statement = statement
	if statement.Limited {
		t.receivedAt = receivedAt
	}
	return before != statement
}

// Relay applies a limit that another process has received from the back end. It counts only until
// the back end itself has responded to this process, and never loosens the limit in force. It
// reports whether the statement in force has changed.
func (t *Tracker) Relay(perSecond float64) (changed bool) {
	relayed := Statement{Limited: true, PerSecond: perSecond}
	if t.heard || t.statement.Limited && !t.statement.looserThan(relayed) {
		return false
	}
	t.statement = relayed
	return true
}

// looserThan reports whether a statement allows a higher rate than another one.
func (s Statement) looserThan(other Statement) bool {
	return other.Limited && (!s.Limited || s.PerSecond > other.PerSecond)
}
