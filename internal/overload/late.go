package overload

import (
	"container/heap"
	"time"
)

// Late requests can no longer be answered in time, but before their callers give up. They get
// the slots that requests in time don't need, since a late response is better than a refusal
// and a retry. If no slots are left over, they are refused at once.

// minLeftOver is the share of the slots that must be left over for late requests to wait at
// all. The rate is measured over a second; below this share its error is as large as the
// rate itself, and late requests would take slots from those in time.
const minLeftOver = 0.2

// minLongTermLeftOver is the same for the long-term average, whose error is smaller.
const minLongTermLeftOver = 0.06

// lateCheckInterval is how often to check whether a waiting late request is still likely to
// get a slot, as the slots that were left over when it arrived may be in use by now. It is a
// quarter of the time over which that is measured (busyHalfLife).
const lateCheckInterval = busyHalfLife / 4

// waiting returns how many requests wait.
func (u *slotUse) waiting() int { return len(u.queue) + len(u.late) }

// queueLate queues a request as a late one, if it is likely to get a slot before its caller
// gives up, and reports whether it did.
func (q *SlotQueue) queueLate(waiting *Ticket, now time.Time) bool {
	ahead := len(q.short.late) + len(q.long.late)
	if q.estimateLate(waiting, ahead, now) > waiting.timeLeft(now) {
		return false
	}
	waiting.late = true
	use := q.use(waiting.short)
	heap.Push(&use.late, waiting)
	return true
}

// timeLeft returns how much longer a request may wait as a late one.
func (t *Ticket) timeLeft(now time.Time) time.Duration { return t.MaxWait - now.Sub(t.arrivedAt) }

// untilCheck returns after how long to check a waiting request: when it can no longer be
// answered in time, and from then on every lateCheckInterval.
func (t *Ticket) untilCheck(now time.Time) time.Duration {
	if t.late {
		return min(lateCheckInterval, t.timeLeft(now))
	}
	return t.InTimeWait - now.Sub(t.arrivedAt)
}

// likelyToGetSlot reports whether a waiting late request is still likely to get a slot.
func (q *SlotQueue) likelyToGetSlot(waiting *Ticket, now time.Time) bool {
	q.advance(now)
	ahead := 0
	for _, queue := range []ticketQueue{q.short.late, q.long.late} {
		for _, other := range queue {
			if other.before(&waiting.Demand) {
				ahead++
			}
		}
	}
	return q.estimateLate(waiting, ahead, now) <= waiting.timeLeft(now)
}

// estimateLate returns how long a late request will wait behind a number of other late ones,
// at the rate at which slots are left over.
func (q *SlotQueue) estimateLate(waiting *Ticket, ahead int, now time.Time) time.Duration {
	const never = time.Hour
	if q.warmUp.Cold(now) {
		return q.paceWaitBehind(q.inTimeWaiting()+ahead, now)
	}
	limitWait := q.limit.WaitBehind(q.inTimeWaiting()+ahead, now)
	if limitWait > 0 && q.inTimeWaiting() > 0 {
		return never // requests in time use the whole rate
	}
	slots := q.usable(waiting.short, waiting.Priority)
	leftOver := q.leftOver(waiting, slots)
	if leftOver <= 0 {
		return never
	}
	use := q.use(waiting.short)
	inTime := float64(q.inTimeWaiting()) / slots
	behind := float64(ahead+1) / leftOver
	return max(limitWait, time.Duration(float64(use.serviceTime)*(inTime+behind)))
}

// leftOver returns how many of the slots that a late request may use are left over on average,
// or zero if these are too few to wait for. A request that no other back end can serve also
// waits for a few slots, judged by the long-term average: refused because of a short burst, it
// would be retried at the same back end.
func (q *SlotQueue) leftOver(waiting *Ticket, slots float64) float64 {
	shortTerm := slots - (q.long.busy - q.lateBusy)
	longTerm := slots - (q.long.longTermBusy - q.lateLongTermBusy)
	if waiting.short {
		shortTerm -= q.short.busy
		longTerm -= q.short.longTermBusy
	}
	switch {
	case shortTerm >= minLeftOver*slots:
		return shortTerm
	case waiting.OnlyHere && longTerm >= minLongTermLeftOver*slots:
		return longTerm
	}
	return 0
}

// usable returns how many slots requests of a kind and priority may use. Long ones may use
// those that are neither reserved for nor in use by short ones.
func (q *SlotQueue) usable(short bool, priority int) float64 {
	slots := float64(q.capacity)
	if short {
		return slots
	}
	reserved := max(float64(q.reserved(priority)), q.short.busy)
	return max(1, slots-reserved)
}
