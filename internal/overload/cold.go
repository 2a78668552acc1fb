package overload

import "time"

// What a cold back end is given, beside its slots (see package warmup).

// ConfigureWarmth says how many requests a second a cold back end bears, and how long
// one is cold after its start.
func (q *SlotQueue) ConfigureWarmth(perSecond float64, length time.Duration) {
	q.warmth.Configure(perSecond, length)
}

// SuspectCold takes the back end for cold until it is told otherwise.
func (q *SlotQueue) SuspectCold(now time.Time) { q.warmth.Suspect(now) }

// HearWarmth takes a heartbeat's word on how much longer the back end is cold; fresh
// says that it is the first of a life.
func (q *SlotQueue) HearWarmth(left time.Duration, fresh bool, now time.Time) {
	if fresh {
		q.warmth.Forget()
	}
	q.warmth.Hear(left, now)
	q.admit(now)
}

// TellWarmth takes the back end's answer to the question how much longer it is cold.
func (q *SlotQueue) TellWarmth(left time.Duration, now time.Time) {
	q.warmth.Tell(left, now)
	q.admit(now)
}

// Coldness reports whether the back end is taken for cold, and whether it should be
// asked.
func (q *SlotQueue) Coldness(now time.Time) (cold, ask bool) {
	return q.warmth.Cold(now), q.warmth.Suspected()
}

// BearsNow reports whether a request that came now would not wait for the back end
// to become warmer.
func (q *SlotQueue) BearsNow(now time.Time) bool {
	return q.warmth.Wait(now) == 0 && len(q.short.queue)+len(q.long.queue) == 0
}

// PaceIn returns in how long the next request may go to a cold back end for which some
// wait; zero where none waits for that. Pace is then to be called.
func (q *SlotQueue) PaceIn(now time.Time) time.Duration {
	if q.short.waiting()+q.long.waiting() == 0 {
		return 0
	}
	return q.warmth.Wait(now)
}

// Pace lets requests in that waited for the back end to bear them.
func (q *SlotQueue) Pace(now time.Time) { q.admit(now) }

// paced is how long a request waits behind a number of others at the rate that a
// cold back end bears; zero where it is warm.
func (q *SlotQueue) paced(ahead int, now time.Time) time.Duration {
	if !q.warmth.Cold(now) {
		return 0
	}
	behind := float64(ahead) / q.warmth.Rate()
	return q.warmth.Wait(now) + time.Duration(behind*float64(time.Second))
}
