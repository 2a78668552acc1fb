package gateway

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"
)

// errNoRoom: the request would wait too long for a slot.
var errNoRoom = errors.New("no slot within the time left")

// reservedShare of the slots is kept for the most urgent requests, which others
// that hold slots may be waiting for.
const reservedShare = 6

// ticket is a request that waits for a slot.
type ticket struct {
	priority int
	order    uint64
	admitted chan struct{}
	position int
}

// ticketQueue orders tickets by priority, then by arrival.
type ticketQueue []*ticket

func (q ticketQueue) Len() int { return len(q) }
func (q ticketQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].order < q[j].order
}
func (q ticketQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}
func (q *ticketQueue) Push(x any) {
	t := x.(*ticket)
	t.position = len(*q)
	*q = append(*q, t)
}
func (q *ticketQueue) Pop() any {
	old := *q
	t := old[len(old)-1]
	*q = old[:len(old)-1]
	t.position = -1
	return t
}

// slotGate lets as many requests to the back end as it has slots, the most
// urgent first, and refuses what would wait too long.
type slotGate struct {
	mutex    sync.Mutex
	capacity int
	running  int
	order    uint64
	queue    ticketQueue
	// serviceTime is a moving average of how long a slot is used.
	serviceTime time.Duration
}

const (
	// initialServiceTime stands until something was measured.
	initialServiceTime = 50 * time.Millisecond
	// serviceTimeWeight of a new measurement.
	serviceTimeWeight = 0.1
)

func newSlotGate() *slotGate { return &slotGate{capacity: 1, serviceTime: initialServiceTime} }

// setCapacity changes the number of slots.
func (g *slotGate) setCapacity(slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.capacity = max(slots, 1)
	g.admit()
}

func (g *slotGate) counts() (running, waiting int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.running, len(g.queue)
}

// load returns what other gateways choose by.
func (g *slotGate) load() peerLoad {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return peerLoad{running: g.running, waiting: len(g.queue), slots: g.capacity, serviceTime: g.serviceTime}
}

// limit is how many slots a priority may use.
func (g *slotGate) limit(priority int) int {
	if priority <= 0 {
		return g.capacity
	}
	return max(1, g.capacity-g.capacity/reservedShare)
}

// acquire waits for a slot, at most for a time. Where the estimated wait is
// longer it refuses at once.
func (g *slotGate) acquire(ctx context.Context, priority int, patience time.Duration) error {
	g.mutex.Lock()
	if g.running < g.limit(priority) && !g.ahead(priority) {
		g.running++
		g.mutex.Unlock()
		return nil
	}
	if g.estimate(priority) > patience {
		g.mutex.Unlock()
		return errNoRoom
	}
	g.order++
	waiting := &ticket{priority: priority, order: g.order, admitted: make(chan struct{})}
	heap.Push(&g.queue, waiting)
	g.mutex.Unlock()
	return g.await(ctx, waiting, patience)
}

// ahead says that a request at least as urgent waits already.
func (g *slotGate) ahead(priority int) bool {
	return len(g.queue) > 0 && g.queue[0].priority <= priority
}

// estimate is how long a request of a priority would wait now.
func (g *slotGate) estimate(priority int) time.Duration {
	before := 1
	for _, waiting := range g.queue {
		if waiting.priority <= priority {
			before++
		}
	}
	return g.serviceTime * time.Duration(before) / time.Duration(g.limit(priority))
}

func (g *slotGate) await(ctx context.Context, waiting *ticket, patience time.Duration) error {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	var cause error
	select {
	case <-waiting.admitted:
		return nil
	case <-timer.C:
		cause = errNoRoom
	case <-ctx.Done():
		cause = context.Cause(ctx)
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if waiting.position < 0 {
		g.running--
		g.admit()
		return cause
	}
	heap.Remove(&g.queue, waiting.position)
	return cause
}

// release gives a slot back that was used for a time.
func (g *slotGate) release(used time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.running--
	g.serviceTime += time.Duration(serviceTimeWeight * float64(used-g.serviceTime))
	g.admit()
}

// admit lets waiting requests in while there is room.
func (g *slotGate) admit() {
	for len(g.queue) > 0 && g.running < g.limit(g.queue[0].priority) {
		next := heap.Pop(&g.queue).(*ticket)
		g.running++
		close(next.admitted)
	}
}
