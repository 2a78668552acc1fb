package simulate

import (
	"container/heap"
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// world is virtual time: a queue of events, one seeded random source and a
// digest of all that happened. Everything in a simulation runs on one
// goroutine, so an equal seed gives an equal run.
type world struct {
	// now is the true time since the start, which no process can read.
	now    time.Duration
	queue  eventQueue
	serial uint64
	random *rand.Rand
	digest *xxhash.Digest
	// steps counts the events that ran.
	steps    uint64
	findings findings
}

func newWorld(seed uint64) *world {
	const stream = 0x51a7
	return &world{
		random:   rand.New(rand.NewPCG(seed, stream)),
		digest:   xxhash.New(),
		findings: newFindings(),
	}
}

// event is something that happens at a time.
type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

// eventQueue is a heap of events in order of time, then of their making.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(a, b int) bool {
	if q[a].at != q[b].at {
		return q[a].at < q[b].at
	}
	return q[a].serial < q[b].serial
}
func (q eventQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }

// Push implements heap.Interface.
func (q *eventQueue) Push(added any) { *q = append(*q, added.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return popped
}

// after runs a function once a true time has passed.
func (w *world) after(wait time.Duration, run func()) {
	w.serial++
	heap.Push(&w.queue, event{at: w.now + max(wait, 0), serial: w.serial, run: run})
}

// runUntil runs events up to a true time.
func (w *world) runUntil(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		w.steps++
		next.run()
	}
	w.now = end
}

// note adds facts to the digest.
func (w *world) note(kind string, facts ...uint64) {
	_, _ = w.digest.WriteString(kind)
	var buffer [8]byte
	binary.LittleEndian.PutUint64(buffer[:], uint64(w.now))
	_, _ = w.digest.Write(buffer[:])
	for _, fact := range facts {
		binary.LittleEndian.PutUint64(buffer[:], fact)
		_, _ = w.digest.Write(buffer[:])
	}
}

// violate records a broken promise.
func (w *world) violate(promise Promise, format string, arguments ...any) {
	w.findings.add(promise, w.now, format, arguments...)
	w.note(string(promise))
}

// between draws a time from [low, high).
func (w *world) between(low, high time.Duration) time.Duration {
	if high <= low {
		return low
	}
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// chance is true with a probability.
func (w *world) chance(probability float64) bool { return w.random.Float64() < probability }

// pick draws one element; the slice must not be empty.
func pick[T any](w *world, from []T) T { return from[w.random.IntN(len(from))] }
