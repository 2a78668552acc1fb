package gateway

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// A back end that gets its keys by heartbeat hears of a move with the answer to its next
// heartbeat. Where nothing has changed, the answer is held back for a while, so that what
// changes meanwhile reaches the back end at once: the owner that gives keys up and the one
// that gets them would otherwise be told half an interval late each, in which the keys'
// requests wait.

// How an answer to a heartbeat came to leave.
const (
	answeredAtOnce    = "at-once"
	answeredWithNews  = "news"
	answeredAfterHold = "held"
)

// renewalReserve is what has to be left of the keys' time as an answer leaves.
const renewalReserve = 600 * time.Millisecond

// answerHold is for how long the answer to a heartbeat may be held back. The caller has the
// mutex.
func (k *keyKeeper) answerHold(now time.Time) time.Duration {
	hold := min(k.gateway.config.AnswerHold, k.gateway.config.HeartbeatInterval/2)
	for _, wanted := range k.wanted {
		if sent, ok := k.grants[heldKey{wanted.Keys, wanted.Fence}]; ok {
			hold = min(hold, sent.until.Sub(now)-renewalReserve)
		}
	}
	return hold
}

// awaitNews returns once there is something to tell the back end by the answer to a
// heartbeat, or when the answer has to leave, or a later heartbeat has come; and which of
// these it was.
func (k *keyKeeper) awaitNews(beat uint64, held []HeldRange, arrived time.Time) (waited string) {
	k.mutex.Lock()
	timer := time.NewTimer(k.answerHold(arrived))
	k.mutex.Unlock()
	defer timer.Stop()
	for waited = answeredAtOnce; ; waited = answeredWithNews {
		k.mutex.Lock()
		changed := k.changed
		nothing := beat == k.heartbeats && k.longestHold(arrived) >= leastHold && k.agrees(held)
		k.mutex.Unlock()
		if !nothing {
			return waited
		}
		select {
		case <-changed:
		case <-timer.C:
			return answeredAfterHold
		}
	}
}

// agrees says that a back end holds what the lease lists, and nothing else. The caller has
// the mutex.
func (k *keyKeeper) agrees(held []HeldRange) bool {
	for _, wanted := range k.wanted {
		if !covered(wanted.Keys, held) {
			return false
		}
	}
	for _, row := range held {
		owner, _ := decompose(row.Fence)
		listed := func(wanted fleetwire.Held) bool { return wanted.Fence == owner && wanted.Keys.Contains(row.Keys) }
		if !slices.ContainsFunc(k.wanted, listed) {
			return false
		}
	}
	return true
}
