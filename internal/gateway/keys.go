package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyhold"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/steady"
)

const (
	// renewalsPerGrant is the number of renewals within the duration of a grant, so that a few
	// may be lost.
	renewalsPerGrant = 4
	// grantRetryDelay is the pause before a grant that failed is sent again.
	grantRetryDelay = 150 * time.Millisecond
	// minGrantDuration is the shortest grant worth sending.
	minGrantDuration = 200 * time.Millisecond
	// clockDrift bounds how slowly a back end's clock may run, as a share, and how much faster
	// a controller's clock may run than this process's.
	clockDrift = keyhold.ClockDrift
	// cpuQuotaPause is how long a process under a CPU quota may be throttled: the rest of the
	// scheduler's period of 100 ms (Linux's default of cpu.cfs_period_us).
	cpuQuotaPause = 100 * time.Millisecond
	// maxTransitDelay is the longest time between preparing a grant and its arrival at the back
	// end, and by how much a grant ends before the lease that it rests on. The back end counts
	// the duration from the arrival, and this process may be stalled before it sends: with
	// hundreds of processes on one machine, for almost a second.
	maxTransitDelay = time.Second
	grantTimeout    = 400 * time.Millisecond
	// releaseTimeout bounds one release call; the back end responds once its work on the keys
	// has ended.
	releaseTimeout     = 4 * time.Second
	releaseRetryDelay  = 200 * time.Millisecond
	grantCheckInterval = 100 * time.Millisecond
)

// fencedRange identifies a range of keys granted under an owner's fence.
type fencedRange struct {
	keys  keyspace.Range
	fence keyspace.Fence
}

// mayHoldKeysOf reports whether a grant of the range may still let the back end hold keys of
// another one: it has the same fence or an earlier one of the same owner, and overlaps it.
func (k fencedRange) mayHoldKeysOf(held fleetwire.Held) bool {
	return k.fence <= held.Fence && k.keys.Overlaps(held.Keys)
}

// grant is the state of what was granted to the back end for one range.
type grant struct {
	fleetwire.Held
	// heldUntil is the time until which the back end certainly holds the range; zero if it never
	// confirmed. bound gives the time from which it certainly no longer holds it.
	heldUntil time.Time
	bound     keyhold.Bound
	sentAt    time.Time
	// offeredAt is when a response to a heartbeat last offered the range.
	offeredAt time.Time
	// confirmedAt is when the last confirmed grant was sent.
	confirmedAt time.Time
	nextAt      time.Time
	// outlastsLease is set if the range may be held after the lease ends, and has to be
	// revoked.
	outlastsLease bool
	// subFence is the gateway's own part of the last fence that was sent (see composeFence).
	subFence uint32
	// unacceptedOffers counts consecutive heartbeats that did not name the range although it
	// had been offered.
	unacceptedOffers int
}

// pendingRelease is the state of a range that the controller has asked to be released.
type pendingRelease struct {
	held fleetwire.Held
	// supersedeUntil is the end of the last lease that allows a superseding grant of the range
	// (fleetwire.Held.MayCover).
	supersedeUntil time.Time
	inFlight       bool
	nextAt         time.Time
	done           bool
	handover       string
	// omittedAt is when a response to a heartbeat first omitted the range, and droppedByBackend
	// is set once a later heartbeat no longer names it.
	omittedAt        time.Time
	droppedByBackend bool
}

// releasedRange is a range whose release was sent to the back end. Grants sent before do not
// cover it any more, even if a later lease lists it again.
type releasedRange struct {
	fencedRange
	releasedAt time.Time
}

// releasedRangeRetention is how long a released range is remembered: longer than any grant
// lasts.
const releasedRangeRetention = 30 * time.Second

// grantManager grants the keys of the current lease to the back end and releases the keys that
// the controller asks for.
type grantManager struct {
	gateway *Gateway
	wake    chan struct{}
	started time.Time

	mutex    sync.Mutex
	instance string
	// everConfirmed is set once the instance has confirmed a grant of this process.
	everConfirmed bool
	leaseUntil    time.Time
	// ignoreLeasesBefore is the time after which a lease must have been requested to be
	// applied.
	ignoreLeasesBefore time.Time
	leasedRanges       []fleetwire.Held
	grants             map[fencedRange]*grant
	releases           map[fencedRange]*pendingRelease
	releasedRanges     []releasedRange
	// reportedAt has when each range was last reported as released, on the clock of the
	// reports.
	reportedAt     map[fencedRange]time.Duration
	fences         fenceTracker
	fromHeartbeats heartbeatKeys
	// heartbeatCount counts the accepted heartbeats of all incarnations.
	heartbeatCount uint64
	// reportedEarlierExpired is set once it was reported to the leader that earlier
	// incarnations hold nothing.
	reportedEarlierExpired bool
	earlierIncarnations    earlierIncarnationGrants
	// grantsStopped is set while another incarnation waits to replace the instance: no further
	// keys are granted.
	grantsStopped bool
	// changed is closed and replaced when the leased or granted keys may have changed.
	changed chan struct{}
}

func newGrantManager(g *Gateway) *grantManager {
	return &grantManager{
		gateway:    g,
		wake:       make(chan struct{}, 1),
		started:    steady.Reading(),
		grants:     map[fencedRange]*grant{},
		releases:   map[fencedRange]*pendingRelease{},
		reportedAt: map[fencedRange]time.Duration{},
		fences:     newFenceTracker(),
		changed:    make(chan struct{}),
	}
}

// notifyWaiters wakes the callers that wait for a key or for a change of the lease. The caller
// has the mutex.
func (k *grantManager) notifyWaiters() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// willReceive reports whether the back end is about to get a key: the lease lists it, or the
// controllers have assigned it to the back end.
func (k *grantManager) willReceive(instance string, key keyspace.Key) bool {
	if owner, ok := k.gateway.views.load().owner(k.gateway.registry.snapshot().Service, key); ok && owner.ID == instance {
		return true
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	single := keyspace.Range{First: key, Last: key}
	return instance == k.instance && slices.ContainsFunc(k.leasedRanges, func(held fleetwire.Held) bool { return held.Keys.Contains(single) })
}

// awaitKey blocks until an instance holds a key, is no longer expected to get it, or the context
// ends.
func (k *grantManager) awaitKey(ctx context.Context, instance string, key keyspace.Key) {
	for {
		k.mutex.Lock()
		changed := k.changed
		k.mutex.Unlock()
		if k.holds(instance, key, steady.Reading()) || !k.willReceive(instance, key) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// applyLease puts a lease in force. Epoch is the zero of the clock that reports carry.
func (k *grantManager) applyLease(lease *fleetwire.Lease, epoch time.Time) {
	if lease.Instance == "" || lease.Instance != k.gateway.registry.snapshot().ID {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !epoch.Add(lease.SentAt).After(k.ignoreLeasesBefore) {
		return
	}
	if lease.Instance != k.instance {
		k.reset(lease.Instance, steady.Reading())
	}
	duration := time.Duration(float64(lease.Duration) * (1 - clockDrift))
	k.leaseUntil = epoch.Add(lease.SentAt + duration)
	maps.DeleteFunc(k.reportedAt, func(_ fencedRange, at time.Duration) bool { return at <= lease.SentAt })
	k.leasedRanges = slices.DeleteFunc(slices.Clone(lease.Held), func(held fleetwire.Held) bool { return k.reportedSince(held, lease.SentAt) })
	k.applyReleases(lease.Release)
	k.notifyWaiters()
	k.signal()
}

// reset starts over with another incarnation of the back end, which holds nothing. What the
// former one may still hold is kept in earlierIncarnations.
func (k *grantManager) reset(instance string, now time.Time) {
	k.earlierIncarnations.add(k.grants, &k.fences, now)
	k.instance, k.everConfirmed = instance, false
	k.leasedRanges = nil
	k.releasedRanges = nil
	k.grantsStopped = false
	k.fromHeartbeats = heartbeatKeys{}
	k.fences = newFenceTracker()
	k.grants = map[fencedRange]*grant{}
	k.releases = map[fencedRange]*pendingRelease{}
	k.reportedAt = map[fencedRange]time.Duration{}
}

// reportedSince reports whether keys of a range were reported as released after a time. The
// leader may still read that report and give the keys to another owner, so a lease requested
// before it must not grant any of them.
func (k *grantManager) reportedSince(held fleetwire.Held, requestedAt time.Duration) bool {
	for key, at := range k.reportedAt {
		if at > requestedAt && key.mayHoldKeysOf(held) {
			return true
		}
	}
	return false
}

func (k *grantManager) applyReleases(requested []fleetwire.Held) {
	updated := make(map[fencedRange]*pendingRelease, len(requested))
	for _, held := range requested {
		key := fencedRange{held.Keys, held.Fence}
		pending, ok := k.releases[key]
		if !ok {
			pending = &pendingRelease{held: held}
		}
		if held.MayCover {
			pending.supersedeUntil = k.leaseUntil
		}
		updated[key] = pending
	}
	k.releases = updated
}

func (k *grantManager) signal() { notify(k.wake) }

// reportReleases returns the ranges whose release is complete, for a report that is sent at a time,
// and records that they were reported.
func (k *grantManager) reportReleases(sentAt time.Duration) []fleetwire.Released {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var released []fleetwire.Released
	for key, pending := range k.releases {
		if pending.done {
			k.reportedAt[key] = sentAt
			released = append(released, fleetwire.Released{Keys: pending.held.Keys, Fence: pending.held.Fence, Handover: pending.handover})
		}
	}
	return released
}

// holds reports whether an instance holds a key at a time.
func (k *grantManager) holds(instance string, key keyspace.Key, now time.Time) bool {
	byHeartbeat := k.byHeartbeat()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if instance != k.instance || k.grantsStopped {
		return false
	}
	if byHeartbeat {
		return k.servesByHeartbeat(key, now)
	}
	single := keyspace.Range{First: key, Last: key}
	for _, held := range k.leasedRanges {
		if !held.Keys.Contains(single) {
			continue
		}
		for granted, sent := range k.grants {
			covers := granted.fence == held.Fence && granted.keys.Contains(single) && now.Before(sent.heldUntil)
			if covers && !k.releasedSince(single, held.Fence, sent.confirmedAt) {
				return true
			}
		}
	}
	return false
}

// releasedSince reports whether a part of a range was released at or after a time.
func (k *grantManager) releasedSince(keys keyspace.Range, fence keyspace.Fence, since time.Time) bool {
	for _, released := range k.releasedRanges {
		if released.fence == fence && released.keys.Overlaps(keys) && !released.releasedAt.Before(since) {
			return true
		}
	}
	return false
}

// run sends grants and releases until the context ends.
func (k *grantManager) run(ctx context.Context) {
	ticker := time.NewTicker(grantCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.wake:
		}
		k.step(ctx, steady.Reading())
	}
}

func (k *grantManager) step(ctx context.Context, now time.Time) {
	byHeartbeat := k.byHeartbeat()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	// The lease is for one incarnation of the back end. The process at its address now may be
	// the next one, even if no leader knows of it yet.
	current := k.gateway.registry.snapshot()
	if !k.syncIncarnation(current, now) {
		return
	}
	unreachable := current.State == fleetwire.InstanceGone
	k.completeExpiredReleases(now)
	switch {
	case byHeartbeat:
		k.completeReleases(now)
	case unreachable, k.grantsStopped, k.gateway.identityUnconfirmed():
	default:
		k.startGrants(ctx, now)
		k.startReleases(ctx, now)
		k.startRevocations(ctx, now)
	}
	if unreachable && !current.Released {
		k.gateway.probeBackend(k.instance)
		k.reportUnreachableFree(now)
	}
	k.prune(now)
}

// prune drops expired grants, unanswered grants and released ranges.
func (k *grantManager) prune(now time.Time) {
	for key, sent := range k.grants {
		if sent.bound.Expired(now) && !k.isLeased(key) {
			delete(k.grants, key)
		}
	}
	k.fences.prune(now)
	k.releasedRanges = slices.DeleteFunc(k.releasedRanges, func(released releasedRange) bool { return now.After(released.releasedAt.Add(releasedRangeRetention)) })
}

// leaseRemaining returns the remaining time of the current lease.
func (k *grantManager) leaseRemaining(now time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.leaseUntil.IsZero() {
		return 0
	}
	return k.leaseUntil.Sub(now)
}

// leasedRangeCount returns the number of ranges that the current lease lists.
func (k *grantManager) leasedRangeCount() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.leasedRanges)
}

func (k *grantManager) isLeased(key fencedRange) bool {
	for _, held := range k.leasedRanges {
		if held.Keys == key.keys && held.Fence == key.fence {
			return true
		}
	}
	return false
}
