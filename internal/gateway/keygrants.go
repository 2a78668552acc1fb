package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// hold is for how long keys are granted at a time where the lease allows it. One that gets
// its keys by heartbeat is told again with the next one, whose answer it may get answerVoid
// later.
func (k *keyKeeper) hold() time.Duration {
	config := &k.gateway.config
	hold := config.KeyHold
	if k.byHeartbeat() {
		hold = max(hold, config.HeartbeatInterval+answerVoid)
	}
	return min(hold, config.LongestHold)
}

// startGrants sends what is due.
func (k *keyKeeper) startGrants(ctx context.Context, now time.Time) {
	if k.longestHold(now) < leastHold {
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
		if sent.bound.Sending() || sent.overruns || !due {
			continue
		}
		k.start(ctx, sent, grantTerms{longest: k.hold(), until: k.leaseUntil})
	}
}

// longestHold is for how long keys may be granted at a time: surely not beyond
// the lease.
func (k *keyKeeper) longestHold(now time.Time) time.Duration {
	return min(k.hold(), holdUntil(k.leaseUntil, now))
}

// holdUntil is for how long a grant may be that surely ends before a time.
func holdUntil(until, now time.Time) time.Duration {
	return time.Duration(float64(until.Sub(now))*(1-clockDrift)) - transit
}

// grantTerms bound one grant: for how long it may be, and that it must end surely before a
// time.
type grantTerms struct {
	longest time.Duration
	until   time.Time
}

// start sends one grant.
func (k *keyKeeper) start(ctx context.Context, sent *grant, terms grantTerms) {
	sent.bound.Send(terms.longest)
	sent.sub = k.fences.used[sent.Fence]
	go k.send(ctx, k.instance, sent, terms)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// prepare works out, at the last moment, for how long a grant may be: this process may have
// stood still since it was begun. It reports whether it is still worth sending.
func (k *keyKeeper) prepare(instance string, sent *grant, terms grantTerms) (order GrantOrder, ok bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := steady.Reading()
	hold := min(terms.longest, k.longestHold(now), holdUntil(terms.until, now))
	if instance != k.instance || k.yielding || hold < leastHold {
		sent.bound.NotTaken()
		return GrantOrder{}, false
	}
	sent.bound.Send(hold)
	sent.sentAt = now
	return GrantOrder{Instance: instance, Keys: sent.Keys, Fence: compose(sent.Fence, sent.sub), Hold: hold, Handover: sent.Handover, PreparedAt: now}, true
}

// send makes one grant and notes its answer.
func (k *keyKeeper) send(ctx context.Context, instance string, sent *grant, terms grantTerms) {
	order, ok := k.prepare(instance, sent, terms)
	if !ok {
		return
	}
	// From when it was worked out: what stood still since must not leave.
	ctx, cancel := context.WithTimeout(ctx, steady.Until(order.PreparedAt.Add(grantTimeout)))
	defer cancel()
	err := k.gateway.config.Keys.Grant(ctx, order)
	k.gateway.metrics.grant(err)
	if err != nil {
		k.gateway.config.Log.Info("grant not confirmed", "instance", instance, "first", sent.Keys.First, "last", sent.Keys.Last, "fence", uint64(sent.Fence), "error", err)
		k.gateway.suspect(instance, err)
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	now := steady.Reading()
	k.noteAnswer(instance, sent, err, now)
	if instance != k.instance {
		return
	}
	if err != nil {
		sent.nextAt = now.Add(regrantAfter)
		return
	}
	k.gateway.registry.heard(instance)
	k.fences.confirmed(sent.Keys, sent.Fence, sent.sub)
	sent.until = later(sent.until, sent.sentAt.Add(order.Hold))
	sent.confirmed, k.answered = sent.sentAt, true
	sent.nextAt = sent.sentAt.Add(k.hold() / renewals)
	k.retractOverrun(sent)
	k.announce()
	k.signal()
}

// noteAnswer follows until when a back end may hold what it was sent, which may be an
// earlier life of it.
func (k *keyKeeper) noteAnswer(instance string, sent *grant, err error, now time.Time) {
	present := instance == k.instance
	switch {
	case err == nil:
		sent.bound.Answered(now)
	case errors.Is(err, ErrNotSent):
		sent.bound.NotTaken()
	case errors.Is(err, ErrNotTaken):
		sent.bound.NotTaken()
		if present {
			k.fences.skip(sent.Fence, sent.sub)
		}
	case present:
		sent.bound.Unanswered(now, sent.sentAt.Add(transit))
		ended := errors.Is(err, ErrConnectionEnded)
		k.fences.unanswered(openGrant{keys: sent.Keys, owner: sent.Fence, sub: sent.sub, at: now, ended: ended})
	default:
		sent.bound.Unanswered(now, sent.sentAt.Add(transit))
		if !errors.Is(err, ErrConnectionEnded) {
			k.earlier.unreadUntil = later(k.earlier.unreadUntil, now.Add(openKept))
		}
	}
}

// retractOverrun notes a grant that may outlast the lease: its answer came so late that this
// process must have stood still as it sent it.
func (k *keyKeeper) retractOverrun(sent *grant) {
	if !sent.bound.Until().After(k.leaseUntil) {
		return
	}
	sent.overruns, sent.until, sent.nextAt = true, time.Time{}, time.Time{}
	k.gateway.config.Log.Warn("grant outlasts its lease and is taken back", "instance", k.instance, "first", sent.Keys.First, "last", sent.Keys.Last,
		"beyond_ms", sent.bound.Until().Sub(k.leaseUntil).Milliseconds())
}

// startRetractions takes back what may be held beyond the lease.
func (k *keyKeeper) startRetractions(ctx context.Context, now time.Time) {
	for key, sent := range k.grants {
		if sent.overruns && !sent.bound.Sending() && !now.Before(sent.nextAt) {
			sent.bound.Send(0)
			go k.retract(ctx, k.instance, key, sent)
		}
	}
}

// retract takes one grant back.
func (k *keyKeeper) retract(ctx context.Context, instance string, key heldKey, sent *grant) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := k.gateway.config.Keys.Release(ctx, ReleaseOrder{Instance: instance, Keys: sent.Keys, Fence: compose(sent.Fence, sent.sub)})
	k.gateway.metrics.release(err)
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if err != nil || instance != k.instance || k.yielding {
		sent.bound.NotTaken()
		sent.nextAt = steady.Reading().Add(releaseAgain)
		return
	}
	sent.bound.TakenBack()
	delete(k.grants, key)
	k.signal()
}
