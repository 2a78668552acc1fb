package admission

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// refusalOnArrival returns a refusal for a request that is not expected to meet
// its deadline, and nil for one that may wait. While nothing waits and a slot is
// free, it refuses only requests whose deadline has passed.
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
	if q.estimatedWait(request)+q.conservativeCost(request.Class) > left {
		return &Refusal{Reason: wire.ReasonShed, RetryAfter: q.RetryAfter()}
	}
	return nil
}

// queuedWork returns the slot time that the requests waiting at and below a node
// are expected to use.
func (q *Queue) queuedWork(at *node) time.Duration {
	var work time.Duration
	for class, count := range at.queued {
		work += time.Duration(count) * q.cost[class]
	}
	return work
}

// estimatedWait returns the expected time until a request offered now starts. It
// counts the work ahead in the request's own queue and an equal amount for each
// competing queue, but never more than all queued work.
func (q *Queue) estimatedWait(request *Request) time.Duration {
	all := q.queuedWork(&q.root)
	path := q.policy(request)
	at := &q.root
	competing := 1
	for _, k := range path.keys[:path.count] {
		competing *= competingChildren(at, k)
		next, present := at.children[k]
		if !present {
			return q.dividedBySlots(min(all, q.cost[request.Class]*time.Duration(competing)))
		}
		at = next
	}
	own := q.queuedWork(at) + q.cost[request.Class]
	return q.dividedBySlots(min(all, own*time.Duration(competing)))
}

// competingChildren counts the active children of a node, including child k
// whether it is active or not.
func competingChildren(at *node, k key) int {
	count := len(at.active)
	if child, present := at.children[k]; !present || child.waiting == 0 {
		count++
	}
	return count
}

// dividedBySlots returns the time in which all slots together do the work.
func (q *Queue) dividedBySlots(work time.Duration) time.Duration {
	return work / time.Duration(q.config.Slots)
}
