package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

const (
	// holdFor is for how long keys are granted where the lease allows it.
	holdFor = 5 * time.Second
	// renewAfter is the age at which a grant is renewed.
	renewAfter = 1250 * time.Millisecond
	// regrantAfter is the pause after a grant without an answer.
	regrantAfter = 150 * time.Millisecond
	// leastHold is the shortest grant worth sending.
	leastHold = 200 * time.Millisecond
	// clockDrift bounds how slowly a back end's clock may run, as a share, and
	// how much faster a controller's runs than this process's.
	clockDrift = 0.03
	// processorPause is for how long a processor whose share is a quota may stand
	// still: the rest of the scheduler's period of 100 ms (Linux's default of
	// cpu.cfs_period_us).
	processorPause = 100 * time.Millisecond
	// transit is taken off each hold for the way to the back end, which begins
	// after such a pause at the latest.
	transit      = processorPause + 20*time.Millisecond
	grantTimeout = 400 * time.Millisecond
	// releaseTimeout bounds one call; the back end answers once its work on the
	// keys has ended.
	releaseTimeout = 4 * time.Second
	releaseAgain   = 200 * time.Millisecond
	keysInterval   = 100 * time.Millisecond
)

// heldKey names a range under a fence.
type heldKey struct {
	keys  keyspace.Range
	fence keyspace.Fence
}

// grant is what was sent to the back end for one range.
type grant struct {
	fleetwire.Held
	// until is when the back end surely holds the range no longer; zero where
	// it never confirmed. possibleUntil is when it surely does not any more.
	until         time.Time
	possibleUntil time.Time
	sentAt        time.Time
	// confirmed is when the last confirmed message was sent.
	confirmed time.Time
	nextAt    time.Time
	inFlight  bool
	// sub is the gateway's part of the fence of the last message.
	sub uint32
}

// release is a range being taken back.
type release struct {
	held fleetwire.Held
	// coverUntil is the end of the last lease that allows to cover the range.
	coverUntil time.Time
	inFlight   bool
	nextAt     time.Time
	done       bool
	handover   string
}

// taken is a range that was taken back from the back end. Grants sent before do
// not cover it any more, also where a later lease lists it again.
type taken struct {
	heldKey
	at time.Time
}

// takenKept is for how long a taken range matters: longer than any grant.
const takenKept = 30 * time.Second

// keyKeeper grants the keys of the present lease to the back end and takes back
// what the controller asks for.
type keyKeeper struct {
	gateway *Gateway
	wake    chan struct{}
	started time.Time

	mutex      sync.Mutex
	instance   string
	leaseUntil time.Time
	wanted     []fleetwire.Held
	grants     map[heldKey]*grant
	releases   map[heldKey]*release
	taken      []taken
	fences     fenceLedger
}

func newKeyKeeper(g *Gateway) *keyKeeper {
	return &keyKeeper{
		gateway:  g,
		wake:     make(chan struct{}, 1),
		started:  time.Now(),
		grants:   map[heldKey]*grant{},
		releases: map[heldKey]*release{},
		fences:   newFenceLedger(),
	}
}

// take puts a lease in force. Epoch is the zero of the clock that reports carry.
func (k *keyKeeper) take(lease *fleetwire.Lease, epoch time.Time) {
	if lease.Instance == "" || lease.Instance != k.gateway.registry.snapshot().ID {
		return
	}
	k.mutex.Lock()
	if lease.Instance != k.instance {
		k.reset(lease.Instance)
	}
	duration := time.Duration(float64(lease.Duration) * (1 - clockDrift))
	k.leaseUntil = epoch.Add(lease.SentAt + duration)
	k.wanted = lease.Held
	k.takeReleases(lease.Release)
	k.mutex.Unlock()
	k.signal()
}

// reset forgets what an earlier life of the back end held: it holds nothing.
func (k *keyKeeper) reset(instance string) {
	k.instance = instance
	k.wanted = nil
	k.taken = nil
	k.fences = newFenceLedger()
	k.grants = map[heldKey]*grant{}
	k.releases = map[heldKey]*release{}
}

func (k *keyKeeper) takeReleases(asked []fleetwire.Held) {
	still := make(map[heldKey]*release, len(asked))
	for _, held := range asked {
		key := heldKey{held.Keys, held.Fence}
		running, ok := k.releases[key]
		if !ok {
			running = &release{held: held}
		}
		if held.MayCover {
			running.coverUntil = k.leaseUntil
		}
		still[key] = running
	}
	k.releases = still
}

func (k *keyKeeper) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// promises returns what has been taken back.
func (k *keyKeeper) promises() []fleetwire.Released {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var promises []fleetwire.Released
	for _, running := range k.releases {
		if running.done {
			promises = append(promises, fleetwire.Released{Keys: running.held.Keys, Fence: running.held.Fence, Handover: running.handover})
		}
	}
	return promises
}

// holds reports whether an instance holds a key at a time.
func (k *keyKeeper) holds(instance string, key keyspace.Key, now time.Time) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if instance != k.instance {
		return false
	}
	one := keyspace.Range{First: key, Last: key}
	for _, held := range k.wanted {
		if !held.Keys.Contains(one) {
			continue
		}
		for granted, sent := range k.grants {
			covers := granted.fence == held.Fence && granted.keys.Contains(one) && now.Before(sent.until)
			if covers && !k.takenSince(one, held.Fence, sent.confirmed) {
				return true
			}
		}
	}
	return false
}

// takenSince says that a part of a range was taken back at or after a time.
func (k *keyKeeper) takenSince(keys keyspace.Range, fence keyspace.Fence, since time.Time) bool {
	for _, back := range k.taken {
		if back.fence == fence && back.keys.Overlaps(keys) && !back.at.Before(since) {
			return true
		}
	}
	return false
}

// run sends grants and releases until the context ends.
func (k *keyKeeper) run(ctx context.Context) {
	ticker := time.NewTicker(keysInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-k.wake:
		}
		k.work(ctx, time.Now())
	}
}

func (k *keyKeeper) work(ctx context.Context, now time.Time) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.instance == "" {
		return
	}
	// The lease is for one life of the back end. What is at its address now may
	// be the next one, also where no leader has heard of it.
	present := k.gateway.registry.snapshot()
	gone := present.State == fleetwire.InstanceGone || present.ID != k.instance
	if !gone {
		k.startGrants(ctx, now)
	}
	k.startReleases(ctx, now, gone)
	k.forget(now)
}

// forget drops what matters no more.
func (k *keyKeeper) forget(now time.Time) {
	for key, sent := range k.grants {
		if !sent.inFlight && now.After(sent.possibleUntil) && !k.wants(key) {
			delete(k.grants, key)
		}
	}
	k.fences.forget(now)
	k.taken = slices.DeleteFunc(k.taken, func(back taken) bool { return now.After(back.at.Add(takenKept)) })
}

// leaseLeft is how long the present lease lasts.
func (k *keyKeeper) leaseLeft(now time.Time) time.Duration {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if k.leaseUntil.IsZero() {
		return 0
	}
	return k.leaseUntil.Sub(now)
}

// rangesHeld is how many ranges the present lease lists.
func (k *keyKeeper) rangesHeld() int {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.wanted)
}

func (k *keyKeeper) wants(key heldKey) bool {
	for _, held := range k.wanted {
		if held.Keys == key.keys && held.Fence == key.fence {
			return true
		}
	}
	return false
}

// startGrants sends what is due.
func (k *keyKeeper) startGrants(ctx context.Context, now time.Time) {
	left := time.Duration(float64(k.leaseUntil.Sub(now))*(1-clockDrift)) - transit
	hold := min(holdFor, k.gateway.config.LongestHold, left)
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
	k.fences.confirmed(sent.Keys, sent.Fence, sent.sub)
	sent.until = later(sent.until, sent.sentAt.Add(hold))
	sent.confirmed = sent.sentAt
	sent.nextAt = sent.sentAt.Add(renewAfter)
	k.signal()
}

// startReleases takes back what was asked for. No grant of those keys may be on
// its way meanwhile.
func (k *keyKeeper) startReleases(ctx context.Context, now time.Time, gone bool) {
	for _, running := range k.releases {
		if running.done || running.inFlight || now.Before(running.nextAt) || k.granting(running.held) {
			continue
		}
		over := now.After(k.possibleUntil(running.held)) && !k.fences.isOpen(running.held.Keys, running.held.Fence)
		if gone || over {
			running.done = true
			k.gateway.session.report()
			continue
		}
		if k.fences.isOpen(running.held.Keys, running.held.Fence) || !k.everConfirmed(running.held) {
			k.cover(ctx, running, now)
			continue
		}
		running.inFlight = true
		k.taken = append(k.taken, taken{heldKey{running.held.Keys, running.held.Fence}, now})
		go k.takeBack(ctx, running, compose(running.held.Fence, k.fences.used[running.held.Fence]))
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
		k.start(ctx, sent, leastHold, now)
	}
}

func (k *keyKeeper) granting(held fleetwire.Held) bool {
	for key, sent := range k.grants {
		if sent.inFlight && key.fence == held.Fence && key.keys.Overlaps(held.Keys) {
			return true
		}
	}
	return false
}

// possibleUntil is when the back end surely holds none of a range any more,
// whatever this process or an earlier one has granted.
func (k *keyKeeper) possibleUntil(held fleetwire.Held) time.Time {
	until := k.started.Add(time.Duration(float64(holdFor)*(1+clockDrift)) + grantTimeout)
	for key, sent := range k.grants {
		if key.fence == held.Fence && key.keys.Overlaps(held.Keys) {
			until = later(until, sent.possibleUntil)
		}
	}
	return until
}

func (k *keyKeeper) takeBack(ctx context.Context, running *release, fence keyspace.Fence) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	handover, err := k.gateway.config.Keys.Release(ctx, running.held.Keys, fence)
	k.gateway.metrics.release(err)
	k.mutex.Lock()
	running.inFlight = false
	if err != nil {
		running.nextAt = time.Now().Add(releaseAgain)
	} else {
		running.done = true
		running.handover = handover
	}
	k.mutex.Unlock()
	if err != nil {
		k.gateway.config.Log.Info("release not confirmed", "first", running.held.Keys.First, "last", running.held.Keys.Last, "error", err)
		return
	}
	k.gateway.session.report()
}
