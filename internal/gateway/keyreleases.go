package gateway

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// completeExpiredReleases completes the releases of ranges that the back end certainly no
// longer holds because every grant of them has expired.
func (k *grantManager) completeExpiredReleases(now time.Time) {
	for _, pending := range k.releases {
		if pending.done || pending.inFlight || !k.grantsExpired(pending.held, now) || k.fences.hasUnanswered(pending.held.Keys, pending.held.Fence) {
			continue
		}
		if !k.refusesEarlierProcesses(pending.held, now) {
			continue
		}
		pending.done = true
		k.gateway.recordKeysFree(k.instance, pending.held.Keys, proofExpired)
		k.gateway.session.requestReport()
	}
}

// startReleases sends the releases that the controller asked for. While one is sent, no grant
// of its keys and no response to a heartbeat that offered them may be in flight.
func (k *grantManager) startReleases(ctx context.Context, now time.Time) {
	for _, pending := range k.releases {
		if pending.done || pending.inFlight || now.Before(pending.nextAt) || k.grantInFlight(pending.held) || now.Before(k.responsesExpireAt(pending.held)) {
			continue
		}
		if k.fences.hasUnanswered(pending.held.Keys, pending.held.Fence) || !k.confirmedGrantOf(pending.held) {
			k.supersede(ctx, pending, now)
			continue
		}
		pending.inFlight = true
		k.releasedRanges = append(k.releasedRanges, releasedRange{fencedRange{pending.held.Keys, pending.held.Fence}, now})
		go k.sendRelease(ctx, k.instance, pending, composeFence(pending.held.Fence, k.fences.subFences[pending.held.Fence]))
	}
}

// confirmedGrantOf reports whether the back end has confirmed a grant of all of a range under
// its fence, so that it refuses those of earlier processes.
func (k *grantManager) confirmedGrantOf(held fleetwire.Held) bool {
	for key, sent := range k.grants {
		if key.fence == held.Fence && key.keys.Contains(held.Keys) && !sent.confirmedAt.IsZero() {
			return true
		}
	}
	return false
}

// supersede grants a range that is to be released once more, under a higher fence than those
// of the unanswered grants, so that the back end refuses these if they arrive late.
func (k *grantManager) supersede(ctx context.Context, pending *pendingRelease, now time.Time) {
	key := fencedRange{pending.held.Keys, pending.held.Fence}
	sent, ok := k.grants[key]
	if !ok {
		sent = &grant{Held: pending.held}
		k.grants[key] = sent
	}
	const maxGrantTime = minGrantDuration + minGrantDuration/10 + grantTimeout
	if !now.Before(sent.nextAt) && now.Add(maxGrantTime).Before(pending.supersedeUntil) {
		k.startGrant(ctx, sent, grantLimits{maxDuration: minGrantDuration, endsBefore: pending.supersedeUntil})
	}
}

// grantInFlight reports whether a grant that may let the back end hold keys of a range is in
// flight.
func (k *grantManager) grantInFlight(held fleetwire.Held) bool {
	for key, sent := range k.grants {
		if sent.bound.InFlight() && key.mayHoldKeysOf(held) {
			return true
		}
	}
	return false
}

// grantsExpired reports whether every grant that may let the back end hold keys of a range, by
// this process or an earlier one, has expired.
func (k *grantManager) grantsExpired(held fleetwire.Held, now time.Time) bool {
	for key, sent := range k.grants {
		if key.mayHoldKeysOf(held) && !sent.bound.Expired(now) {
			return false
		}
	}
	return k.earlierProcessExpired(now)
}

// sendRelease sends one release and records its result.
func (k *grantManager) sendRelease(ctx context.Context, instance string, pending *pendingRelease, fence keyspace.Fence) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	handover, err := k.gateway.config.Keys.Release(ctx, ReleaseOrder{Instance: instance, Keys: pending.held.Keys, Fence: fence})
	k.gateway.metrics.release(err)
	k.mutex.Lock()
	pending.inFlight = false
	if err == nil && (instance != k.instance || k.grantsStopped) {
		// Another incarnation has sent a heartbeat from the address: the response may be its
		// own.
		err = errOtherInstance
	}
	if err != nil {
		pending.nextAt = steady.Reading().Add(releaseRetryDelay)
	} else {
		pending.done = true
		pending.handover = handover
	}
	k.mutex.Unlock()
	if err != nil {
		k.gateway.config.Log.Info("release not confirmed", "first", pending.held.Keys.First, "last", pending.held.Keys.Last, "error", err)
		return
	}
	k.gateway.recordKeysFree(instance, pending.held.Keys, proofReleaseConfirmed)
	k.gateway.session.requestReport()
}
