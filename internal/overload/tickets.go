package overload

import (
	"time"
)

// Demand describes what a request needs of the slots.
type Demand struct {
	// Priority ranks requests; 0 goes first. Among equals the one that is due first goes
	// first.
	Priority int
	Due      time.Time
	// Target is the time within which the response is in time. Slots are reserved for requests
	// with a short target: others that hold slots, here or elsewhere, may be waiting for their
	// responses.
	Target time.Duration
	// InTimeWait is how long the request may wait and still be answered in time, and MaxWait
	// how long it may wait at all, if there are slots for late ones.
	InTimeWait time.Duration
	MaxWait    time.Duration
	// OnlyHere is set if no other back end can serve the request, as this one owns its key.
	OnlyHere bool
}

// Slot describes a slot that was given to a request.
type Slot struct {
	Short bool
	// Late is set if the request can no longer be answered in time.
	Late   bool
	Target time.Duration
}

// Ticket is a request that has a slot or waits for one.
type Ticket struct {
	Demand
	// Admitted is called once a waiting request gets a slot. It may be nil.
	Admitted func()

	short     bool
	late      bool
	arrivedAt time.Time
	// position in the queue, negative when not in a queue.
	position int
	admitted bool
}

// Slot returns the slot that the request has or waits for.
func (t *Ticket) Slot() Slot { return Slot{Short: t.short, Late: t.late, Target: t.Target} }

// HasSlot reports whether the request has been given its slot.
func (t *Ticket) HasSlot() bool { return t.admitted }

// ticketQueue orders tickets by priority, then by when they are due.
type ticketQueue []*Ticket

func (q ticketQueue) Len() int           { return len(q) }
func (q ticketQueue) Less(i, j int) bool { return q[i].before(&q[j].Demand) }
func (q ticketQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].position, q[j].position = i, j
}

// Push implements heap.Interface.
func (q *ticketQueue) Push(x any) {
	t := x.(*Ticket)
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

// before reports whether a request goes before another one.
func (d *Demand) before(other *Demand) bool {
	if d.Priority != other.Priority {
		return d.Priority < other.Priority
	}
	return d.Due.Before(other.Due)
}
