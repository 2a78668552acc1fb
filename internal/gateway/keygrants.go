package gateway

import (
	"context"
	"time"
)

// startGrants sends what is due.
func (k *keyKeeper) startGrants(ctx context.Context, now time.Time) {
	hold := k.longestHold(now)
	if hold < leastHold {
		return
	}
	for _, held := range k.wanted {
		key := heldKey{held.Keys, held.Fence}
		sent, ok := k.grants[key]
		if !ok {
			sent = &grant{Held: held}
			k.grants[key] = sent
		}
		due := now.After(sent.nextAt) || k.takenSince(held.Keys, held.Fence, sent.confirmed)
		if sent.inFlight || !due {
			continue
		}
		k.start(ctx, sent, hold, now)
	}
}

// longestHold is for how long keys may be granted at a time: surely not beyond
// the lease.
func (k *keyKeeper) longestHold(now time.Time) time.Duration {
	left := time.Duration(float64(k.leaseUntil.Sub(now))*(1-clockDrift)) - transit
	return min(holdFor, k.gateway.config.LongestHold, left)
}

// start sends one grant.
func (k *keyKeeper) start(ctx context.Context, sent *grant, hold time.Duration, now time.Time) {
	sent.inFlight = true
	sent.sentAt = now
	sent.sub = k.fences.used[sent.Fence]
	sent.possibleUntil = later(sent.possibleUntil, now.Add(grantTimeout+time.Duration(float64(hold)*(1+clockDrift))))
	go k.send(ctx, k.instance, sent, hold)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// send makes one grant and notes its answer.
func (k *keyKeeper) send(ctx context.Context, instance string, sent *grant, hold time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	order := GrantOrder{Keys: sent.Keys, Fence: compose(sent.Fence, sent.sub), Hold: hold, Handover: sent.Handover}
	err := k.gateway.config.Keys.Grant(ctx, order)
	k.gateway.metrics.grant(err)
	if err != nil {
		k.gateway.config.Log.Info("grant not confirmed", "instance", instance, "first", sent.Keys.First, "last", sent.Keys.Last, "fence", uint64(sent.Fence), "error", err)
		k.gateway.suspect(instance, err)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	sent.inFlight = false
	if instance != k.instance {
		return
	}
	if err != nil {
		sent.nextAt = time.Now().Add(regrantAfter)
		k.fences.unanswered(openGrant{keys: sent.Keys, owner: sent.Fence, sub: sent.sub, at: sent.sentAt})
		return
	}
	k.gateway.registry.heard(instance)
	k.fences.confirmed(sent.Keys, sent.Fence, sent.sub)
	sent.until = later(sent.until, sent.sentAt.Add(hold))
	sent.confirmed = sent.sentAt
	sent.nextAt = sent.sentAt.Add(renewAfter)
	k.announce()
	k.signal()
}
