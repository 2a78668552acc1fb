package gateway

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// endOver promises the ranges that the back end surely holds no more, because their
// time is over.
func (k *keyKeeper) endOver(now time.Time) {
	for _, running := range k.releases {
		if running.done || running.inFlight || !k.over(running.held, now) || k.fences.isOpen(running.held.Keys, running.held.Fence) {
			continue
		}
		if !k.answeredHere(running.held, now) {
			continue
		}
		running.done = true
		k.gateway.keysFree(k.instance, running.held.Keys, proofTimeOver)
		k.gateway.session.report()
	}
}

// startReleases takes back what was asked for. No grant of those keys, and no answer to a
// heartbeat that offered them, may be on its way meanwhile.
func (k *keyKeeper) startReleases(ctx context.Context, now time.Time) {
	for _, running := range k.releases {
		if running.done || running.inFlight || now.Before(running.nextAt) || k.granting(running.held) || now.Before(k.answersVoid(running.held)) {
			continue
		}
		if k.fences.isOpen(running.held.Keys, running.held.Fence) || !k.everConfirmed(running.held) {
			k.cover(ctx, running, now)
			continue
		}
		running.inFlight = true
		k.taken = append(k.taken, taken{heldKey{running.held.Keys, running.held.Fence}, now})
		go k.takeBack(ctx, k.instance, running, compose(running.held.Fence, k.fences.used[running.held.Fence]))
	}
}

// everConfirmed says that the back end has confirmed a grant of all of a range
// under its fence, so that it refuses those of earlier processes.
func (k *keyKeeper) everConfirmed(held fleetwire.Held) bool {
	for key, sent := range k.grants {
		if key.fence == held.Fence && key.keys.Contains(held.Keys) && !sent.confirmed.IsZero() {
			return true
		}
	}
	return false
}

// cover grants a range that is to be given up once more, under a higher fence
// than those of the grants that may still be taken.
func (k *keyKeeper) cover(ctx context.Context, running *release, now time.Time) {
	key := heldKey{running.held.Keys, running.held.Fence}
	sent, ok := k.grants[key]
	if !ok {
		sent = &grant{Held: running.held}
		k.grants[key] = sent
	}
	const longest = leastHold + leastHold/10 + grantTimeout
	if !now.Before(sent.nextAt) && now.Add(longest).Before(running.coverUntil) {
		k.start(ctx, sent, grantTerms{longest: leastHold, until: running.coverUntil})
	}
}

func (k *keyKeeper) granting(held fleetwire.Held) bool {
	for key, sent := range k.grants {
		if sent.bound.Sending() && key.concerns(held) {
			return true
		}
	}
	return false
}

// over reports whether the back end surely holds none of a range any more,
// whatever this process or an earlier one has granted.
func (k *keyKeeper) over(held fleetwire.Held, now time.Time) bool {
	for key, sent := range k.grants {
		if key.concerns(held) && !sent.bound.Over(now) {
			return false
		}
	}
	return k.earlierProcessOver(now)
}

func (k *keyKeeper) takeBack(ctx context.Context, instance string, running *release, fence keyspace.Fence) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	handover, err := k.gateway.config.Keys.Release(ctx, ReleaseOrder{Instance: instance, Keys: running.held.Keys, Fence: fence})
	k.gateway.metrics.release(err)
	k.mutex.Lock()
	running.inFlight = false
	if err == nil && (instance != k.instance || k.yielding) {
		// Another life is heard at the address: it may be the one that has answered.
		err = errOtherInstance
	}
	if err != nil {
		running.nextAt = steady.Reading().Add(releaseAgain)
	} else {
		running.done = true
		running.handover = handover
	}
	k.mutex.Unlock()
	if err != nil {
		k.gateway.config.Log.Info("release not confirmed", "first", running.held.Keys.First, "last", running.held.Keys.Last, "error", err)
		return
	}
	k.gateway.keysFree(instance, running.held.Keys, proofReleaseAnswered)
	k.gateway.session.report()
}
