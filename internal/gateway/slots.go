package gateway

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/warmup"
)

// errNoRoom: the request would wait too long for a slot.
var errNoRoom = errors.New("no slot within the time left")

// demand is what a request asks of the slots.
type demand struct {
	// priority ranks requests; 0 goes first. Among equals, who is due first.
	priority int
	due      time.Time
	// target is the time within which the answer is worth most. Requests with a
	// short one may use the slots that are kept for them: others that hold
	// slots, here or elsewhere, may be waiting for their answers.
	target time.Duration
	// patience is how long it may wait and still be answered in time, and latest
	// how long it may wait at all, if there is room for late ones.
	patience time.Duration
	latest   time.Duration
}

// ticket is a request that waits for a slot.
type ticket struct {
	demand
	short    bool
	late     bool
	since    time.Time
	admitted chan struct{}
	// position in the queue, below zero once admitted.
	position int
}

// ticketQueue orders tickets by priority, then by when they are due.
type ticketQueue []*ticket

func (q ticketQueue) Len() int           { return len(q) }
func (q ticketQueue) Less(i, j int) bool { return q[i].before(&q[j].demand) }
func (q ticketQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}

// Push implements heap.Interface.
func (q *ticketQueue) Push(x any) {
	t := x.(*ticket)
	t.position = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *ticketQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	t.position = -1
	return t
}

func (d *demand) before(other *demand) bool {
	if d.priority != other.priority {
		return d.priority < other.priority
	}
	return d.due.Before(other.due)
}

// slotUse counts the slots of one kind of request.
type slotUse struct {
	running int
	// queue of those that wait and can be answered in time, and late of those that
	// can't.
	queue ticketQueue
	late  ticketQueue
	// serviceTime is a moving average of how long a slot is used, and busy one
	// of how many are.
	serviceTime time.Duration
	busy        float64
	refused     refusals
	// priority of the request that came last.
	priority int
}

// slotGate lets as many requests to the back end as it has slots, the most
// urgent first, and refuses what would wait too long. Short requests go before
// long ones that are no more urgent, and some slots are kept for them, so that
// requests which wait for each other's calls can't fill all slots of a circle of
// services.
type slotGate struct {
	mutex    sync.Mutex
	capacity int
	short    slotUse
	long     slotUse
	usedAt   time.Time
	// lateRunning is how many slots late requests use, and lateBusy a moving
	// average of it.
	lateRunning int
	lateBusy    float64
	// target is the mean target of requests, weighed by the slot time they use.
	target time.Duration
	// limit is for long requests: those that call other services.
	limit failureLimit
	// warmth bounds what the back end gets while it is cold, and pace is the timer
	// of the next request that waits for it.
	warmth warmup.Limiter
	pace   *time.Timer
}

const (
	// initialServiceTime stands until something was measured.
	initialServiceTime = 50 * time.Millisecond
	// serviceTimeWeight of a new measurement.
	serviceTimeWeight = 0.1
	// busyHalfLife weighs older counts of used slots.
	busyHalfLife = time.Second
	// keptForShort slots are kept for short requests, where those use any.
	// Beside them a short request gets the next slot that becomes free, so that
	// no more need to be idle.
	keptForShort = 2
	// keptForLessUrgent are kept before a long request that is more urgent: what
	// calls need to end at all, and no more.
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

func newSlotGate() *slotGate {
	unknown := slotUse{serviceTime: initialServiceTime}
	return &slotGate{capacity: 1, short: unknown, long: unknown, usedAt: time.Now(), limit: newFailureLimit()}
}

// setCapacity changes the number of slots.
func (g *slotGate) setCapacity(slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.capacity = max(slots, 1)
	g.admit()
}

func (g *slotGate) counts() (running, waiting int) {
	load := g.load()
	return load.running, load.waiting
}

// load returns what other gateways choose by.
func (g *slotGate) load() peerLoad {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return peerLoad{
		running:      g.short.running + g.long.running,
		waiting:      g.short.waiting() + g.long.waiting(),
		slots:        g.capacity,
		serviceTime:  g.long.serviceTime,
		shortService: g.short.serviceTime,
		shortUpTo:    g.shortUpTo(),
		bears:        g.warmth.Bears(time.Now()),
	}
}

// shortUpTo is the longest target that counts as short.
func (g *slotGate) shortUpTo() time.Duration {
	return time.Duration(shortShare * float64(g.target))
}

// use returns the counts for a kind of request.
func (g *slotGate) use(short bool) *slotUse {
	if short {
		return &g.short
	}
	return &g.long
}

// advance brings the moving averages of used slots up to now.
func (g *slotGate) advance(now time.Time) {
	elapsed := now.Sub(g.usedAt)
	g.usedAt = now
	keep := float64(busyHalfLife) / float64(busyHalfLife+max(elapsed, 0))
	for _, use := range []*slotUse{&g.short, &g.long} {
		use.busy = use.busy*keep + float64(use.running)*(1-keep)
	}
	g.lateBusy = g.lateBusy*keep + float64(g.lateRunning)*(1-keep)
}

// reserved is how many slots only short requests may use, before a long one of a
// priority.
func (g *slotGate) reserved(priority int) int {
	if g.short.busy < leastBusy {
		return 0
	}
	kept := keptForShort
	if priority < g.short.priority {
		kept = keptForLessUrgent
	}
	return min(kept, g.capacity/2)
}

// fits says that a request of a kind and priority may take a slot now.
func (g *slotGate) fits(short bool, priority int, now time.Time) bool {
	if g.short.running+g.long.running >= g.capacity || g.warmth.Wait(now) > 0 {
		return false
	}
	if short {
		return len(g.long.queue) == 0 || float64(g.short.running) < mostShort*float64(g.capacity)
	}
	return g.long.running < min(g.limit.of(g.capacity), g.capacity-g.reserved(priority))
}

// slot is one that was acquired.
type slot struct {
	short  bool
	late   bool
	target time.Duration
}

// acquire waits for a slot. Where the estimated wait is longer than the request
// may wait, it refuses at once.
func (g *slotGate) acquire(ctx context.Context, wanted demand) (slot, error) {
	g.mutex.Lock()
	now := time.Now()
	g.advance(now)
	if g.target == 0 {
		g.target = wanted.target
	}
	taken := slot{short: wanted.target <= g.shortUpTo(), target: wanted.target}
	use := g.use(taken.short)
	use.priority = wanted.priority
	if g.fits(taken.short, wanted.priority, now) && len(use.queue) == 0 {
		g.start(use, now)
		g.mutex.Unlock()
		return taken, nil
	}
	waiting := &ticket{demand: wanted, short: taken.short, since: now, admitted: make(chan struct{})}
	if g.estimate(&wanted, taken.short) <= wanted.patience {
		heap.Push(&use.queue, waiting)
	} else if !g.waitLate(waiting, waiting.since) {
		g.mutex.Unlock()
		return slot{}, errNoRoom
	}
	g.awaitPace(now)
	g.mutex.Unlock()
	err := g.await(ctx, waiting)
	taken.late = waiting.late
	return taken, err
}

// estimate is how long a request would wait now. Long requests have the slots
// that short ones do not use.
func (g *slotGate) estimate(wanted *demand, short bool) time.Duration {
	use, slots := g.use(short), float64(g.capacity)
	if !short {
		slots = max(1, min(slots-g.short.busy, float64(g.limit.of(g.capacity))))
	}
	ahead := 1
	for _, waiting := range use.queue {
		if !wanted.before(&waiting.demand) {
			ahead++
		}
	}
	bySlots := time.Duration(float64(use.serviceTime) * float64(ahead) / slots)
	if !short {
		ahead += len(g.short.queue)
	}
	return max(bySlots, g.paced(ahead-1, time.Now()))
}

// await returns once a request has a slot, or with why it gets none.
func (g *slotGate) await(ctx context.Context, waiting *ticket) error {
	timer := time.NewTimer(waiting.untilCheck(waiting.since))
	defer timer.Stop()
	for {
		var cause error
		select {
		case <-waiting.admitted:
			return nil
		case <-timer.C:
			if g.hopeful(waiting, time.Now()) {
				timer.Reset(waiting.untilCheck(time.Now()))
				continue
			}
			cause = errNoRoom
		case <-ctx.Done():
			cause = context.Cause(ctx)
		}
		if g.leave(waiting, ctx.Err() == nil) {
			return cause
		}
		timer.Reset(waiting.untilCheck(time.Now()))
	}
}

// leave takes a request out of its queue, and reports that it is out. One that
// can't be answered in time any more may stay as a late one.
func (g *slotGate) leave(waiting *ticket, mayStay bool) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	use := g.use(waiting.short)
	if waiting.position < 0 {
		use.running--
		if waiting.late {
			g.lateRunning--
		}
		g.admit()
		return true
	}
	if waiting.late {
		heap.Remove(&use.late, waiting.position)
		return true
	}
	heap.Remove(&use.queue, waiting.position)
	return !mayStay || !g.waitLate(waiting, time.Now())
}

// release gives a slot back that was used for a time; failed says that the run
// ended with a failure of the back end's own.
func (g *slotGate) release(taken slot, used time.Duration, failed bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := time.Now()
	g.advance(now)
	if !taken.short {
		g.limit.count(failed, now)
	}
	weight := min(targetWeight*used.Seconds(), mostTargetWeight)
	g.target += time.Duration(weight * float64(taken.target-g.target))
	use := g.use(taken.short)
	use.running--
	if taken.late {
		g.lateRunning--
	}
	use.serviceTime += time.Duration(serviceTimeWeight * float64(used-use.serviceTime))
	g.admit()
}

// admit lets waiting requests in while there is room: short ones first, unless a
// long one is more urgent, and late ones after all that can be answered in time.
func (g *slotGate) admit() {
	now := time.Now()
	g.admitFrom(func(use *slotUse) *ticketQueue { return &use.queue }, now)
	g.admitFrom(func(use *slotUse) *ticketQueue { return &use.late }, now)
	g.awaitPace(now)
}

// start counts a request that gets a slot.
func (g *slotGate) start(use *slotUse, now time.Time) {
	use.running++
	g.warmth.Sent(now)
}

// admitFrom lets requests of one queue of both kinds in while there is room.
func (g *slotGate) admitFrom(queue func(*slotUse) *ticketQueue, now time.Time) {
	for {
		use := g.nextUse(*queue(&g.short), *queue(&g.long), now)
		if use == nil {
			return
		}
		next := heap.Pop(queue(use)).(*ticket)
		g.start(use, now)
		if next.late {
			g.lateRunning++
		}
		close(next.admitted)
	}
}

// nextUse is the kind of request that gets the next free slot, or nil.
func (g *slotGate) nextUse(shortQueue, longQueue ticketQueue, now time.Time) *slotUse {
	short, long := g.ready(true, shortQueue, now), g.ready(false, longQueue, now)
	switch {
	case short && long && longQueue[0].priority < shortQueue[0].priority:
		return &g.long
	case short:
		return &g.short
	case long:
		return &g.long
	}
	return nil
}

// ready says that a request of a kind waits in a queue and may take a slot now.
func (g *slotGate) ready(short bool, queue ticketQueue, now time.Time) bool {
	return len(queue) > 0 && g.fits(short, queue[0].priority, now)
}
