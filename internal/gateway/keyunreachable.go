package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// An unreachable back end gets no new requests, but its process may still run: a process that
// stops as planned closes its listener first. Its keys become free once every grant has
// expired.

// timeUntilFree returns the time until the keys of an unreachable instance may be assigned to
// another owner; ok is false if that is not known.
func (k *grantManager) timeUntilFree(instance string, now time.Time) (remaining time.Duration, ok bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if instance != k.instance || now.Before(k.fences.unreadUntil()) {
		return 0, false
	}
	until := now
	for _, sent := range k.grants {
		if sent.bound.InFlight() {
			return 0, false
		}
		until = latest(until, sent.bound.Until())
	}
	return until.Sub(now), true
}

// refuseUnadmitted refuses a request for an instance that gets no new requests. If the instance
// is unreachable and holds the request's key, the refusal reports when the key may have another
// owner.
func (g *Gateway) refuseUnadmitted(request *forwardRequest, now time.Time) *forwardResult {
	if !request.HasKey || !g.registry.unreachable() {
		return notRun(reasonNotAdmitted)
	}
	remaining, ok := g.keys.timeUntilFree(request.Instance, now)
	if !ok {
		return notRun(reasonNotAdmitted)
	}
	refusal := notRun(reasonOwnerLost)
	refusal.RetryAfter = remaining + ownerChangeTime
	return refusal
}

// reportUnreachableFree reports to the leader that an unreachable back end holds no keys, once
// that is certain. The leader may then give the keys to another owner, so leases requested
// before are ignored. The caller has the mutex.
func (k *grantManager) reportUnreachableFree(now time.Time) {
	free := k.allGrantsExpired(now) && !now.Before(k.fences.unreadUntil())
	free = free && (k.everConfirmed || k.noUnreadOrders(now))
	for _, held := range k.leasedRanges {
		free = free && k.refusesEarlierProcesses(held, now)
	}
	if !free || !k.gateway.registry.markReleased(k.instance) {
		return
	}
	// Read the clock again instead of using now: this goroutine may have been stalled since
	// now was read.
	k.leasedRanges, k.leaseUntil, k.ignoreLeasesBefore = nil, time.Time{}, steady.Reading()
	k.gateway.recordKeysFree(k.instance, allKeys, proofExpired)
	k.gateway.session.requestReport()
}
