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

// target is the destination of an attempt. A keyed target includes shard and
// epoch, by which the agent and the back end check that the router's table is
// current.
type target struct {
	endpoint *endpoint
	revision topology.Revision
	keyed    bool
	shard    topology.ShardID
	epoch    topology.Epoch
}

// Backoff between attempts.
var (
	// sameOwnerBackoff applies to retries at the same owner.
	sameOwnerBackoff = admission.Backoff{Initial: 10 * time.Millisecond, Maximum: 200 * time.Millisecond}
	// otherBackendBackoff applies to retries at other back ends.
	otherBackendBackoff = admission.Backoff{Initial: 2 * time.Millisecond, Maximum: 50 * time.Millisecond}
)

// ownerRecheckInterval is the maximum time that a request waits for a new
// routing table before it looks up its owner again.
const ownerRecheckInterval = 500 * time.Millisecond

// nextTarget returns the target of the next attempt. It waits, within the
// deadline and the hold timeout, until there is an owner or until a retry is
// due.
func (f *forwarder) nextTarget() (target, *errorResponse) {
	v := f.router.view.Load()
	if errResp := f.staleTableError(); errResp != nil {
		return target{}, errResp
	}
	if f.request.keyed {
		return f.ownerTarget(v)
	}
	return f.balancedTarget(v)
}

// staleTableError returns an error if the routing table is stale. A router must
// not route by a table that may have been replaced: when the controllers report
// that a change is in force everywhere, they rely on this.
func (f *forwarder) staleTableError() *errorResponse {
	if !f.router.stale() {
		return nil
	}
	return f.finalNotRunError(wire.ReasonStale, "the router has not heard a controller for too long")
}

// finalNotRunError returns the final error response for a request that is not
// sent again. It states not-run, unless an earlier attempt may have run the
// request.
func (f *forwarder) finalNotRunError(reason wire.Reason, detail string) *errorResponse {
	if f.unknownOutcome != nil {
		return f.unknownOutcome
	}
	return notRunError(reason, detail)
}

// balancedTarget chooses a back end for a request without a key.
func (f *forwarder) balancedTarget(v *view) (target, *errorResponse) {
	if f.lastAttempt != nil {
		if errResp := f.waitForBalancedRetry(v); errResp != nil {
			return target{}, errResp
		}
		v = f.router.view.Load()
	}
	service, known := v.services[f.request.service.service.Name]
	if !known {
		return target{}, f.finalNotRunError(wire.ReasonNotFound, "the service was removed")
	}
	chosen := chooseBalanced(service.balanced, f.tried, f.router.config.Clock())
	if chosen == nil || chosen.pool == nil {
		return target{}, f.finalNotRunError(wire.ReasonNoOwner, "the service has no active back end")
	}
	f.tried = append(f.tried, chosen)
	return target{endpoint: chosen, revision: v.table.Revision()}, nil
}

// waitForBalancedRetry charges the retry budget and waits for the backoff.
func (f *forwarder) waitForBalancedRetry(v *view) *errorResponse {
	if len(f.tried) >= maximumAttempts {
		return f.finalError(f.lastAttempt.errResp)
	}
	if !f.chargeRetry() {
		return f.finalError(f.lastAttempt.errResp)
	}
	f.waitForChange(v, nil, otherBackendBackoff.Wait(len(f.tried)-1, rand.Float64()))
	return f.contextError()
}

// chargeRetry takes a retry from the budget. A retry is free if nothing was
// sent in the last attempt, or if it was already charged when that attempt was
// cancelled.
func (f *forwarder) chargeRetry() bool {
	if f.lastAttempt.kind == attemptNotSent || f.retryPrepaid.Swap(false) {
		return true
	}
	return f.router.spendRetry(f.request.service.state)
}

// ownerTarget returns the owner of the request's shard. While there is none, or
// while the owner may not be tried yet, the request is held.
func (f *forwarder) ownerTarget(v *view) (target, *errorResponse) {
	hold := holdReservation{forwarder: f}
	defer hold.release()
	for {
		found, errResp := f.lookUpOwner(v)
		if errResp != nil {
			return target{}, errResp
		}
		if found.endpoint != nil && f.mayAttempt(found) {
			return found, nil
		}
		if errResp := hold.reserve(); errResp != nil {
			return target{}, errResp
		}
		f.waitForChange(v, found.endpoint, f.ownerWaitDelay(found))
		if errResp := f.contextError(); errResp != nil {
			return target{}, errResp
		}
		if errResp := f.staleTableError(); errResp != nil {
			return target{}, errResp
		}
		v = f.router.view.Load()
	}
}

// lookUpOwner looks up the owner in a view. The endpoint is nil while the shard
// has no serving owner or its endpoint is not usable.
func (f *forwarder) lookUpOwner(v *view) (target, *errorResponse) {
	service, known := v.services[f.request.service.service.Name]
	if !known {
		return target{}, f.finalNotRunError(wire.ReasonNotFound, "the service was removed")
	}
	route, found := v.table.LookupIn(service.service, f.request.keyHash)
	if !found {
		return target{}, f.finalNotRunError(wire.ReasonNoOwner, "the service has no shards")
	}
	serves := route.Shard.Phase == topology.ShardOwned || route.Shard.Phase == topology.ShardWarming
	if !serves || route.Owner == nil {
		return target{}, nil
	}
	owner := v.endpoints[route.Owner.ID]
	if owner.pool == nil {
		return target{}, nil
	}
	return target{
		endpoint: owner, revision: v.table.Revision(), keyed: true, shard: route.Shard.ID, epoch: route.Shard.Epoch,
	}, nil
}

// mayAttempt reports whether the owner may be tried now. A new owner, or one to
// which nothing could be sent, may be tried whenever its breaker allows. The
// owner of the last attempt may be retried after a backoff, if the retry budget
// allows.
func (f *forwarder) mayAttempt(found target) bool {
	if f.lastAttempt == nil || found.endpoint != f.lastAttempt.target.endpoint || found.epoch != f.lastAttempt.target.epoch || found.shard != f.lastAttempt.target.shard {
		f.sameOwnerRetries = 0
		return found.endpoint.breaker.allow(f.router.config.Clock())
	}
	if f.lastAttempt.kind == attemptNotSent {
		return found.endpoint.breaker.allow(f.router.config.Clock())
	}
	if !f.sameOwnerPaused {
		return false
	}
	f.sameOwnerPaused = false
	return f.router.spendRetry(f.request.service.state)
}

// ownerWaitDelay returns how long to wait before the owner is looked up again
// if no new table arrives. It begins a backoff if the last attempt was at this
// owner.
func (f *forwarder) ownerWaitDelay(found target) time.Duration {
	if found.endpoint == nil {
		return ownerRecheckInterval
	}
	if f.lastAttempt == nil || f.lastAttempt.kind == attemptNotSent {
		return probeInterval
	}
	f.sameOwnerPaused = true
	f.sameOwnerRetries++
	return sameOwnerBackoff.Wait(f.sameOwnerRetries-1, rand.Float64())
}

// waitForChange waits for a newer view, the end of the pause, the endpoint's
// becoming reachable or the end of the request, whichever comes first.
func (f *forwarder) waitForChange(v *view, e *endpoint, pause time.Duration) {
	var reachable <-chan struct{}
	if e != nil {
		reachable = e.breaker.reachableAgain()
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-v.replaced:
	case <-reachable:
	case <-timer.C:
	case <-f.ctx.Done():
	}
}

// contextError returns the error response if the request's context has ended,
// or nil.
func (f *forwarder) contextError() *errorResponse {
	err := f.ctx.Err()
	if err == nil {
		return nil
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return f.finalNotRunError(wire.ReasonExpired, "the deadline passed before an owner could take the request")
	}
	return f.finalNotRunError(wire.ReasonInterrupted, "the caller went away")
}

// holdReservation is a request's reservation in the hold buffer.
type holdReservation struct {
	forwarder *forwarder
	reserved  bool
}

// reserve makes the reservation unless the request has one. It returns an error
// if the buffer is full or the request has been held too long.
func (h *holdReservation) reserve() *errorResponse {
	f := h.forwarder
	if !h.reserved {
		if !f.router.holdBuffer.reserve(len(f.request.body.buffered)) {
			return f.finalNotRunError(wire.ReasonShed, "too many requests wait for an owner")
		}
		h.reserved = true
		if f.holdDeadline.IsZero() {
			f.holdDeadline = time.Now().Add(f.router.config.HoldTimeout)
		}
	}
	if time.Now().After(f.holdDeadline) {
		return f.finalNotRunError(f.holdTimeoutReason(), "no owner took the request in time")
	}
	return nil
}

// release gives up the reservation, if there is one.
func (h *holdReservation) release() {
	if h.reserved {
		h.forwarder.router.holdBuffer.release(len(h.forwarder.request.body.buffered))
	}
}

// holdTimeoutReason distinguishes an unreachable owner from a missing one.
func (f *forwarder) holdTimeoutReason() wire.Reason {
	if f.lastAttempt != nil && f.lastAttempt.kind == attemptNotSent {
		return wire.ReasonUnreachable
	}
	return wire.ReasonNoOwner
}
