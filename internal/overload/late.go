package overload

import (
	"container/heap"
	"time"
)

// Late requests can't be answered in time any more, but before their callers
// leave. They get the slots that requests in time leave over; a caller is better
// served late than sent away to come again. Where nothing is left over, they are
// refused at once.

// leastLeftOver is the part of the slots that must be left over for late requests
// to wait at all: the rate is measured over a second, and with less its error is as
// large as itself, and late requests would take slots from those in time.
const leastLeftOver = 0.2

// leastLasting is the same for the long run, where the error is smaller.
const leastLasting = 0.06

// lateCheckInterval is how often it is checked whether a late request that waits is still
// likely to get a slot: what was left over when it came may be used by now. It is a
// quarter of the time over which that is measured (busyHalfLife).
const lateCheckInterval = busyHalfLife / 4

// waiting is how many requests wait.
func (u *slotUse) waiting() int { return len(u.queue) + len(u.late) }

// waitLate lets a request wait as a late one, if it is likely to get a slot before
// its caller leaves.
func (q *SlotQueue) waitLate(waiting *Ticket, now time.Time) bool {
	ahead := len(q.short.late) + len(q.long.late)
	if q.estimateLate(waiting, ahead, now) > waiting.timeLeft(now) {
		return false
	}
	waiting.late = true
	use := q.use(waiting.short)
	heap.Push(&use.late, waiting)
	return true
}

// timeLeft is how much longer a request may wait as a late one.
func (t *Ticket) timeLeft(now time.Time) time.Duration { return t.Latest - now.Sub(t.since) }

// untilCheck is when to check a request that waits: when it can't be answered in
// time any more, and from then on each lateCheckInterval.
func (t *Ticket) untilCheck(now time.Time) time.Duration {
	if t.late {
		return min(lateCheckInterval, t.timeLeft(now))
	}
	return t.Patience - now.Sub(t.since)
}

// hopeful reports whether a late request that waits is still likely to get a slot.
func (q *SlotQueue) hopeful(waiting *Ticket, now time.Time) bool {
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

// estimateLate is how long a late request will wait behind a number of other late ones, at
// the rate at which slots are left over.
func (q *SlotQueue) estimateLate(waiting *Ticket, ahead int, now time.Time) time.Duration {
	const never = time.Hour
	if q.warmth.Cold(now) {
		return q.paced(len(q.short.queue)+len(q.long.queue)+ahead, now)
	}
	slots := q.usable(waiting.short, waiting.Priority)
	leftOver := q.leftOver(waiting, slots)
	if leftOver <= 0 {
		return never
	}
	use := q.use(waiting.short)
	inTime := float64(len(q.short.queue)+len(q.long.queue)) / slots
	behind := float64(ahead+1) / leftOver
	return time.Duration(float64(use.serviceTime) * (inTime + behind))
}

// leftOver is how many of the slots that a late request may use are left over on average;
// zero where those are too few to wait for. One that can be served nowhere else waits for a
// few as well, by what is left over in the long run: sent away for a burst that passes, it
// would come back to the same back end.
func (q *SlotQueue) leftOver(waiting *Ticket, slots float64) float64 {
	passing := slots - (q.long.busy - q.lateBusy)
	lasting := slots - (q.long.lasting - q.lateLasting)
	if waiting.short {
		passing -= q.short.busy
		lasting -= q.short.lasting
	}
	switch {
	case passing >= leastLeftOver*slots:
		return passing
	case waiting.OnlyHere && lasting >= leastLasting*slots:
		return lasting
	}
	return 0
}

// usable is how many slots requests of a kind and priority may use: long ones those
// that are not kept for short ones, nor used by more of these.
func (q *SlotQueue) usable(short bool, priority int) float64 {
	slots := float64(q.capacity)
	if short {
		return slots
	}
	kept := max(float64(q.reserved(priority)), q.short.busy)
	return max(1, slots-kept)
}
