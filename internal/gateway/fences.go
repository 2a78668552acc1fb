package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/keyspace"
)

const (
	// subFenceBits is the number of low bits of the fence sent to the back end that the
	// gateway sets itself; the upper bits are the owner's fence from the controllers. With 24
	// bits and a log of up to 2^29 entries, fences stay below 2^53 and so are exact in every
	// JSON reader.
	subFenceBits = 24
	// maxSubFence is the highest sub-fence. One grant each 150 ms, all unanswered, reaches it
	// after 29 days.
	maxSubFence = 1<<subFenceBits - 1
)

// unansweredGrant is a grant without a response, which the back end may still apply.
type unansweredGrant struct {
	keys       keyspace.Range
	owner      keyspace.Fence
	subFence   uint32
	recordedAt time.Time
	// connectionEnded is set if the connection closed without a response: then no part of the
	// order is left for a stalled process to read later.
	connectionEnded bool
}

// maxGrantDelay is how long a grant without a response may still be applied.
const maxGrantDelay = 20 * time.Second

// fenceTracker makes unanswered grants harmless. Such a grant may be applied seconds later,
// when its keys already have another owner. A back end refuses a grant with a lower fence than
// it has seen on one of the keys. Therefore a fence whose grant was refused or got no response
// is never sent again, and keys are released only once the back end has confirmed a higher
// fence for all of them. The next owner's fence is higher than all of these.
type fenceTracker struct {
	// subFences has the sub-fence that the gateway currently uses with each owner's fence. It
	// never decreases.
	subFences  map[keyspace.Fence]uint32
	unanswered []unansweredGrant
}

func newFenceTracker() fenceTracker { return fenceTracker{subFences: map[keyspace.Fence]uint32{}} }

// composeFence combines an owner's fence and a sub-fence into the fence that the back end
// sees.
func composeFence(owner keyspace.Fence, sub uint32) keyspace.Fence {
	return owner<<subFenceBits | keyspace.Fence(sub)
}

// decomposeFence is the reverse of composeFence.
func decomposeFence(fence keyspace.Fence) (owner keyspace.Fence, sub uint32) {
	return fence >> subFenceBits, uint32(fence & maxSubFence)
}

// hasUnanswered reports whether a grant of some of the keys is unanswered, under an owner's
// fence or an earlier one.
func (t *fenceTracker) hasUnanswered(keys keyspace.Range, owner keyspace.Fence) bool {
	for _, unanswered := range t.unanswered {
		if unanswered.owner <= owner && unanswered.keys.Overlaps(keys) {
			return true
		}
	}
	return false
}

// addUnanswered records a grant that got no response. Its fence is not used again.
func (t *fenceTracker) addUnanswered(unanswered unansweredGrant) {
	t.unanswered = append(t.unanswered, unanswered)
	t.retireFence(unanswered.owner, unanswered.subFence)
}

// retireFence makes sure that a fence is not used again.
func (t *fenceTracker) retireFence(owner keyspace.Fence, sub uint32) {
	if t.subFences[owner] == sub && sub < maxSubFence {
		t.subFences[owner]++
	}
}

// unreadUntil is the time until which grants may be queued, unread, at a stalled back end.
func (t *fenceTracker) unreadUntil() time.Time {
	var until time.Time
	for _, unanswered := range t.unanswered {
		if !unanswered.connectionEnded {
			until = latest(until, unanswered.recordedAt.Add(maxGrantDelay))
		}
	}
	return until
}

// recordConfirmed records that the back end confirmed a grant: it refuses earlier grants of
// these keys from now on.
func (t *fenceTracker) recordConfirmed(keys keyspace.Range, owner keyspace.Fence, sub uint32) {
	var rest []unansweredGrant
	for _, unanswered := range t.unanswered {
		if composeFence(unanswered.owner, unanswered.subFence) >= composeFence(owner, sub) {
			rest = append(rest, unanswered)
			continue
		}
		for _, left := range unanswered.keys.Without(keys) {
			remaining := unanswered
			remaining.keys = left
			rest = append(rest, remaining)
		}
	}
	t.unanswered = rest
}

// prune drops grants that can't be applied any more.
func (t *fenceTracker) prune(now time.Time) {
	var rest []unansweredGrant
	for _, unanswered := range t.unanswered {
		if now.Before(unanswered.recordedAt.Add(maxGrantDelay)) {
			rest = append(rest, unanswered)
		}
	}
	t.unanswered = rest
}
