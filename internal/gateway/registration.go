package gateway

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/incarnation"
)

// Registration is the content of a back end's heartbeat.
type Registration struct {
	// ID is the name of its incarnation (incarnation.Name).
	ID      string
	Service string
	Slots   int
	State   fleetwire.InstanceState
	// WarmUpLeft is the remaining time of its warm-up after the start.
	WarmUpLeft time.Duration
	// Sequence increases with each heartbeat of an incarnation, so that a delayed one is
	// recognized.
	Sequence uint64
	// Held lists the ranges that it holds or still serves requests of, and Freed those that it
	// has released since its last acknowledged heartbeat, if it gets its keys by heartbeat.
	Held  []HeldRange
	Freed []FreedRange
}

// registry keeps what is known of the back end of this gateway.
type registry struct {
	mutex   sync.Mutex
	current fleetwire.Instance
	// departures has the incarnations that have announced their departure, each with the time
	// from which it gets no new requests. An announcement is final.
	departures map[string]time.Time
	// refusesFrom is the time from which the current instance gets no new requests; zero as long
	// as it has neither announced its departure nor stated that it is about to stop.
	refusesFrom time.Time
	// sameIDRefusesFrom is the time from which the current instance gets no new requests because
	// another incarnation under its id has announced its departure. A back end checks the id alone,
	// so that they could reach that one. It is zero once the current instance is heard again.
	sameIDRefusesFrom time.Time
	// formerIncarnations has the incarnations that were replaced, or deregistered while another
	// one was current.
	formerIncarnations map[string]bool
	// heartbeatInterval is the longest time between two heartbeats of an incarnation, and
	// lastHeartbeatAt the arrival of the current one's last heartbeat.
	heartbeatInterval time.Duration
	lastHeartbeatAt   time.Time
	// unverified is set while the current instance is only the one that the leader knew when
	// this process started, and the back end itself has not confirmed it yet.
	unverified bool
	// candidate is an incarnation that sends heartbeats besides the current one and is not
	// accepted yet.
	candidate candidate
	// stopGrants is called, without the mutex, before another incarnation replaces a former
	// one. It reports whether every grant to the former one has expired; if not, grants to it
	// stop, and retryCandidate is called once they have expired.
	stopGrants func(former string, now time.Time) bool
	// onReplaced is called, without the mutex, after another incarnation has replaced one that
	// had not announced its stop.
	onReplaced func(former string)
	// leaderResponded reports whether the leader has responded to this process, which then
	// knows the incarnation that the leader knew; retryCandidate is called once it has.
	leaderResponded func() bool
	// reportedState is the state that the current instance last reported.
	reportedState fleetwire.InstanceState
	// leaving is set once the current instance has stated in a response that it is about to stop.
	// Its heartbeats may not say so, or may have been sent before.
	leaving bool
	// otherAtAddress is set if another back end has responded at the address since the last
	// heartbeat of the current instance.
	otherAtAddress bool
	// reprobe is called, without the mutex, when an unreachable instance sends a heartbeat.
	reprobe func(instance string)
	// missedIntervals counts the intervals since the last contact with the current instance.
	missedIntervals int
	// onChange is called after each change, without the mutex.
	onChange func()
	// onWarmUp is called, with the mutex, for each heartbeat with the remaining warm-up time of
	// the current instance, before requests are admitted because of it; fresh is set for the
	// first heartbeat of an incarnation.
	onWarmUp func(left time.Duration, fresh bool)
}

func newRegistry(changed func()) *registry {
	return &registry{
		departures:         map[string]time.Time{},
		formerIncarnations: map[string]bool{},
		onChange:           changed,
		onWarmUp:           func(time.Duration, bool) {},
		reprobe:            func(string) {},
		stopGrants:         func(string, time.Time) bool { return true },
		onReplaced:         func(string) {},
		leaderResponded:    func() bool { return true },
	}
}

// snapshot returns the current instance; its ID is empty if none is known.
func (r *registry) snapshot() fleetwire.Instance {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current
}

// admits reports whether an instance may get a request at a time.
func (r *registry) admits(instance string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.current.ID == "" || r.current.ID != instance || r.current.State == fleetwire.InstanceGone {
		return false
	}
	return isBefore(now, r.refusesFrom) && isBefore(now, r.sameIDRefusesFrom)
}

// isBefore reports whether a time is before another one, or that is zero.
func isBefore(now, limit time.Time) bool { return limit.IsZero() || now.Before(limit) }

// serves reports whether an instance is the current one and has not announced its departure.
func (r *registry) serves(instance string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current.ID != "" && r.current.ID == instance && r.reportedState != fleetwire.InstanceDraining
}

// heartbeat processes a heartbeat; drainWithin is how long a draining back end may still get
// requests. It reports whether this is the newest heartbeat of the current incarnation.
func (r *registry) heartbeat(registration Registration, drainWithin time.Duration, now time.Time) (newest bool) {
	former, accepted := r.accept(registration, drainWithin, now)
	if !accepted || former != "" && !r.stopGrants(former, now) {
		return false
	}
	left := former != "" && !r.serves(former)
	newest, changed := r.applyHeartbeat(registration, former, drainWithin, now)
	if newest && former != "" && !left {
		r.onReplaced(former)
	}
	if changed {
		r.onChange()
	}
	if newest && r.unreachable() {
		r.reprobe(registration.ID)
	}
	return newest
}

// applyHeartbeat applies an accepted heartbeat. Former is the incarnation that it replaces, if
// there is one.
func (r *registry) applyHeartbeat(registration Registration, former string, drainWithin time.Duration, now time.Time) (newest, changed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fresh := registration.ID != r.current.ID
	if fresh && former != r.current.ID || !fresh && registration.Sequence <= r.current.Sequence {
		return false, false // another heartbeat was applied in between
	}
	if fresh {
		r.startIncarnation(registration)
	}
	r.lastHeartbeatAt, r.unverified, r.otherAtAddress = now, false, false
	r.sameIDRefusesFrom = time.Time{}
	r.onWarmUp(registration.WarmUpLeft, fresh)
	r.missedIntervals = 0
	r.current.Sequence = registration.Sequence
	r.current.Slots = registration.Slots
	if registration.State == fleetwire.InstanceDraining {
		r.recordDeparture(registration.ID, now.Add(drainWithin))
	}
	before := r.current.State
	r.reportedState = fleetwire.InstanceReady
	if before != fleetwire.InstanceGone {
		r.current.State = fleetwire.InstanceReady
	}
	refusesFrom, departs := r.departures[registration.ID]
	switch {
	case departs:
		r.drainCurrent(refusesFrom)
	case r.leaving:
		r.drainCurrent(now.Add(drainWithin))
	}
	return true, before != r.current.State
}

// startIncarnation starts a new incarnation of the back end.
func (r *registry) startIncarnation(registration Registration) {
	if r.current.ID != "" {
		r.formerIncarnations[r.current.ID] = true
	}
	// A life under the same id may have responded before its heartbeat was accepted, and its
	// responses counted as the former one's. If it drains, its time counts from there.
	sameID := incarnation.IDOf(registration.ID) == incarnation.IDOf(r.current.ID)
	if !sameID || registration.State != fleetwire.InstanceDraining {
		r.refusesFrom = time.Time{}
	}
	r.leaving, r.candidate = false, candidate{}
	address, node, zone := r.current.Address, r.current.Node, r.current.Zone
	r.current = fleetwire.Instance{
		ID: registration.ID, Service: registration.Service, Node: node, Address: address, Zone: zone, Slots: registration.Slots, Cold: registration.WarmUpLeft > 0,
	}
}

// setCold records whether the back end is considered cold, and reports a change.
func (r *registry) setCold(cold bool) (changed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed = r.current.ID != "" && r.current.Cold != cold
	r.current.Cold = cold
	return changed
}

// markLeaving records that an instance has stated in a response that it is about to stop. Like after
// a heartbeat that says so, it may get requests for drainWithin longer. It reports whether this is
// new.
func (r *registry) markLeaving(instance string, drainWithin time.Duration, now time.Time) (first bool) {
	r.mutex.Lock()
	first = instance != "" && instance == r.current.ID && !r.leaving
	if first {
		r.leaving = true
		r.drainCurrent(now.Add(drainWithin))
	}
	r.mutex.Unlock()
	if first {
		r.onChange()
	}
	return first
}

// markDisplaced records that another back end has responded at an instance's address.
func (r *registry) markDisplaced(instance string) {
	r.mutex.Lock()
	r.otherAtAddress = r.otherAtAddress || instance == r.current.ID
	r.mutex.Unlock()
	r.markUnreachable(instance)
}

// markUnreachable records that an instance is unreachable. It gets no new requests until it is
// reached again.
func (r *registry) markUnreachable(instance string) {
	r.mutex.Lock()
	known := instance != "" && instance == r.current.ID && r.current.State != fleetwire.InstanceGone
	if known {
		r.current.State = fleetwire.InstanceGone
	}
	r.mutex.Unlock()
	if known {
		r.onChange()
	}
}

// markReachable records that a process listens at an instance's address. An unreachable
// instance becomes reachable again, unless another incarnation has sent heartbeats or responded
// there. Its former keys may have been assigned to another owner.
func (r *registry) markReachable(instance string) {
	r.mutex.Lock()
	reachable := instance == r.current.ID && r.current.State == fleetwire.InstanceGone && r.reportedState != 0 && !r.candidate.waiting && !r.otherAtAddress
	if reachable {
		r.current.State, r.current.Released = r.reportedState, false
	}
	r.mutex.Unlock()
	if reachable {
		r.onChange()
	}
}

// unreachable reports whether the current instance is unreachable.
func (r *registry) unreachable() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current.State == fleetwire.InstanceGone
}

// markReleased records that an unreachable instance holds no keys any more. It reports a
// change.
func (r *registry) markReleased(instance string) (changed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed = instance == r.current.ID && r.current.State == fleetwire.InstanceGone && !r.current.Released
	r.current.Released = r.current.Released || changed
	return changed
}

// restore takes over the instance that the leader last knew, at the start of the process.
func (r *registry) restore(known fleetwire.Instance, drainWithin time.Duration, now time.Time) {
	r.mutex.Lock()
	fresh := r.current.ID == ""
	if fresh && known.State != fleetwire.InstanceGone {
		r.current.ID, r.current.Service = known.ID, known.Service
		r.current.Slots, r.current.State, r.current.Sequence = known.Slots, known.State, known.Sequence
		r.reportedState = known.State
		r.unverified, r.lastHeartbeatAt = true, now
		if known.State == fleetwire.InstanceDraining {
			r.recordDeparture(known.ID, now)
		}
		for instance := range r.departures {
			r.applyDeparture(instance)
		}
	}
	r.mutex.Unlock()
	if fresh {
		r.onChange()
	}
}

// verify records that the back end itself has responded under an id. The response may come from
// another incarnation with the same id, which gets the grants meant for the current one until
// its own heartbeat is accepted.
func (r *registry) verify(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if id == incarnation.IDOf(r.current.ID) {
		r.unverified = false
	}
}

// verified reports whether the back end itself has confirmed that it is the current instance.
func (r *registry) verified() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.unverified
}

// markStopping records that the gateway itself is being stopped.
func (r *registry) markStopping() {
	r.mutex.Lock()
	r.current.Leaving = true
	r.mutex.Unlock()
	r.onChange()
}
