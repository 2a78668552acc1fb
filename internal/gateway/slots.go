package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// errNoSlot means that the request would wait too long for a slot.
var errNoSlot = errors.New("no slot available within the remaining time")

// demand is what a request demands of the slots.
type demand = overload.Demand

// slotLimiter limits the requests that run at the back end at once to its slots. An
// overload.SlotQueue decides which requests wait, in which order and how long.
type slotLimiter struct {
	mutex sync.Mutex
	queue *overload.SlotQueue
	// paceTimer fires at paceAt, when the next waiting request may be sent to a back end that
	// is cold or states a rate limit. It is nil if none waits for that.
	paceTimer *time.Timer
	paceAt    time.Time
}

func newSlotLimiter() *slotLimiter {
	return &slotLimiter{queue: overload.NewSlotQueue(steady.Reading())}
}

// withQueue calls a function on the queue at the present time, and sets the timer if a request
// then waits for the rate of a back end that is cold or states a limit.
func (g *slotLimiter) withQueue(call func(queue *overload.SlotQueue, now time.Time)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := steady.Reading()
	call(g.queue, now)
	wait := g.queue.NextAdmission(now)
	switch at := now.Add(wait); {
	case wait <= 0:
	case g.paceTimer == nil:
		g.paceTimer, g.paceAt = time.AfterFunc(wait, g.admitPaced), at
	case at.Before(g.paceAt): // the rate has increased
		g.paceTimer.Reset(wait)
		g.paceAt = at
	}
}

// admitPaced admits the next requests that wait for the rate of a back end that is cold or states
// a limit.
func (g *slotLimiter) admitPaced() {
	g.mutex.Lock()
	g.paceTimer = nil
	g.mutex.Unlock()
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { queue.AdmitPaced(now) })
}

// setCapacity changes the number of slots.
func (g *slotLimiter) setCapacity(slots int) {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { queue.SetCapacity(slots, now) })
}

func (g *slotLimiter) counts() (running, waiting int) {
	load := g.load()
	return load.running, load.waiting
}

// load returns the load that other gateways use to choose among back ends.
func (g *slotLimiter) load() peerLoad {
	var reported overload.Load
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { reported = queue.Load(now) })
	return peerLoad{
		running:          reported.Running,
		waiting:          reported.Waiting,
		slots:            reported.Slots,
		serviceTime:      reported.ServiceTime,
		shortServiceTime: reported.ShortServiceTime,
		shortMaxTarget:   reported.ShortMaxTarget,
		maxRate:          reported.MaxRate,
		admitsAfter:      reported.AdmitsAfter,
	}
}

// acquire waits for a slot. If the estimated wait is longer than the request may wait, it
// refuses at once.
func (g *slotLimiter) acquire(ctx context.Context, wanted demand) (overload.Slot, error) {
	admitted := make(chan struct{})
	var ticket *overload.Ticket
	var accepted, hasSlot bool
	var check time.Duration
	var refusal error
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) {
		ticket, accepted = queue.Arrive(wanted, func() { close(admitted) }, now)
		if !accepted {
			refusal = refusalOf(queue, wanted, now)
			return
		}
		check, hasSlot = queue.CheckIn(ticket, now), ticket.HasSlot()
	})
	switch {
	case !accepted:
		return overload.Slot{}, refusal
	case hasSlot:
		return ticket.Slot(), nil
	}
	if err := g.await(ctx, ticket, admitted, check); err != nil {
		return overload.Slot{}, err
	}
	return ticket.Slot(), nil
}

// await returns once a waiting request has a slot, or why it gets none.
func (g *slotLimiter) await(ctx context.Context, ticket *overload.Ticket, admitted <-chan struct{}, check time.Duration) error {
	timer := time.NewTimer(check)
	defer timer.Stop()
	for {
		select {
		case <-admitted:
			return nil
		case <-ctx.Done():
			g.withQueue(func(queue *overload.SlotQueue, now time.Time) { queue.Leave(ticket, now) })
			return context.Cause(ctx)
		case <-timer.C:
		}
		var refusal error
		g.withQueue(func(queue *overload.SlotQueue, now time.Time) {
			if !queue.Check(ticket, now) {
				queue.Leave(ticket, now)
				refusal = refusalOf(queue, ticket.Demand, now)
			}
			check = queue.CheckIn(ticket, now)
		})
		if refusal != nil {
			return refusal
		}
		timer.Reset(check)
	}
}

// release returns a slot that was used for the given time.
func (g *slotLimiter) release(slot overload.Slot, used time.Duration) {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { queue.Release(slot, used, now) })
}

// retryAfter counts a refusal of a request with the given target and returns when there may
// be a slot for it.
func (g *slotLimiter) retryAfter(target time.Duration) (wait time.Duration) {
	g.withQueue(func(queue *overload.SlotQueue, now time.Time) { wait = queue.RetryAfter(target, now) })
	return wait
}
