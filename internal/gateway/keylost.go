package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// A back end that can't be reached gets nothing new, and may live: a process that stops as
// planned closes its listener first. Its keys are free once their time is over.

// freeIn returns in how long the keys of an instance that can't be reached may have another
// owner; ok is false where that is not known.
func (k *keyKeeper) freeIn(instance string, now time.Time) (left time.Duration, ok bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if instance != k.instance || now.Before(k.fences.unreadUntil()) {
		return 0, false
	}
	until := now
	for _, sent := range k.grants {
		if sent.bound.Sending() {
			return 0, false
		}
		until = later(until, sent.bound.Until())
	}
	return until.Sub(now), true
}

// refuseUnadmitted refuses a request for an instance that gets nothing new. Where that can't
// be reached and holds the request's key, it says when the key may have another owner.
func (g *Gateway) refuseUnadmitted(request *forwardRequest, now time.Time) *forwardResult {
	if !request.HasKey || !g.registry.unreachable() {
		return notRun(reasonNotAdmitted)
	}
	left, ok := g.keys.freeIn(request.Instance, now)
	if !ok {
		return notRun(reasonNotAdmitted)
	}
	refusal := notRun(reasonOwnerLost)
	refusal.RetryAfter = left + handOverTime
	return refusal
}

// freeUnreachable tells the leader, once it is so, that a back end that can't be reached holds
// nothing any more. Leases that were asked for before give it nothing from then on, since the
// leader may give the keys away. The caller has the mutex.
func (k *keyKeeper) freeUnreachable(now time.Time) {
	over := k.timeOver(now) && !now.Before(k.fences.unreadUntil())
	over = over && (k.answered || k.nothingUnread(now))
	for _, held := range k.wanted {
		over = over && k.answeredHere(held, now)
	}
	if !over || !k.gateway.registry.free(k.instance) {
		return
	}
	// Not now: this goroutine may have stood still since it read that.
	k.wanted, k.leaseUntil, k.leaseFrom = nil, time.Time{}, steady.Reading()
	k.gateway.keysFree(k.instance, allKeys, proofTimeOver)
	k.gateway.session.report()
}
