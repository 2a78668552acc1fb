package overload

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/ratelimit"
)

// Keeps to the rate limit that the back end states, in addition to its slots (see package
// ratelimit).

// ObserveLimit applies what a response of the back end states about its limit, and reports whether
// the statement in force has changed.
func (q *SlotQueue) ObserveLimit(statement ratelimit.Statement, sentAt, now time.Time) (changed bool) {
	if changed = q.limit.Observe(statement, sentAt, now); changed {
		q.admit(now)
	}
	return changed
}

// RelayLimit applies a limit that another gateway has received from the back end, and reports
// whether the statement in force has changed.
func (q *SlotQueue) RelayLimit(perSecond float64, now time.Time) (changed bool) {
	return q.limit.Relay(perSecond, now)
}

// StatedLimit returns the back end's statement in force.
func (q *SlotQueue) StatedLimit() ratelimit.Statement { return q.limit.Statement() }

// LimitedSlots returns how many slots the back end's limit lets it use on average, zero if it states
// none.
func (q *SlotQueue) LimitedSlots() float64 {
	if !q.limit.Limited() {
		return 0
	}
	return q.limit.Rate() * q.long.serviceTime.Seconds()
}

// RefuseByLimit reports whether a request that gets no slot is refused because of the back end's
// limit, and then counts the refusal and returns after how long the request should come back. A
// request that can't come back in time takes no turn from others.
func (q *SlotQueue) RefuseByLimit(wanted Demand, now time.Time) (retryAfter time.Duration, limited bool) {
	wait := q.limit.WaitBehind(q.inTimeWaiting(), now)
	if wait == 0 || wait <= q.slotWait(wanted) {
		return 0, false
	}
	rate := q.limit.Rate()
	retryAfter = wait + q.refusedByLimit.Wait(rate, now)
	if retryAfter <= wanted.MaxWait {
		q.refusedByLimit.Add(rate, now)
	}
	return retryAfter, true
}

// slotWait returns how long a request that arrived now would wait for a slot, zero if one is free.
func (q *SlotQueue) slotWait(wanted Demand) time.Duration {
	if q.short.running+q.long.running < q.capacity {
		return 0
	}
	use := q.use(wanted.Target <= q.shortMaxTarget())
	return time.Duration(float64(use.serviceTime) * float64(q.inTimeWaiting()+1) / float64(q.capacity))
}

// maxRate returns how many requests a second the back end can serve, because it is cold or states
// a limit; zero is unlimited.
func (q *SlotQueue) maxRate(now time.Time) float64 {
	cold := q.warmUp.EnforcedRate(now)
	switch {
	case !q.limit.Limited():
		return cold
	case cold == 0:
		return q.limit.Rate()
	}
	return min(cold, q.limit.Rate())
}

// paceWait returns how long the next request has to wait because the back end is cold or states a
// limit.
func (q *SlotQueue) paceWait(now time.Time) time.Duration {
	return max(q.warmUp.Wait(now), q.limit.Wait(now))
}

// paceWaitBehind is paceWait for a request behind a number of others.
func (q *SlotQueue) paceWaitBehind(ahead int, now time.Time) time.Duration {
	return max(q.warmUpWait(ahead, now), q.limit.WaitBehind(ahead, now))
}

// NextAdmission returns after how long the next waiting request may be sent to a back end that is
// cold or states a limit, and AdmitPaced is to be called; zero if none waits for that.
func (q *SlotQueue) NextAdmission(now time.Time) time.Duration {
	if q.short.waiting()+q.long.waiting() == 0 {
		return 0
	}
	return q.paceWait(now)
}

// AdmitPaced admits requests that waited for a back end that is cold or states a limit.
func (q *SlotQueue) AdmitPaced(now time.Time) { q.admit(now) }

// inTimeWaiting returns how many requests wait that can be answered in time.
func (q *SlotQueue) inTimeWaiting() int { return len(q.short.queue) + len(q.long.queue) }
