package overload

import "time"

// Limits the request rate of a cold back end, in addition to its slots (see package warmup).

// ConfigureWarmUp sets how many requests a second a cold back end can serve, and how long
// a back end is cold after its start.
func (q *SlotQueue) ConfigureWarmUp(perSecond float64, length time.Duration) {
	q.warmth.Configure(perSecond, length)
}

// SuspectCold treats the back end as cold until it reports otherwise.
func (q *SlotQueue) SuspectCold(now time.Time) { q.warmth.MarkUnknown(now) }

// WarmUpFromHeartbeat applies a heartbeat's statement of how much longer the back end is cold. Fresh
// is set for the first heartbeat of an incarnation.
func (q *SlotQueue) WarmUpFromHeartbeat(left time.Duration, fresh bool, now time.Time) {
	if fresh {
		q.warmth.Reset()
	}
	q.warmth.RecordReport(left, now)
	q.admit(now)
}

// WarmUpFromAnswer applies the back end's answer when asked how much longer it is cold.
func (q *SlotQueue) WarmUpFromAnswer(left time.Duration, now time.Time) {
	q.warmth.RecordAnswer(left, now)
	q.admit(now)
}

// WarmUpState reports whether the back end counts as cold, and whether it should be asked.
func (q *SlotQueue) WarmUpState(now time.Time) (cold, ask bool) {
	return q.warmth.Cold(now), q.warmth.StateUnknown()
}

// AdmitsNow reports whether a request that arrives now would not have to wait because the
// back end is cold.
func (q *SlotQueue) AdmitsNow(now time.Time) bool {
	return q.warmth.Wait(now) == 0 && len(q.short.queue)+len(q.long.queue) == 0
}

// NextAdmission returns after how long the next waiting request may go to a cold back end, and Pace
// is to be called; zero if none waits for that.
func (q *SlotQueue) NextAdmission(now time.Time) time.Duration {
	if q.short.waiting()+q.long.waiting() == 0 {
		return 0
	}
	return q.warmth.Wait(now)
}

// AdmitPaced admits requests that waited for the rate limit of a cold back end.
func (q *SlotQueue) AdmitPaced(now time.Time) { q.admit(now) }

// warmUpWait returns how long a request waits behind a number of others at the rate that a
// cold back end can serve; zero if the back end is warm.
func (q *SlotQueue) warmUpWait(ahead int, now time.Time) time.Duration {
	if !q.warmth.Cold(now) {
		return 0
	}
	behind := float64(ahead) / q.warmth.Rate()
	return q.warmth.Wait(now) + time.Duration(behind*float64(time.Second))
}
