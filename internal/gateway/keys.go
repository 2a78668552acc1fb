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
	// renewals is how often a grant is renewed within its time, so that a few may be lost.
	renewals = 4
	// regrantAfter is the pause after a grant without an answer.
	regrantAfter = 150 * time.Millisecond
	// leastHold is the shortest grant worth sending.
	leastHold = 200 * time.Millisecond
	// clockDrift bounds how slowly a back end's clock may run, as a share, and
	// how much faster a controller's runs than this process's.
	clockDrift = keyhold.ClockDrift
	// processorPause is for how long a processor whose share is a quota may stand
	// still: the rest of the scheduler's period of 100 ms (Linux's default of
	// cpu.cfs_period_us).
	processorPause = 100 * time.Millisecond
	// transit is by how much later than it was sent a grant may arrive, and by how much it
	// ends before the lease that it rests on. The back end counts from its arrival, and this
	// process may stand still on the way: with hundreds of processes on a machine, for all
	// but a second.
	transit      = time.Second
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

// concerns says that what was granted for the range may still let the back end hold
// keys of another one: under its fence, or an earlier one of the same owner.
func (k heldKey) concerns(held fleetwire.Held) bool {
	return k.fence <= held.Fence && k.keys.Overlaps(held.Keys)
}

// grant is what was sent to the back end for one range.
type grant struct {
	fleetwire.Held
	// until is until when the back end surely holds the range; zero where it never
	// confirmed. bound is when it surely does not any more.
	until  time.Time
	bound  keyhold.Bound
	sentAt time.Time
	// offeredAt is when an answer to a heartbeat offered it last.
	offeredAt time.Time
	// confirmed is when the last confirmed message was sent.
	confirmed time.Time
	nextAt    time.Time
	// overruns says that it may be held beyond the lease, and is to be taken back.
	overruns bool
	// sub is the gateway's part of the fence of the last message.
	sub uint32
	// untaken counts heartbeats in a row that did not name the range although it
	// had been offered.
	untaken int
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
	// leftOutAt is when the first answer to a heartbeat left the range out, and
	// letGo says that the back end has named it no more since.
	leftOutAt time.Time
	letGo     bool
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

	mutex    sync.Mutex
	instance string
	// answered says that the instance has confirmed a grant of this process.
	answered   bool
	leaseUntil time.Time
	// leaseFrom is from when on a lease must have been asked for.
	leaseFrom time.Time
	wanted    []fleetwire.Held
	grants    map[heldKey]*grant
	releases  map[heldKey]*release
	taken     []taken
	// told has when each promise was told last, on the clock that reports carry.
	told     map[heldKey]time.Duration
	fences   fenceLedger
	reported keyReport
	// heartbeats counts those that were taken, of any life.
	heartbeats uint64
	// toldEarlierOver says that the leader was told that earlier lives hold nothing.
	toldEarlierOver bool
	earlier         earlierLives
	// yielding says that another life waits to take the instance's place: nothing more is
	// granted.
	yielding bool
	// changed is closed when more keys may be held than before.
	changed chan struct{}
}

func newKeyKeeper(g *Gateway) *keyKeeper {
	return &keyKeeper{
		gateway:  g,
		wake:     make(chan struct{}, 1),
		started:  steady.Reading(),
		grants:   map[heldKey]*grant{},
		releases: map[heldKey]*release{},
		told:     map[heldKey]time.Duration{},
		fences:   newFenceLedger(),
		changed:  make(chan struct{}),
	}
}

// announce wakes who waits for a key. The caller has the mutex.
func (k *keyKeeper) announce() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// expects says that the back end is about to get a key: the lease lists it, or the
// controllers have made it the owner.
func (k *keyKeeper) expects(instance string, key keyspace.Key) bool {
	if owner, ok := k.gateway.views.load().owner(k.gateway.registry.snapshot().Service, key); ok && owner.ID == instance {
		return true
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	one := keyspace.Range{First: key, Last: key}
	return instance == k.instance && slices.ContainsFunc(k.wanted, func(held fleetwire.Held) bool { return held.Keys.Contains(one) })
}

// await returns when an instance holds a key, when it is not to get it, or when
// the context ends.
func (k *keyKeeper) await(ctx context.Context, instance string, key keyspace.Key) {
	for {
		k.mutex.Lock()
		changed := k.changed
		k.mutex.Unlock()
		if k.holds(instance, key, steady.Reading()) || !k.expects(instance, key) {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// take puts a lease in force. Epoch is the zero of the clock that reports carry.
func (k *keyKeeper) take(lease *fleetwire.Lease, epoch time.Time) {
	if lease.Instance == "" || lease.Instance != k.gateway.registry.snapshot().ID {
		return
	}
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if !epoch.Add(lease.SentAt).After(k.leaseFrom) {
		return
	}
	if lease.Instance != k.instance {
		k.reset(lease.Instance, steady.Reading())
	}
	duration := time.Duration(float64(lease.Duration) * (1 - clockDrift))
	k.leaseUntil = epoch.Add(lease.SentAt + duration)
	maps.DeleteFunc(k.told, func(_ heldKey, told time.Duration) bool { return told <= lease.SentAt })
	k.wanted = slices.DeleteFunc(slices.Clone(lease.Held), func(held fleetwire.Held) bool { return k.toldSince(held, lease.SentAt) })
	k.takeReleases(lease.Release)
	k.announce()
	k.signal()
}

// reset begins with another life of the back end, which holds nothing. What the one before
// may hold is kept apart.
func (k *keyKeeper) reset(instance string, now time.Time) {
	k.earlier.add(k.grants, &k.fences, now)
	k.instance, k.answered = instance, false
	k.wanted = nil
	k.taken = nil
	k.yielding = false
	k.reported = keyReport{}
	k.fences = newFenceLedger()
	k.grants = map[heldKey]*grant{}
	k.releases = map[heldKey]*release{}
	k.told = map[heldKey]time.Duration{}
}

// toldSince says that keys of a range were promised in a report that was sent after a time.
// The leader may still read that, and give the keys away: a lease that was asked for before
// gives nothing of them.
func (k *keyKeeper) toldSince(held fleetwire.Held, askedAt time.Duration) bool {
	for key, told := range k.told {
		if told > askedAt && key.concerns(held) {
			return true
		}
	}
	return false
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

func (k *keyKeeper) signal() { wakeUp(k.wake) }

// promises returns what has been taken back, for a report that is sent at a time.
func (k *keyKeeper) promises(sentAt time.Duration) []fleetwire.Released {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	var promises []fleetwire.Released
	for key, running := range k.releases {
		if running.done {
			k.told[key] = sentAt
			promises = append(promises, fleetwire.Released{Keys: running.held.Keys, Fence: running.held.Fence, Handover: running.handover})
		}
	}
	return promises
}

// holds reports whether an instance holds a key at a time.
func (k *keyKeeper) holds(instance string, key keyspace.Key, now time.Time) bool {
	byHeartbeat := k.byHeartbeat()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if instance != k.instance || k.yielding {
		return false
	}
	if byHeartbeat {
		return k.servesReported(key, now)
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
		k.work(ctx, steady.Reading())
	}
}

func (k *keyKeeper) work(ctx context.Context, now time.Time) {
	byHeartbeat := k.byHeartbeat()
	k.mutex.Lock()
	defer k.mutex.Unlock()
	// The lease is for one life of the back end. What is at its address now may
	// be the next one, also where no leader has heard of it.
	present := k.gateway.registry.snapshot()
	if !k.followPresent(present, now) {
		return
	}
	unreachable := present.State == fleetwire.InstanceGone
	k.endOver(now)
	switch {
	case byHeartbeat:
		k.endReleases(now)
	case unreachable, k.yielding, k.gateway.unproved():
	default:
		k.startGrants(ctx, now)
		k.startReleases(ctx, now)
		k.startRetractions(ctx, now)
	}
	if unreachable && !present.Released {
		k.gateway.probe(k.instance)
		k.freeUnreachable(now)
	}
	k.forget(now)
}

// forget drops what matters no more.
func (k *keyKeeper) forget(now time.Time) {
	for key, sent := range k.grants {
		if sent.bound.Over(now) && !k.wants(key) {
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
