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

// slotGate limits the requests that run at the back end at once to its slots. An
// overload.SlotQueue decides which requests wait, in which order and how long.
type slotGate struct {
	mutex sync.Mutex
	queue *overload.SlotQueue
	// paceTimer fires when the next waiting request may be sent to a cold back end at its
	// warm-up rate.
	paceTimer *time.Timer
}

func newSlotGate() *slotGate { return &slotGate{queue: overload.NewSlotQueue(steady.Reading())} }

// decide calls a function on the queue at the present time, and sets the timer if a request
// then waits for the warm-up rate of a cold back end.
func (g *slotGate) decide(call func(queue *overload.SlotQueue, now time.Time)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := steady.Reading()
	call(g.queue, now)
	if g.paceTimer != nil {
		return
	}
	if wait := g.queue.PaceIn(now); wait > 0 {
		g.paceTimer = time.AfterFunc(wait, g.admitPaced)
	}
}

// admitPaced admits the next requests that wait for the warm-up rate of a cold back end.
func (g *slotGate) admitPaced() {
	g.mutex.Lock()
	g.paceTimer = nil
	g.mutex.Unlock()
	g.decide(func(queue *overload.SlotQueue, now time.Time) { queue.Pace(now) })
}

// setCapacity changes the number of slots.
func (g *slotGate) setCapacity(slots int) {
	g.decide(func(queue *overload.SlotQueue, now time.Time) { queue.SetCapacity(slots, now) })
}

func (g *slotGate) counts() (running, waiting int) {
	load := g.load()
	return load.running, load.waiting
}

// load returns the load that other gateways use to choose among back ends.
func (g *slotGate) load() peerLoad {
	var reported overload.Load
	g.decide(func(queue *overload.SlotQueue, now time.Time) { reported = queue.Load(now) })
	return peerLoad{
		running:      reported.Running,
		waiting:      reported.Waiting,
		slots:        reported.Slots,
		serviceTime:  reported.ServiceTime,
		shortService: reported.ShortService,
		shortUpTo:    reported.ShortUpTo,
		bears:        reported.Bears,
	}
}

// acquire waits for a slot. If the estimated wait is longer than the request may wait, it
// refuses at once.
func (g *slotGate) acquire(ctx context.Context, wanted demand) (overload.Slot, error) {
	admitted := make(chan struct{})
	var ticket *overload.Ticket
	var accepted, hasSlot bool
	var check time.Duration
	g.decide(func(queue *overload.SlotQueue, now time.Time) {
		ticket, accepted = queue.Arrive(wanted, func() { close(admitted) }, now)
		check, hasSlot = queue.CheckIn(ticket, now), ticket.HasSlot()
	})
	switch {
	case !accepted:
		return overload.Slot{}, errNoSlot
	case hasSlot:
		return ticket.Slot(), nil
	}
	if err := g.await(ctx, ticket, admitted, check); err != nil {
		return overload.Slot{}, err
	}
	return ticket.Slot(), nil
}

// await returns once a waiting request has a slot, or why it gets none.
func (g *slotGate) await(ctx context.Context, ticket *overload.Ticket, admitted <-chan struct{}, check time.Duration) error {
	timer := time.NewTimer(check)
	defer timer.Stop()
	for {
		select {
		case <-admitted:
			return nil
		case <-ctx.Done():
			g.decide(func(queue *overload.SlotQueue, now time.Time) { queue.Leave(ticket, now) })
			return context.Cause(ctx)
		case <-timer.C:
		}
		viable := false
		g.decide(func(queue *overload.SlotQueue, now time.Time) {
			if viable = queue.Check(ticket, now); !viable {
				queue.Leave(ticket, now)
			}
			check = queue.CheckIn(ticket, now)
		})
		if !viable {
			return errNoSlot
		}
		timer.Reset(check)
	}
}

// release returns a slot that was used for the given time.
func (g *slotGate) release(slot overload.Slot, used time.Duration) {
	g.decide(func(queue *overload.SlotQueue, now time.Time) { queue.Release(slot, used, now) })
}

// comeBackIn counts a refusal of a request with the given target and returns when there may
// be a slot for it.
func (g *slotGate) comeBackIn(target time.Duration) (wait time.Duration) {
	g.decide(func(queue *overload.SlotQueue, now time.Time) { wait = queue.ComeBackIn(target, now) })
	return wait
}
