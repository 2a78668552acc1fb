package overload

import (
	"container/heap"
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/warmup"
)

// slotUse counts the slots of one kind of request.
type slotUse struct {
	running int
	// queue of those that wait and can be answered in time, and late of those that
	// can't.
	queue ticketQueue
	late  ticketQueue
	// serviceTime is a moving average of how long a slot is used, and busy one
	// of how many are.
	// lasting is the same as busy over a longer time.
	serviceTime time.Duration
	busy        float64
	lasting     float64
	refused     Refusals
	// priority of the request that came last.
	priority int
}

// SlotQueue lets as many requests to the back end as it has slots, the most
// urgent first, and refuses what would wait too long. Short requests go before
// long ones that are no more urgent, and some slots are kept for them, so that
// requests which wait for each other's calls can't fill all slots of a circle of
// services.
type SlotQueue struct {
	capacity int
	short    slotUse
	long     slotUse
	usedAt   time.Time
	// lateRunning is how many slots late requests use, and lateBusy a moving
	// average of it.
	lateRunning int
	lateBusy    float64
	lateLasting float64
	// target is the mean target of requests, weighed by the slot time they use.
	target time.Duration
	// warmth bounds what the back end gets while it is cold.
	warmth warmup.Limiter
}

const (
	// InitialServiceTime stands until something was measured.
	InitialServiceTime = 50 * time.Millisecond
	// serviceTimeWeight of a new measurement.
	serviceTimeWeight = 0.1
	// busyHalfLife weighs older counts of used slots.
	busyHalfLife = time.Second
	// lastingHalfLife is the same for what tells a passing burst from overload.
	lastingHalfLife = 4 * time.Second
	// keptForLessUrgent are kept for short requests before a long one that is more
	// urgent: what calls need to end at all, and no more.
	keptForLessUrgent = 1
	leastBusy         = 0.05
	// mostShort is the part of the slots that short requests may use while long
	// ones wait, so that these are not starved.
	mostShort = 0.72
	// shortShare is the part of the mean target up to which one is short.
	shortShare = 0.6
	// targetWeight is the weight of a second of slot time in the mean target,
	// mostTargetWeight that of any one request.
	targetWeight     = 0.25
	mostTargetWeight = 0.1
)

// NewSlotQueue returns the queue of a back end that takes one request at a time and is
// warm.
func NewSlotQueue(now time.Time) *SlotQueue {
	unknown := slotUse{serviceTime: InitialServiceTime}
	return &SlotQueue{capacity: 1, short: unknown, long: unknown, usedAt: now}
}

// SetCapacity changes the number of slots.
func (q *SlotQueue) SetCapacity(slots int, now time.Time) {
	q.capacity = max(slots, 1)
	q.admit(now)
}

// SetServiceTime says how long a long request uses a slot, as a starting point for
// what is measured.
func (q *SlotQueue) SetServiceTime(used time.Duration) { q.long.serviceTime = used }

// Load is what a back end has and does.
type Load struct {
	Running, Waiting, Slots int
	// ServiceTime is how long a long request uses a slot on average, and ShortService
	// a short one.
	ServiceTime, ShortService time.Duration
	// ShortUpTo is the longest target of a short request.
	ShortUpTo time.Duration
	// Bears is how many requests a second the back end bears while it is cold; zero
	// is unbounded.
	Bears float64
}

// Load returns what the back end has and does.
func (q *SlotQueue) Load(now time.Time) Load {
	return Load{
		Running:      q.short.running + q.long.running,
		Waiting:      q.short.waiting() + q.long.waiting(),
		Slots:        q.capacity,
		ServiceTime:  q.long.serviceTime,
		ShortService: q.short.serviceTime,
		ShortUpTo:    q.shortUpTo(),
		Bears:        q.warmth.Bears(now),
	}
}

// Running returns how many slots each kind of request uses, and how many of them late
// ones do.
func (q *SlotQueue) Running() (short, long, late int) {
	return q.short.running, q.long.running, q.lateRunning
}

// shortUpTo is the longest target that counts as short.
func (q *SlotQueue) shortUpTo() time.Duration {
	return time.Duration(shortShare * float64(q.target))
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
		use.lasting = average(use.lasting, use.running, elapsed, lastingHalfLife)
	}
	q.lateBusy = average(q.lateBusy, q.lateRunning, elapsed, busyHalfLife)
	q.lateLasting = average(q.lateLasting, q.lateRunning, elapsed, lastingHalfLife)
}

// average moves an average on by a count that held for a time.
func average(before float64, running int, elapsed, halfLife time.Duration) float64 {
	keep := float64(halfLife) / float64(halfLife+max(elapsed, 0))
	return before*keep + float64(running)*(1-keep)
}

// reserved is how many slots only short requests may use, before a long one of a
// priority: as many as they use, in whole slots. Beside them a short request gets the next
// slot that becomes free, so that no more need to be idle.
func (q *SlotQueue) reserved(priority int) int {
	if q.short.busy < leastBusy {
		return 0
	}
	kept := int(math.Ceil(q.short.busy - leastBusy))
	if priority < q.short.priority {
		kept = keptForLessUrgent
	}
	return min(kept, q.capacity/2)
}

// fits says that a request of a kind and priority may take a slot now.
func (q *SlotQueue) fits(short bool, priority int, now time.Time) bool {
	if q.short.running+q.long.running >= q.capacity || q.warmth.Wait(now) > 0 {
		return false
	}
	if short {
		return len(q.long.queue) == 0 || float64(q.short.running) < mostShort*float64(q.capacity)
	}
	return q.long.running < q.capacity-q.reserved(priority)
}

// Arrive takes a request. It has a slot, waits for one until the caller calls Leave, or
// is refused at once where the estimated wait is longer than it may be.
func (q *SlotQueue) Arrive(wanted Demand, admitted func(), now time.Time) (*Ticket, bool) {
	q.advance(now)
	if q.target == 0 {
		q.target = wanted.Target
	}
	arrived := &Ticket{Demand: wanted, Admitted: admitted, short: wanted.Target <= q.shortUpTo(), since: now, position: -1}
	use := q.use(arrived.short)
	use.priority = wanted.Priority
	if q.fits(arrived.short, wanted.Priority, now) && len(use.queue) == 0 {
		q.start(use, arrived, now)
		return arrived, true
	}
	if q.estimate(&wanted, arrived.short, now) <= wanted.Patience {
		heap.Push(&use.queue, arrived)
		return arrived, true
	}
	return arrived, q.waitLate(arrived, now)
}

// estimate is how long a request would wait now. Long requests have the slots
// that short ones do not use.
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
	return max(bySlots, q.paced(ahead-1, now))
}

// CheckIn is when a request that waits is to be checked: when it can't be answered in
// time any more, and from then on each lateCheckInterval.
func (q *SlotQueue) CheckIn(waiting *Ticket, now time.Time) time.Duration {
	return waiting.untilCheck(now)
}

// Check looks at a request that waits, when its time for that has come, and reports
// whether it is still likely to get a slot. Otherwise it should leave.
func (q *SlotQueue) Check(waiting *Ticket, now time.Time) (hopeful bool) {
	switch {
	case waiting.admitted:
		return true
	case waiting.late:
		return q.hopeful(waiting, now)
	}
	heap.Remove(&q.use(waiting.short).queue, waiting.position)
	return q.waitLate(waiting, now)
}

// Leave takes a request away that has left: out of its queue, or with its slot.
func (q *SlotQueue) Leave(left *Ticket, now time.Time) {
	use := q.use(left.short)
	switch {
	case left.admitted:
		use.running--
		if left.late {
			q.lateRunning--
		}
		q.admit(now)
	case left.position < 0:
	case left.late:
		heap.Remove(&use.late, left.position)
	default:
		heap.Remove(&use.queue, left.position)
	}
}

// Release gives a slot back that was used for a time.
func (q *SlotQueue) Release(taken Slot, used time.Duration, now time.Time) {
	q.advance(now)
	weight := min(targetWeight*used.Seconds(), mostTargetWeight)
	q.target += time.Duration(weight * float64(taken.Target-q.target))
	use := q.use(taken.Short)
	use.running--
	if taken.Late {
		q.lateRunning--
	}
	use.serviceTime += time.Duration(serviceTimeWeight * float64(used-use.serviceTime))
	q.admit(now)
}

// ComeBackIn counts a refusal of a kind of request and returns when there may be
// room for it.
func (q *SlotQueue) ComeBackIn(target time.Duration, now time.Time) time.Duration {
	use := q.use(target <= q.shortUpTo())
	rate := float64(q.capacity) / max(use.serviceTime, time.Millisecond).Seconds()
	return use.refused.Add(rate, now)
}

// admit lets waiting requests in while there is room: short ones first, unless a
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
	q.warmth.Sent(now)
}

// admitFrom lets requests of one queue of both kinds in while there is room.
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

// nextUse is the kind of request that gets the next free slot, or nil.
func (q *SlotQueue) nextUse(shortQueue, longQueue ticketQueue, now time.Time) *slotUse {
	short, long := q.ready(true, shortQueue, now), q.ready(false, longQueue, now)
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

// ready says that a request of a kind waits in a queue and may take a slot now.
func (q *SlotQueue) ready(short bool, queue ticketQueue, now time.Time) bool {
	return len(queue) > 0 && q.fits(short, queue[0].Priority, now)
}
