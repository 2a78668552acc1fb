package admission

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// refusalOnArrival says why a request should not even wait. It returns nil
// while nothing waits and a slot is free.
func (q *Queue) refusalOnArrival(now time.Duration, request *Request) *Refusal {
	if request.Deadline == 0 {
		return nil
	}
	left := request.Deadline - now
	if left <= 0 {
		return &Refusal{Reason: wire.ReasonExpired}
	}
	if q.root.waiting == 0 && q.eligible()[request.Class] {
		return nil
	}
	if q.estimatedWait(request)+q.cautiousCost(request.Class) > left {
		return &Refusal{Reason: wire.ReasonShed, RetryAfter: q.RetryAfter()}
	}
	return nil
}

// queuedWork is the slot time that waiting requests are expected to use.
func (q *Queue) queuedWork(at *node) time.Duration {
	var work time.Duration
	for class, count := range at.queued {
		work += time.Duration(count) * q.cost[class]
	}
	return work
}

// estimatedWait is the expected time until a request offered now would start.
// It waits for the work before it in its own queue, and meanwhile for an equal
// share of work of each other queue that competes; never for more than all
// that waits.
func (q *Queue) estimatedWait(request *Request) time.Duration {
	all := q.queuedWork(&q.root)
	way := q.order(request)
	at := &q.root
	competing := 1
	for _, k := range way.keys[:way.count] {
		competing *= competitors(at, k)
		next, present := at.children[k]
		if !present {
			return q.overSlots(min(all, q.cost[request.Class]*time.Duration(competing)))
		}
		at = next
	}
	own := q.queuedWork(at) + q.cost[request.Class]
	return q.overSlots(min(all, own*time.Duration(competing)))
}

// competitors counts the active children of a node, with the one named.
func competitors(at *node, k key) int {
	count := len(at.active)
	if child, present := at.children[k]; !present || child.waiting == 0 {
		count++
	}
	return count
}

func (q *Queue) overSlots(work time.Duration) time.Duration {
	return work / time.Duration(q.config.Slots)
}
