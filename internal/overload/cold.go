package overload

import "time"

// Limits the request rate of a cold back end, in addition to its slots (see package warmup).

// ConfigureWarmUp sets how many requests a second a cold back end can serve, and how long
// a back end is cold after its start.
func (q *SlotQueue) ConfigureWarmUp(perSecond float64, length time.Duration) {
	q.warmUp.Configure(perSecond, length)
}

// AssumeCold treats the back end as cold until it reports otherwise.
func (q *SlotQueue) AssumeCold(now time.Time) { q.warmUp.MarkUnknown(now) }

// WarmUpFromHeartbeat applies a heartbeat's report of how much longer the back end is cold.
// fresh is set for the first heartbeat of an incarnation.
func (q *SlotQueue) WarmUpFromHeartbeat(left time.Duration, fresh bool, now time.Time) {
	if fresh {
		q.warmUp.Reset()
		q.limit.Reset()
	}
	q.warmUp.RecordReport(left, now)
	q.admit(now)
}

// WarmUpFromProbe applies the back end's response to a probe: how much longer it is cold.
func (q *SlotQueue) WarmUpFromProbe(left time.Duration, now time.Time) {
	q.warmUp.RecordProbe(left, now)
	q.admit(now)
}

// WarmUpState reports whether the back end counts as cold, and whether it should be probed.
func (q *SlotQueue) WarmUpState(now time.Time) (cold, probe bool) {
	return q.warmUp.Cold(now), q.warmUp.StateUnknown()
}

// AdmitsNow reports whether a request that arrives now would not have to wait because the
// back end is cold.
func (q *SlotQueue) AdmitsNow(now time.Time) bool {
	return q.warmUp.Wait(now) == 0 && q.inTimeWaiting() == 0
}

// warmUpWait returns how long a request waits behind a number of others at the rate that a
// cold back end can serve; zero if the back end is warm.
func (q *SlotQueue) warmUpWait(ahead int, now time.Time) time.Duration {
	if !q.warmUp.Cold(now) {
		return 0
	}
	behind := float64(ahead) / q.warmUp.Rate()
	return q.warmUp.Wait(now) + time.Duration(behind*float64(time.Second))
}
