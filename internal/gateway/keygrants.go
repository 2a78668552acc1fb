package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// grantDuration is the duration of a grant if the lease allows it. A back end that gets its
// keys by heartbeat has them renewed with the next heartbeat, whose response it accepts up to
// responseValidity after that.
func (k *grantManager) grantDuration() time.Duration {
	config := &k.gateway.config
	hold := config.KeyHold
	if k.byHeartbeat() {
		hold = max(hold, config.HeartbeatInterval+responseValidity)
	}
	return min(hold, config.MaxKeyHold)
}

// startGrants sends the grants that are due.
func (k *grantManager) startGrants(ctx context.Context, now time.Time) {
	if k.maxGrantDuration(now) < minGrantDuration {
		return
	}
	for _, held := range k.leasedRanges {
		key := fencedRange{held.Keys, held.Fence}
		sent, ok := k.grants[key]
		if !ok {
			sent = &grant{Held: held}
			k.grants[key] = sent
		}
		due := now.After(sent.nextAt) || k.releasedSince(held.Keys, held.Fence, sent.confirmedAt)
		if sent.bound.InFlight() || sent.outlastsLease || !due {
			continue
		}
		k.startGrant(ctx, sent, grantLimits{maxDuration: k.grantDuration(), endsBefore: k.leaseUntil})
	}
}

// maxGrantDuration is the longest duration for which keys may be granted now, so that the
// grant certainly ends within the lease.
func (k *grantManager) maxGrantDuration(now time.Time) time.Duration {
	return min(k.grantDuration(), maxDurationUntil(k.leaseUntil, now))
}

// maxDurationUntil is the longest duration of a grant that certainly ends before a time.
func maxDurationUntil(until, now time.Time) time.Duration {
	return time.Duration(float64(until.Sub(now))*(1-clockDrift)) - maxTransitDelay
}

// grantLimits bound one grant: its duration, and a time before which it must certainly end.
type grantLimits struct {
	maxDuration time.Duration
	endsBefore  time.Time
}

// startGrant sends one grant in the background.
func (k *grantManager) startGrant(ctx context.Context, sent *grant, limits grantLimits) {
	sent.bound.Send(limits.maxDuration)
	sent.subFence = k.fences.subFences[sent.Fence]
	go k.sendGrant(ctx, k.instance, sent, limits)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// prepareGrant computes the duration of a grant immediately before it is sent, since this
// process may have been stalled since the grant was started. It reports whether the grant is
// still worth sending.
func (k *grantManager) prepareGrant(instance string, sent *grant, limits grantLimits) (order GrantOrder, ok bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := steady.Reading()
	hold := min(limits.maxDuration, k.maxGrantDuration(now), maxDurationUntil(limits.endsBefore, now))
	if instance != k.instance || k.grantsStopped || hold < minGrantDuration {
		sent.bound.Rejected()
		return GrantOrder{}, false
	}
	sent.bound.Send(hold)
	sent.sentAt = now
	return GrantOrder{Instance: instance, Keys: sent.Keys, Fence: composeFence(sent.Fence, sent.subFence), Hold: hold, Handover: sent.Handover, PreparedAt: now}, true
}

// sendGrant sends one grant and records its result.
func (k *grantManager) sendGrant(ctx context.Context, instance string, sent *grant, limits grantLimits) {
	order, ok := k.prepareGrant(instance, sent, limits)
	if !ok {
		return
	}
	// The timeout counts from the preparation: a grant that was delayed by a stall since then
	// must not be sent.
	ctx, cancel := context.WithTimeout(ctx, steady.Until(order.PreparedAt.Add(grantTimeout)))
	defer cancel()
	err := k.gateway.config.Keys.Grant(ctx, order)
	k.gateway.metrics.grant(err)
	if err != nil {
		k.gateway.config.Log.Info("grant not confirmed", "instance", instance, "first", sent.Keys.First, "last", sent.Keys.Last, "fence", uint64(sent.Fence), "error", err)
		k.gateway.handleBackendError(instance, err)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := steady.Reading()
	k.recordGrantResult(instance, sent, err, now)
	if instance != k.instance {
		return
	}
	if err != nil {
		sent.nextAt = now.Add(grantRetryDelay)
		return
	}
	k.gateway.registry.recordContact(instance)
	k.fences.recordConfirmed(sent.Keys, sent.Fence, sent.subFence)
	sent.heldUntil = latest(sent.heldUntil, sent.sentAt.Add(order.Hold))
	sent.confirmedAt, k.everConfirmed = sent.sentAt, true
	sent.nextAt = sent.sentAt.Add(k.grantDuration() / renewalsPerGrant)
	k.markOutlastingLease(sent)
	k.notifyWaiters()
	k.signal()
}

// recordGrantResult updates the time until which a back end may hold the keys of a grant, and
// the unanswered grants. The grant may have been sent to an earlier incarnation.
func (k *grantManager) recordGrantResult(instance string, sent *grant, err error, now time.Time) {
	current := instance == k.instance
	switch {
	case err == nil:
		sent.bound.Answered(now)
	case errors.Is(err, ErrNotSent):
		sent.bound.Rejected()
	case errors.Is(err, ErrOrderRefused):
		sent.bound.Rejected()
		if current {
			k.fences.retireFence(sent.Fence, sent.subFence)
		}
	case current:
		sent.bound.Unanswered(now, sent.sentAt.Add(maxTransitDelay))
		connectionEnded := errors.Is(err, ErrConnectionEnded)
		k.fences.addUnanswered(unansweredGrant{keys: sent.Keys, owner: sent.Fence, subFence: sent.subFence, recordedAt: now, connectionEnded: connectionEnded})
	default:
		sent.bound.Unanswered(now, sent.sentAt.Add(maxTransitDelay))
		if !errors.Is(err, ErrConnectionEnded) {
			k.earlierIncarnations.unreadUntil = latest(k.earlierIncarnations.unreadUntil, now.Add(maxGrantDelay))
		}
	}
}

// markOutlastingLease marks a grant that may last longer than the lease: its response came so
// late that this process must have been stalled while sending it.
func (k *grantManager) markOutlastingLease(sent *grant) {
	if !sent.bound.Until().After(k.leaseUntil) {
		return
	}
	sent.outlastsLease, sent.heldUntil, sent.nextAt = true, time.Time{}, time.Time{}
	k.gateway.config.Log.Warn("grant outlasts its lease and is taken back", "instance", k.instance, "first", sent.Keys.First, "last", sent.Keys.Last,
		"beyond_ms", sent.bound.Until().Sub(k.leaseUntil).Milliseconds())
}

// startRevocations revokes the grants that may last longer than the lease.
func (k *grantManager) startRevocations(ctx context.Context, now time.Time) {
	for key, sent := range k.grants {
		if sent.outlastsLease && !sent.bound.InFlight() && !now.Before(sent.nextAt) {
			sent.bound.Send(0)
			go k.revoke(ctx, k.instance, key, sent)
		}
	}
}

// revoke releases the range of one grant at the back end.
func (k *grantManager) revoke(ctx context.Context, instance string, key fencedRange, sent *grant) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := k.gateway.config.Keys.Release(ctx, ReleaseOrder{Instance: instance, Keys: sent.Keys, Fence: composeFence(sent.Fence, sent.subFence)})
	k.gateway.metrics.release(err)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err != nil || instance != k.instance || k.grantsStopped {
		sent.bound.Rejected()
		sent.nextAt = steady.Reading().Add(releaseRetryDelay)
		return
	}
	sent.bound.Revoked()
	delete(k.grants, key)
	k.signal()
}
