package router

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// target is where an attempt goes. Keyed targets name shard and epoch, by
// which the agent and the back end check that the sender's table is right.
type target struct {
	peer     *peer
	revision topology.Revision
	keyed    bool
	shard    topology.ShardID
	epoch    topology.Epoch
}

// Waits between attempts.
var (
	// sameOwnerBackoff paces attempts at an owner that refused as out of step.
	sameOwnerBackoff = admission.Backoff{Initial: 10 * time.Millisecond, Maximum: 200 * time.Millisecond}
	// otherBackendBackoff paces attempts at other back ends.
	otherBackendBackoff = admission.Backoff{Initial: 2 * time.Millisecond, Maximum: 50 * time.Millisecond}
)

// recheckInterval bounds a wait for a new table.
const recheckInterval = 500 * time.Millisecond

// nextTarget finds where the next attempt goes. It waits, within the deadline
// and the hold timeout, for an owner or for a retry's turn.
func (f *forwarding) nextTarget() (target, *refusal) {
	v := f.router.view.Load()
	if refused := f.refuseIfStale(); refused != nil {
		return target{}, refused
	}
	if f.request.keyed {
		return f.ownerTarget(v)
	}
	return f.balancedTarget(v)
}

// refuseIfStale refuses to route by a table that may no longer be in force: the
// controllers count on it when they say that a change is in force everywhere.
func (f *forwarding) refuseIfStale() *refusal {
	if !f.router.stale() {
		return nil
	}
	return f.giveUp(wire.ReasonStale, "the router has not heard a controller for too long")
}

// giveUp makes the final answer of a request that is in no attempt: it was not
// run, unless an earlier attempt may have.
func (f *forwarding) giveUp(reason wire.Reason, detail string) *refusal {
	if f.mayHaveRun != nil {
		return f.mayHaveRun
	}
	return notRun(reason, detail)
}

// balancedTarget picks a back end for a request that is not bound to an owner.
func (f *forwarding) balancedTarget(v *view) (target, *refusal) {
	if f.last != nil {
		if refused := f.awaitOtherBackend(v); refused != nil {
			return target{}, refused
		}
		v = f.router.view.Load()
	}
	service, known := v.services[f.request.service.service.Name]
	if !known {
		return target{}, f.giveUp(wire.ReasonNotFound, "the service was removed")
	}
	chosen := chooseBalanced(service.balanced, f.tried, f.router.config.Clock())
	if chosen == nil || chosen.pool == nil {
		return target{}, f.giveUp(wire.ReasonNoOwner, "the service has no active back end")
	}
	f.tried = append(f.tried, chosen)
	return target{peer: chosen, revision: v.table.Revision()}, nil
}

// awaitOtherBackend pays for a retry and waits its pause.
func (f *forwarding) awaitOtherBackend(v *view) *refusal {
	if len(f.tried) >= maximumAttempts {
		return f.final(f.last.refusal)
	}
	if !f.payRetry() {
		return f.final(f.last.refusal)
	}
	f.wait(v, nil, otherBackendBackoff.Wait(len(f.tried)-1, rand.Float64()))
	return f.endOfWait()
}

// payRetry takes a retry from the budget, unless the last attempt cost the
// back ends nothing or the retry was paid when that attempt was ended early.
func (f *forwarding) payRetry() bool {
	if f.last.kind == attemptNotSent || f.paid.Swap(false) {
		return true
	}
	return f.router.spendRetry(f.request.service.state)
}

// ownerTarget finds the owner of the request's shard. While there is none, or
// only the one that just refused, the request is held.
func (f *forwarding) ownerTarget(v *view) (target, *refusal) {
	hold := holding{forwarding: f}
	defer hold.leave()
	for {
		found, refused := f.ownerIn(v)
		if refused != nil {
			return target{}, refused
		}
		if found.peer != nil && f.mayTry(found) {
			return found, nil
		}
		if refused := hold.enter(); refused != nil {
			return target{}, refused
		}
		f.wait(v, found.peer, f.pauseFor(found))
		if refused := f.endOfWait(); refused != nil {
			return target{}, refused
		}
		if refused := f.refuseIfStale(); refused != nil {
			return target{}, refused
		}
		v = f.router.view.Load()
	}
}

// ownerIn looks the owner up. Its peer is nil while the shard is between
// owners.
func (f *forwarding) ownerIn(v *view) (target, *refusal) {
	service, known := v.services[f.request.service.service.Name]
	if !known {
		return target{}, f.giveUp(wire.ReasonNotFound, "the service was removed")
	}
	route, found := v.table.LookupIn(service.service, f.request.position)
	if !found {
		return target{}, f.giveUp(wire.ReasonNoOwner, "the service has no shards")
	}
	serves := route.Shard.Phase == topology.ShardOwned || route.Shard.Phase == topology.ShardWarming
	if !serves || route.Owner == nil {
		return target{}, nil
	}
	owner := v.peers[route.Owner.ID]
	if owner.pool == nil {
		return target{}, nil
	}
	return target{
		peer: owner, revision: v.table.Revision(), keyed: true, shard: route.Shard.ID, epoch: route.Shard.Epoch,
	}, nil
}

// mayTry says whether an attempt at an owner makes sense now: always at a new
// one; again at the same one after a pause, at the cost of a retry unless
// nothing was sent.
func (f *forwarding) mayTry(found target) bool {
	if f.last == nil || found.peer != f.last.target.peer || found.epoch != f.last.target.epoch || found.shard != f.last.target.shard {
		f.sameOwner = 0
		return found.peer.breaker.allow(f.router.config.Clock())
	}
	if f.last.kind == attemptNotSent {
		return found.peer.breaker.allow(f.router.config.Clock())
	}
	if !f.paused {
		return false
	}
	f.paused = false
	return f.router.spendRetry(f.request.service.state)
}

// pauseFor is how long to wait before the owner is looked up again when no new
// table arrives.
func (f *forwarding) pauseFor(found target) time.Duration {
	if found.peer == nil {
		return recheckInterval
	}
	if f.last == nil || f.last.kind == attemptNotSent {
		return probeInterval
	}
	f.paused = true
	f.sameOwner++
	return sameOwnerBackoff.Wait(f.sameOwner-1, rand.Float64())
}

// wait ends at a new view, at the end of the pause, when the peer can be
// reached again, or with the request.
func (f *forwarding) wait(v *view, p *peer, pause time.Duration) {
	var reachable <-chan struct{}
	if p != nil {
		reachable = p.breaker.whenReachable()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-v.changed:
	case <-reachable:
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// endOfWait says whether the request ended while it waited.
func (f *forwarding) endOfWait() *refusal {
	err := f.ctx.Err()
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return f.giveUp(wire.ReasonExpired, "the deadline passed before an owner could take the request")
	}
	return f.giveUp(wire.ReasonInterrupted, "the caller went away")
}

// holding is a request's place in the hold buffer.
type holding struct {
	forwarding *forwarding
	inside     bool
}

// enter takes a place, or refuses where there is none or the request has been
// held too long.
func (h *holding) enter() *refusal {
	f := h.forwarding
	if !h.inside {
		if !f.router.hold.enter(len(f.request.body.buffered)) {
			return f.giveUp(wire.ReasonShed, "too many requests wait for an owner")
		}
		h.inside = true
		if f.holdUntil.IsZero() {
			f.holdUntil = time.Now().Add(f.router.config.HoldTimeout)
		}
	}
	if time.Now().After(f.holdUntil) {
		return f.giveUp(f.noOwnerReason(), "no owner took the request in time")
	}
	return nil
}

func (h *holding) leave() {
	if h.inside {
		h.forwarding.router.hold.leave(len(h.forwarding.request.body.buffered))
	}
}

// noOwnerReason tells an unreachable owner from a missing one.
func (f *forwarding) noOwnerReason() wire.Reason {
	if f.last != nil && f.last.kind == attemptNotSent {
		return wire.ReasonUnreachable
	}
	return wire.ReasonNoOwner
}
