package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/keyspace"
)

const (
	// subFenceBits is how much of a fence, at the back end, the gateway uses
	// itself: the upper part is the owner's fence from the controllers. With it a
	// log of 2^29 entries stays below 2^53, what every reader of JSON keeps exact.
	subFenceBits = 24
	// mostSub is the highest part. One grant each 150 ms, all unanswered, reaches
	// it after 29 days.
	mostSub = 1<<subFenceBits - 1
)

// openGrant is a grant without an answer, which the back end may still take.
type openGrant struct {
	keys  keyspace.Range
	owner keyspace.Fence
	sub   uint32
	at    time.Time
	// ended says that the connection ended without an answer: nothing of the order is left
	// that a process which stands still could read later.
	ended bool
}

// openKept is for how long a grant without an answer may still be taken.
const openKept = 20 * time.Second

// fenceLedger makes grants that got no answer harmless. One may be taken
// seconds later, when its keys already have another owner. A back end refuses a
// grant with a lower fence than it has seen on one of the keys; so a fence whose
// grant was refused or got no answer is never sent again, and keys are given up
// only once the back end has confirmed a higher one for all of them. The next
// owner's fence is higher than all of these.
type fenceLedger struct {
	// used is the part of its own that the gateway uses now with each owner's
	// fence. It never falls.
	used map[keyspace.Fence]uint32
	open []openGrant
}

func newFenceLedger() fenceLedger { return fenceLedger{used: map[keyspace.Fence]uint32{}} }

// compose returns the fence as the back end sees it.
func compose(owner keyspace.Fence, sub uint32) keyspace.Fence {
	return owner<<subFenceBits | keyspace.Fence(sub)
}

// decompose is the reverse of compose.
func decompose(fence keyspace.Fence) (owner keyspace.Fence, sub uint32) {
	return fence >> subFenceBits, uint32(fence & mostSub)
}

// isOpen says that a grant of some of the keys has no answer, under an owner's
// fence or an earlier one.
func (l *fenceLedger) isOpen(keys keyspace.Range, owner keyspace.Fence) bool {
	for _, open := range l.open {
		if open.owner <= owner && open.keys.Overlaps(keys) {
			return true
		}
	}
	return false
}

// unanswered notes a grant that was refused or got no answer. Its fence is not
// used again.
func (l *fenceLedger) unanswered(open openGrant) {
	l.open = append(l.open, open)
	l.skip(open.owner, open.sub)
}

// skip makes sure that a fence is not used again.
func (l *fenceLedger) skip(owner keyspace.Fence, sub uint32) {
	if l.used[owner] == sub && sub < mostSub {
		l.used[owner]++
	}
}

// unreadUntil is until when grants may lie unread before a back end that stands still.
func (l *fenceLedger) unreadUntil() time.Time {
	var until time.Time
	for _, open := range l.open {
		if !open.ended {
			until = later(until, open.at.Add(openKept))
		}
	}
	return until
}

// confirmed notes that the back end took a grant: earlier ones of these keys are
// refused from now on.
func (l *fenceLedger) confirmed(keys keyspace.Range, owner keyspace.Fence, sub uint32) {
	var rest []openGrant
	for _, open := range l.open {
		if compose(open.owner, open.sub) >= compose(owner, sub) {
			rest = append(rest, open)
			continue
		}
		for _, left := range open.keys.Without(keys) {
			remaining := open
			remaining.keys = left
			rest = append(rest, remaining)
		}
	}
	l.open = rest
}

// forget drops grants that can't be taken any more.
func (l *fenceLedger) forget(now time.Time) {
	var rest []openGrant
	for _, open := range l.open {
		if now.Before(open.at.Add(openKept)) {
			rest = append(rest, open)
		}
	}
	l.open = rest
}
