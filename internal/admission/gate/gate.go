// Package gate makes an admission.Queue safe for concurrent use and lets
// goroutines block until they get a slot.
package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Gate guards a Queue with a mutex and gives it the time. Acquire blocks only
// while its request waits for a slot.
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
	// decided receives the decision on a waiting request; nil means that it runs.
	decided chan *admission.Refusal
}

// New creates a Gate. The argument clock returns a monotonic reading, on the same
// scale as the deadlines of requests.
func New(config admission.Config, clock func() time.Duration) (*Gate, error) {
	queue, err := admission.New(config)
	if err != nil {
		return nil, err
	}
	return &Gate{clock: clock, queue: queue, waiters: make(map[*admission.Ticket]*Slot)}, nil
}

// Acquire waits for a slot, which the caller must release. The error is an
// *admission.Refusal, or the context's error if the context was canceled.
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

// Release frees the slot. It must be called only once.
func (s *Slot) Release() {
	s.gate.mutex.Lock()
	defer s.gate.mutex.Unlock()
	s.gate.queue.Finish(s.gate.clock(), &s.ticket)
	s.gate.deliver(nil)
}

// Waiting returns the number of waiting requests.
func (g *Gate) Waiting() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.queue.Waiting()
}

// Running returns the number of slots in use.
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

// offer offers the request to the queue and returns whether it has to wait, and
// until when it can still start in time.
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

// deliver sends the queue's decisions to the goroutines that wait for them. It
// returns the decision on own instead of sending it.
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

// wait blocks until the request may run, is refused, has passed its latest start
// time, or its context is done.
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

// shed returns the refusal of a request that will not start in time.
func (g *Gate) shed() *admission.Refusal {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return &admission.Refusal{Reason: wire.ReasonShed, RetryAfter: g.queue.RetryAfter()}
}

// outcome returns the slot, or the refusal as an error.
func (s *Slot) outcome(refusal *admission.Refusal) (*Slot, error) {
	if refusal != nil {
		return nil, refusal
	}
	return s, nil
}

// withdraw takes the request out of the queue. Where a decision was made in the
// meantime, it stands; but a slot that was granted after the context was done is
// released.
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
