package gateway

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// What is granted goes to whatever process is at the back end's address. One that has
// started again takes grants and renewals that were meant for its former life, until its
// first heartbeat is believed. Before the leader hears of it, and gives the former life's
// keys to others, they are taken back.

// yield reports whether nothing that was granted to an instance may be held at its address
// any more. Where something may, it is taken back, and registry.retry is called then.
func (k *keyKeeper) yield(former string) bool {
	if k.byHeartbeat() {
		return true // granted to the life that sends the heartbeat, and to no other
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := time.Now()
	if former != k.instance {
		// No lease says yet what an earlier process granted.
		k.awaitsLease = now.Before(k.earlierUntil())
		return !k.awaitsLease
	}
	k.claimEarlier(now)
	if !k.mayBeHeld(now) {
		return true
	}
	if !k.yielding {
		k.gateway.config.Log.Info("another life of the back end is heard; its keys are taken back", "former", former, "grants", len(k.grants))
		k.yielding = true
		for _, sent := range k.grants {
			sent.nextAt = time.Time{}
		}
		k.signal()
	}
	return false
}

// earlierUntil is when nothing is in force that an earlier process of this gateway has
// granted.
func (k *keyKeeper) earlierUntil() time.Time {
	return k.started.Add(time.Duration(float64(holdFor)*(1+clockDrift)) + grantTimeout)
}

// claimEarlier counts what the lease lists as granted by an earlier process, while that
// may be in force. The caller has the mutex.
func (k *keyKeeper) claimEarlier(now time.Time) {
	until := k.earlierUntil()
	if k.yielding || now.After(until) {
		return
	}
	claim := func(held fleetwire.Held) {
		key := heldKey{held.Keys, held.Fence}
		sent, ok := k.grants[key]
		if !ok {
			sent = &grant{Held: held}
			k.grants[key] = sent
		}
		sent.possibleUntil = later(sent.possibleUntil, until)
	}
	for _, held := range k.wanted {
		claim(held)
	}
	for _, running := range k.releases {
		if !running.done {
			claim(running.held)
		}
	}
}

// granted says that a grant to an instance is on its way.
func (k *keyKeeper) granted(instance string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return instance == k.instance && k.anyOnItsWay()
}

// anyOnItsWay says that a grant, or a release that takes one back, has no answer yet. The
// caller has the mutex.
func (k *keyKeeper) anyOnItsWay() bool {
	for _, sent := range k.grants {
		if sent.inFlight {
			return true
		}
	}
	return false
}

// stay ends the yielding for an instance that was heard again: it lives.
func (k *keyKeeper) stay(instance string) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.yielding && instance == k.instance {
		k.yielding = false
		k.signal()
	}
}

// mayBeHeld says that a grant may still be in force or on its way. The caller has the mutex.
func (k *keyKeeper) mayBeHeld(now time.Time) bool {
	for _, sent := range k.grants {
		if sent.inFlight || now.Before(sent.possibleUntil) {
			return true
		}
	}
	return false
}

// startYields takes back all that was granted.
func (k *keyKeeper) startYields(ctx context.Context, now time.Time) {
	if !k.mayBeHeld(now) {
		go k.gateway.registry.retry(now)
		return
	}
	for key, sent := range k.grants {
		if sent.inFlight || now.Before(sent.nextAt) || !now.Before(sent.possibleUntil) {
			continue
		}
		sent.inFlight = true
		go k.yieldGrant(ctx, k.instance, key, sent)
	}
}

// yieldGrant takes one grant back. The answer comes once the work on its keys has ended.
func (k *keyKeeper) yieldGrant(ctx context.Context, instance string, key heldKey, sent *grant) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := k.gateway.config.Keys.Release(ctx, sent.Keys, compose(sent.Fence, sent.sub))
	k.gateway.metrics.release(err)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	sent.inFlight = false
	if err != nil {
		k.gateway.config.Log.Info("release not confirmed", "instance", instance, "first", sent.Keys.First, "last", sent.Keys.Last, "error", err)
		sent.nextAt = time.Now().Add(releaseAgain)
		return
	}
	if instance == k.instance {
		delete(k.grants, key)
		k.signal()
	}
}
