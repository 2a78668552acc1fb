package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/overload"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// errNoRoom: the request would wait too long for a slot.
var errNoRoom = errors.New("no slot within the time left")

// demand is what a request asks of the slots.
type demand = overload.Demand

// slotGate lets requests wait for the slots of the back end. Who waits, in which order
// and how long is decided by an overload.SlotQueue.
type slotGate struct {
	mutex sync.Mutex
	queue *overload.SlotQueue
	// pace is the timer of the next request that waits for a cold back end to bear it.
	pace *time.Timer
}

func newSlotGate() *slotGate { return &slotGate{queue: overload.NewSlotQueue(steady.Reading())} }

// decide calls a function on the queue at the present time, and sets the timer for
// who then waits for a cold back end.
func (g *slotGate) decide(call func(queue *overload.SlotQueue, now time.Time)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	now := steady.Reading()
	call(g.queue, now)
	if g.pace != nil {
		return
	}
	if wait := g.queue.PaceIn(now); wait > 0 {
		g.pace = time.AfterFunc(wait, g.paceNext)
	}
}

// paceNext lets the next request go to a cold back end.
func (g *slotGate) paceNext() {
	g.mutex.Lock()
	g.pace = nil
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

// load returns what other gateways choose by.
func (g *slotGate) load() peerLoad {
	var told overload.Load
	g.decide(func(queue *overload.SlotQueue, now time.Time) { told = queue.Load(now) })
	return peerLoad{
		running:      told.Running,
		waiting:      told.Waiting,
		slots:        told.Slots,
		serviceTime:  told.ServiceTime,
		shortService: told.ShortService,
		shortUpTo:    told.ShortUpTo,
		bears:        told.Bears,
	}
}

// acquire waits for a slot. Where the estimated wait is longer than the request
// may wait, it refuses at once.
func (g *slotGate) acquire(ctx context.Context, wanted demand) (overload.Slot, error) {
	admitted := make(chan struct{})
	var arrived *overload.Ticket
	var taken, hasSlot bool
	var check time.Duration
	g.decide(func(queue *overload.SlotQueue, now time.Time) {
		arrived, taken = queue.Arrive(wanted, func() { close(admitted) }, now)
		check, hasSlot = queue.CheckIn(arrived, now), arrived.HasSlot()
	})
	switch {
	case !taken:
		return overload.Slot{}, errNoRoom
	case hasSlot:
		return arrived.Slot(), nil
	}
	if err := g.await(ctx, arrived, admitted, check); err != nil {
		return overload.Slot{}, err
	}
	return arrived.Slot(), nil
}

// await returns once a request has a slot, or with why it gets none.
func (g *slotGate) await(ctx context.Context, waiting *overload.Ticket, admitted <-chan struct{}, check time.Duration) error {
	timer := time.NewTimer(check)
	defer timer.Stop()
	for {
		select {
		case <-admitted:
			return nil
		case <-ctx.Done():
			g.decide(func(queue *overload.SlotQueue, now time.Time) { queue.Leave(waiting, now) })
			return context.Cause(ctx)
		case <-timer.C:
		}
		hopeful := false
		g.decide(func(queue *overload.SlotQueue, now time.Time) {
			if hopeful = queue.Check(waiting, now); !hopeful {
				queue.Leave(waiting, now)
			}
			check = queue.CheckIn(waiting, now)
		})
		if !hopeful {
			return errNoRoom
		}
		timer.Reset(check)
	}
}

// release gives a slot back that was used for a time.
func (g *slotGate) release(taken overload.Slot, used time.Duration) {
	g.decide(func(queue *overload.SlotQueue, now time.Time) { queue.Release(taken, used, now) })
}

// comeBackIn counts a refusal of a request with a target and returns when there may
// be room for it.
func (g *slotGate) comeBackIn(target time.Duration) (wait time.Duration) {
	g.decide(func(queue *overload.SlotQueue, now time.Time) { wait = queue.ComeBackIn(target, now) })
	return wait
}
