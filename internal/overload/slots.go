package overload

import (
	"container/heap"
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/ratelimit"
	"github.com/quartzdock/quartzdock/internal/warmup"
)

// slotUse holds the slot use and the queues of one kind of request.
type slotUse struct {
	running int
	// queue has the waiting requests that can be answered in time, and late those that
	// can't.
	queue ticketQueue
	late  ticketQueue
	// serviceTime is a moving average of how long a slot is in use, and busy one of
	// how many are. longTermBusy is the same as busy over a longer time.
	serviceTime  time.Duration
	busy         float64
	longTermBusy float64
	refused      Refusals
	// priority of the last request that arrived.
	priority int
}

// SlotQueue admits as many requests to the back end as it has slots, the most
// urgent first, and refuses those that would wait too long. Short requests go before
// long ones that are no more urgent, and some slots are reserved for them, so that
// services which call each other in a cycle can't deadlock with all slots taken by
// requests that wait for each other.
type SlotQueue struct {
	capacity int
	short    slotUse
	long     slotUse
	usedAt   time.Time
	// lateRunning is how many slots late requests use, and lateBusy and
	// lateLongTermBusy are moving averages of it.
	lateRunning      int
	lateBusy         float64
	lateLongTermBusy float64
	// target is the mean target of requests, weighted by the slot time they use.
	target time.Duration
	// warmUp limits the request rate of the back end while it is cold.
	warmUp warmup.Limiter
	// limit keeps to the rate limit that the back end states, and refusedByLimit counts the
	// requests that were refused because of it.
	limit          ratelimit.Limiter
	refusedByLimit Refusals
}

const (
	// InitialServiceTime is assumed until there is a measurement.
	InitialServiceTime = 50 * time.Millisecond
	// serviceTimeWeight is the weight of a new measurement.
	serviceTimeWeight = 0.1
	// busyHalfLife is the age at which a count of used slots counts half.
	busyHalfLife = time.Second
	// longTermHalfLife is the same for the long-term average, which distinguishes lasting
	// overload from a short burst.
	longTermHalfLife = 4 * time.Second
	// reservedForLessUrgent is how many slots are reserved for short requests against a more
	// urgent long one: the smallest number with which nested calls can complete at all.
	reservedForLessUrgent = 1
	// minBusy is the average use of slots by short requests below which none are reserved.
	minBusy = 0.05
	// maxShortShare is the share of the slots that short requests may use while long
	// ones wait, so that these don't starve.
	maxShortShare = 0.72
	// shortTargetShare is the share of the mean target up to which a request's target
	// makes it a short one.
	shortTargetShare = 0.6
	// targetWeight is the weight of a second of slot time in the mean target, and
	// maxTargetWeight the highest weight of any one request.
	targetWeight    = 0.25
	maxTargetWeight = 0.1
)

// NewSlotQueue returns the queue of a warm back end with one slot.
func NewSlotQueue(now time.Time) *SlotQueue {
	unknown := slotUse{serviceTime: InitialServiceTime}
	return &SlotQueue{capacity: 1, short: unknown, long: unknown, usedAt: now}
}

// SetCapacity changes the number of slots.
func (q *SlotQueue) SetCapacity(slots int, now time.Time) {
	q.capacity = max(slots, 1)
	q.admit(now)
}

// SetServiceTime sets how long a long request uses a slot, as the initial value of the moving
// average.
func (q *SlotQueue) SetServiceTime(used time.Duration) { q.long.serviceTime = used }

// Load describes the capacity and the load of a back end.
type Load struct {
	Running, Waiting, Slots int
	// ServiceTime is how long a long request uses a slot on average, and ShortServiceTime
	// a short one.
	ServiceTime, ShortServiceTime time.Duration
	// ShortMaxTarget is the longest target of a short request.
	ShortMaxTarget time.Duration
	// MaxRate is how many requests a second the back end can serve, because it is cold or
	// states a limit; zero is unlimited.
	MaxRate float64
	// AdmitsAfter is how long a request that arrived now would wait for the limit that the back
	// end states.
	AdmitsAfter time.Duration
}

// Load returns the capacity and the load of the back end.
func (q *SlotQueue) Load(now time.Time) Load {
	return Load{
		Running:          q.short.running + q.long.running,
		Waiting:          q.short.waiting() + q.long.waiting(),
		Slots:            q.capacity,
		ServiceTime:      q.long.serviceTime,
		ShortServiceTime: q.short.serviceTime,
		ShortMaxTarget:   q.shortMaxTarget(),
		MaxRate:          q.maxRate(now),
		AdmitsAfter:      q.limit.WaitBehind(q.inTimeWaiting(), now),
	}
}

// Running returns how many slots each kind of request uses, and how many of them are used by
// late ones.
func (q *SlotQueue) Running() (short, long, late int) {
	return q.short.running, q.long.running, q.lateRunning
}

// shortMaxTarget returns the longest target that counts as short.
func (q *SlotQueue) shortMaxTarget() time.Duration {
	return time.Duration(shortTargetShare * float64(q.target))
}

// use returns the counts for a kind of request.
func (q *SlotQueue) use(short bool) *slotUse {
	if short {
		return &q.short
	}
	return &q.long
}

// advance brings the moving averages of used slots up to now.
func (q *SlotQueue) advance(now time.Time) {
	elapsed := now.Sub(q.usedAt)
	q.usedAt = now
	for _, use := range []*slotUse{&q.short, &q.long} {
		use.busy = average(use.busy, use.running, elapsed, busyHalfLife)
		use.longTermBusy = average(use.longTermBusy, use.running, elapsed, longTermHalfLife)
	}
	q.lateBusy = average(q.lateBusy, q.lateRunning, elapsed, busyHalfLife)
	q.lateLongTermBusy = average(q.lateLongTermBusy, q.lateRunning, elapsed, longTermHalfLife)
}

// average updates a moving average with a count that was valid for the elapsed time.
func average(before float64, running int, elapsed, halfLife time.Duration) float64 {
	keep := float64(halfLife) / float64(halfLife+max(elapsed, 0))
	return before*keep + float64(running)*(1-keep)
}

// reserved returns how many slots are reserved for short requests against a long one of a
// priority: as many as short ones use on average, rounded up. Beyond that a short request
// gets the next slot that becomes free, so that no more need to be idle.
func (q *SlotQueue) reserved(priority int) int {
	if q.short.busy < minBusy {
		return 0
	}
	count := int(math.Ceil(q.short.busy - minBusy))
	if priority < q.short.priority {
		count = reservedForLessUrgent
	}
	return min(count, q.capacity/2)
}

// mayStart reports whether a request of a kind and priority may take a slot now.
func (q *SlotQueue) mayStart(short bool, priority int, now time.Time) bool {
	if q.short.running+q.long.running >= q.capacity || q.paceWait(now) > 0 {
		return false
	}
	if short {
		return len(q.long.queue) == 0 || float64(q.short.running) < maxShortShare*float64(q.capacity)
	}
	return q.long.running < q.capacity-q.reserved(priority)
}

// Arrive handles a new request. It gets a slot, waits for one until the caller calls Leave, or
// is refused at once if the estimated wait is too long.
func (q *SlotQueue) Arrive(wanted Demand, admitted func(), now time.Time) (*Ticket, bool) {
	q.advance(now)
	if q.target == 0 {
		q.target = wanted.Target
	}
	arrived := &Ticket{Demand: wanted, Admitted: admitted, short: wanted.Target <= q.shortMaxTarget(), arrivedAt: now, position: -1}
	use := q.use(arrived.short)
	use.priority = wanted.Priority
	if q.mayStart(arrived.short, wanted.Priority, now) && len(use.queue) == 0 {
		q.start(use, arrived, now)
		return arrived, true
	}
	if q.estimate(&wanted, arrived.short, now) <= wanted.InTimeWait {
		heap.Push(&use.queue, arrived)
		return arrived, true
	}
	return arrived, q.queueLate(arrived, now)
}

// estimate returns how long a request would wait now. Long requests have the slots that short
// ones do not use.
func (q *SlotQueue) estimate(wanted *Demand, short bool, now time.Time) time.Duration {
	use, slots := q.use(short), float64(q.capacity)
	if !short {
		slots = max(1, slots-q.short.busy)
	}
	ahead := 1
	for _, waiting := range use.queue {
		if !wanted.before(&waiting.Demand) {
			ahead++
		}
	}
	bySlots := time.Duration(float64(use.serviceTime) * float64(ahead) / slots)
	if !short {
		ahead += len(q.short.queue)
	}
	return max(bySlots, q.paceWaitBehind(ahead-1, now))
}

// CheckIn returns after how long Check is to be called for a waiting request: when it can no
// longer be answered in time, and from then on every lateCheckInterval.
func (q *SlotQueue) CheckIn(waiting *Ticket, now time.Time) time.Duration {
	return waiting.untilCheck(now)
}

// Check reports, at the time that CheckIn returned, whether a waiting request is still likely
// to get a slot. Otherwise the caller should call Leave.
func (q *SlotQueue) Check(waiting *Ticket, now time.Time) (likely bool) {
	switch {
	case waiting.admitted:
		return true
	case waiting.late:
		return q.likelyToGetSlot(waiting, now)
	}
	heap.Remove(&q.use(waiting.short).queue, waiting.position)
	return q.queueLate(waiting, now)
}

// Leave removes a request from its queue, or frees its slot without measuring its use.
func (q *SlotQueue) Leave(leaving *Ticket, now time.Time) {
	use := q.use(leaving.short)
	switch {
	case leaving.admitted:
		use.running--
		if leaving.late {
			q.lateRunning--
		}
		q.admit(now)
	case leaving.position < 0:
	case leaving.late:
		heap.Remove(&use.late, leaving.position)
	default:
		heap.Remove(&use.queue, leaving.position)
	}
}

// Release frees a slot that was in use for a time.
func (q *SlotQueue) Release(taken Slot, used time.Duration, now time.Time) {
	q.advance(now)
	weight := min(targetWeight*used.Seconds(), maxTargetWeight)
	q.target += time.Duration(weight * float64(taken.Target-q.target))
	use := q.use(taken.Short)
	use.running--
	if taken.Late {
		q.lateRunning--
	}
	use.serviceTime += time.Duration(serviceTimeWeight * float64(used-use.serviceTime))
	q.admit(now)
}

// RetryAfter counts a refusal and returns after how long there may be a slot for the request.
func (q *SlotQueue) RetryAfter(target time.Duration, now time.Time) time.Duration {
	use := q.use(target <= q.shortMaxTarget())
	rate := float64(q.capacity) / max(use.serviceTime, time.Millisecond).Seconds()
	return use.refused.Add(rate, now)
}

// admit admits waiting requests while there are free slots: short ones first, unless a
// long one is more urgent, and late ones after all that can be answered in time.
func (q *SlotQueue) admit(now time.Time) {
	q.admitFrom(func(use *slotUse) *ticketQueue { return &use.queue }, now)
	q.admitFrom(func(use *slotUse) *ticketQueue { return &use.late }, now)
}

// start gives a slot to a request.
func (q *SlotQueue) start(use *slotUse, next *Ticket, now time.Time) {
	use.running++
	if next.late {
		q.lateRunning++
	}
	next.admitted = true
	q.warmUp.Sent(now)
	q.limit.Sent(now)
}

// admitFrom admits requests from one queue of each kind while there are free slots.
func (q *SlotQueue) admitFrom(queue func(*slotUse) *ticketQueue, now time.Time) {
	for {
		use := q.nextUse(*queue(&q.short), *queue(&q.long), now)
		if use == nil {
			return
		}
		next := heap.Pop(queue(use)).(*Ticket)
		q.start(use, next, now)
		if next.Admitted != nil {
			next.Admitted()
		}
	}
}

// nextUse returns the kind of request that gets the next free slot, or nil.
func (q *SlotQueue) nextUse(shortQueue, longQueue ticketQueue, now time.Time) *slotUse {
	short, long := q.canAdmit(true, shortQueue, now), q.canAdmit(false, longQueue, now)
	switch {
	case short && long && longQueue[0].Priority < shortQueue[0].Priority:
		return &q.long
	case short:
		return &q.short
	case long:
		return &q.long
	}
	return nil
}

// canAdmit reports whether a request of a kind waits in a queue and may take a slot now.
func (q *SlotQueue) canAdmit(short bool, queue ticketQueue, now time.Time) bool {
	return len(queue) > 0 && q.mayStart(short, queue[0].Priority, now)
}
