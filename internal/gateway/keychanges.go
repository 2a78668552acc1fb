package gateway

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// A back end that gets its keys by heartbeat learns of a key move from the response to its next
// heartbeat. If nothing has changed, the response is delayed for a while, so that a change in
// the meantime reaches the back end at once. Otherwise the owner that releases the keys and the
// one that gets them would each be notified half an interval late, and requests for the keys
// would wait for that time.

// Why a response to a heartbeat was sent.
const (
	respondedAtOnce     = "at-once"
	respondedOnChange   = "news"
	respondedAtDeadline = "held"
)

// minRemainingAtResponse is the minimum remaining time of the granted keys when a response is
// sent.
const minRemainingAtResponse = 600 * time.Millisecond

// responseDelay is how long the response to a heartbeat may be delayed. The caller has the
// mutex.
func (k *grantManager) responseDelay(now time.Time) time.Duration {
	delay := min(k.gateway.config.ResponseDelay, k.gateway.config.HeartbeatInterval/2)
	for _, wanted := range k.leasedRanges {
		if sent, ok := k.grants[fencedRange{wanted.Keys, wanted.Fence}]; ok {
			delay = min(delay, sent.heldUntil.Sub(now)-minRemainingAtResponse)
		}
	}
	return delay
}

// awaitChange returns once there is a change to send to the back end, the response to its
// heartbeat is due, or a later heartbeat has arrived; and which of these it was.
func (k *grantManager) awaitChange(number uint64, held []HeldRange, arrived time.Time) (reason string) {
	k.mutex.Lock()
	timer := time.NewTimer(k.responseDelay(arrived))
	k.mutex.Unlock()
	defer timer.Stop()
	for reason = respondedAtOnce; ; reason = respondedOnChange {
		k.mutex.Lock()
		changed := k.changed
		unchanged := number == k.heartbeatCount && k.maxGrantDuration(arrived) >= minGrantDuration && k.matchesLease(held)
		k.mutex.Unlock()
		if !unchanged {
			return reason
		}
		select {
		case <-changed:
		case <-timer.C:
			return respondedAtDeadline
		}
	}
}

// matchesLease reports whether a back end holds exactly what the lease lists. The caller has
// the mutex.
func (k *grantManager) matchesLease(held []HeldRange) bool {
	for _, wanted := range k.leasedRanges {
		if !covered(wanted.Keys, held) {
			return false
		}
	}
	for _, row := range held {
		owner, _ := decomposeFence(row.Fence)
		listed := func(wanted fleetwire.Held) bool { return wanted.Fence == owner && wanted.Keys.Contains(row.Keys) }
		if !slices.ContainsFunc(k.leasedRanges, listed) {
			return false
		}
	}
	return true
}
