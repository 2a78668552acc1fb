// Package gate lets many goroutines wait for the slots of an admission.Queue.
package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Gate is a Queue with a lock and a clock. Acquire blocks only while a
// request waits.
type Gate struct {
	clock   func() time.Duration
	mutex   sync.Mutex
	queue   *admission.Queue
	waiters map[*admission.Ticket]*Slot
}

// Slot is the right to run one request.
type Slot struct {
	ticket admission.Ticket
	gate   *Gate
	// decided receives the fate of a waiting request.
	decided chan *admission.Refusal
}

// New makes a Gate. Clock is a monotonic reading, the same that requests'
// deadlines are given in.
func New(config admission.Config, clock func() time.Duration) (*Gate, error) {
	queue, err := admission.New(config)
	if err != nil {
		return nil, err
	}
	return &Gate{clock: clock, queue: queue, waiters: make(map[*admission.Ticket]*Slot)}, nil
}

// Acquire waits for a slot. The error is an *admission.Refusal, or the
// context's error where the caller went away. The slot must be released.
func (g *Gate) Acquire(ctx context.Context, request admission.Request) (*Slot, error) {
	slot := &Slot{gate: g}
	refusal, waits, latestStart := g.offer(slot, request)
	if refusal != nil {
		return nil, refusal
	}
	if !waits {
		return slot, nil
	}
	return slot.wait(ctx, latestStart)
}

// Release gives the slot back. It may be called once.
func (s *Slot) Release() {
	s.gate.mutex.Lock()
	defer s.gate.mutex.Unlock()
	s.gate.queue.Finish(s.gate.clock(), &s.ticket)
	s.gate.deliver(nil)
}

// Waiting is how many requests wait.
func (g *Gate) Waiting() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Waiting()
}

// Running is how many slots are taken.
func (g *Gate) Running() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Running()
}

// SetSlots changes the number of slots.
func (g *Gate) SetSlots(slots int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.queue.SetSlots(g.clock(), slots)
	g.deliver(nil)
}

// offer puts the request to the queue and says whether it has to wait, and
// for how long that makes sense.
func (g *Gate) offer(slot *Slot, request admission.Request) (refusal *admission.Refusal, waits bool, latestStart time.Duration) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.queue.Offer(g.clock(), &slot.ticket, request)
	decided, refusal := g.deliver(&slot.ticket)
	if decided {
		return refusal, false, 0
	}
	slot.decided = make(chan *admission.Refusal, 1)
	g.waiters[&slot.ticket] = slot
	return nil, true, g.queue.LatestStart(&request)
}

// deliver hands the queue's decisions to the goroutines that wait for them,
// except the decision on own, which it returns.
func (g *Gate) deliver(own *admission.Ticket) (decided bool, refusal *admission.Refusal) {
	for _, decision := range g.queue.Decisions() {
		if decision.Ticket == own {
			decided, refusal = true, decision.Refusal
			continue
		}
		waiter := g.waiters[decision.Ticket]
		delete(g.waiters, decision.Ticket)
		waiter.decided <- decision.Refusal
	}
	return decided, refusal
}

// wait blocks until the request may run, is refused, can no longer meet its
// deadline or has lost its caller.
func (s *Slot) wait(ctx context.Context, latestStart time.Duration) (*Slot, error) {
	var tooLate <-chan time.Time
	if latestStart != 0 {
		timer := time.NewTimer(latestStart - s.gate.clock())
		defer timer.Stop()
		tooLate = timer.C
	}
	select {
	case refusal := <-s.decided:
		return s.outcome(refusal)
	case <-tooLate:
		return s.withdraw(s.gate.shed())
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return s.withdraw(&admission.Refusal{Reason: wire.ReasonExpired})
		}
		return s.withdraw(ctx.Err())
	}
}

// shed is the answer to a request that will not start in time.
func (g *Gate) shed() *admission.Refusal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return &admission.Refusal{Reason: wire.ReasonShed, RetryAfter: g.queue.RetryAfter()}
}

func (s *Slot) outcome(refusal *admission.Refusal) (*Slot, error) {
	if refusal != nil {
		return nil, refusal
	}
	return s, nil
}

// withdraw leaves the queue. A decision that was made in the meantime stands,
// unless nobody is there to use the slot.
func (s *Slot) withdraw(reason error) (*Slot, error) {
	s.gate.mutex.Lock()
	if s.gate.queue.Withdraw(&s.ticket) {
		delete(s.gate.waiters, &s.ticket)
		s.gate.mutex.Unlock()
		return nil, reason
	}
	s.gate.mutex.Unlock()
	if refusal := <-s.decided; refusal != nil {
		return nil, refusal
	}
	var refusal *admission.Refusal
	if errors.As(reason, &refusal) {
		return s, nil
	}
	s.Release()
	return nil, reason
}
