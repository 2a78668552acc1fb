package gateway

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/incarnation"
)

// Registration is what a back end says of itself.
type Registration struct {
	// ID is the name of its life (incarnation.Name).
	ID      string
	Service string
	Slots   int
	State   fleetwire.InstanceState
	// WarmupLeft is how much longer it is cold from its start.
	WarmupLeft time.Duration
	// Sequence grows with each heartbeat of a life, so that a late one is known.
	Sequence uint64
	// Held is what it holds or still works on, and Freed what it has let go since
	// its last acknowledged heartbeat, where it gets its keys by heartbeat.
	Held  []HeldRange
	Freed []FreedRange
}

// registry keeps what is known of the back end beside the gateway.
type registry struct {
	mutex   sync.Mutex
	current fleetwire.Instance
	// left is set once the back end has said that it leaves for good.
	left bool
	// refuseFrom is when a leaving back end gets nothing new any more.
	refuseFrom time.Time
	// ended has the lives that are over.
	ended map[string]bool
	// interval is the longest time between two heartbeats of a life, and heardAt when the
	// present one was heard last.
	interval time.Duration
	heardAt  time.Time
	// unproved says that the present instance is only the one that the leader knew when
	// this process started.
	unproved bool
	// rival is a life that was heard beside the present one and is not believed yet.
	rival rival
	// yields is called, without the mutex, before another life takes the place of a former
	// one. It reports whether the time of all that was granted to that one is over; where it
	// is not, nothing more is granted, and retry is called once it is.
	yields func(former string, now time.Time) bool
	// replaced is called, without the mutex, where another life took the place of one that had
	// not said that it leaves.
	replaced func(former string)
	// leaderAnswered reports whether the leader has answered this process, which then
	// knows the life that the leader knew; retry is called once it has.
	leaderAnswered func() bool
	// saidState is what the present instance has said of itself last.
	saidState fleetwire.InstanceState
	// otherThere says that another back end has answered at the address since the present
	// instance was heard.
	otherThere bool
	// lookAgain is called, without the mutex, where an instance is heard that could not be
	// reached.
	lookAgain func(instance string)
	// unheard counts the intervals since the last word of the present instance.
	unheard int
	// changed is called after each change, without the mutex.
	changed func()
	// told is called, with the mutex, for each word on how much longer the present
	// instance is cold, before requests are admitted by it; fresh says that it is the
	// first of its life.
	told func(left time.Duration, fresh bool)
}

func newRegistry(changed func()) *registry {
	return &registry{
		ended:          map[string]bool{},
		changed:        changed,
		told:           func(time.Duration, bool) {},
		lookAgain:      func(string) {},
		yields:         func(string, time.Time) bool { return true },
		replaced:       func(string) {},
		leaderAnswered: func() bool { return true },
	}
}

// snapshot returns the present instance; its ID is empty where none is known.
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
	return r.refuseFrom.IsZero() || now.Before(r.refuseFrom)
}

// serves reports whether an instance is the present one and has not said that it leaves.
func (r *registry) serves(instance string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current.ID != "" && r.current.ID == instance && !r.left && r.saidState != fleetwire.InstanceDraining
}

// heartbeat takes a back end's word, drainWithin being for how long a leaving
// one may still get requests. It reports whether this is the newest word of the
// life that is there.
func (r *registry) heartbeat(told Registration, drainWithin time.Duration, now time.Time) (newest bool) {
	former, believed := r.believe(told, drainWithin, now)
	if !believed || former != "" && !r.yields(former, now) {
		return false
	}
	left := former != "" && !r.serves(former)
	newest, changed := r.take(told, former, drainWithin, now)
	if newest && former != "" && !left {
		r.replaced(former)
	}
	if changed {
		r.changed()
	}
	if newest && r.unreachable() {
		r.lookAgain(told.ID)
	}
	return newest
}

// take puts a heartbeat that is believed in force. Former is the life whose place it takes,
// where there is one.
func (r *registry) take(told Registration, former string, drainWithin time.Duration, now time.Time) (newest, changed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fresh := told.ID != r.current.ID
	if fresh && former != r.current.ID || !fresh && told.Sequence <= r.current.Sequence {
		return false, false // another word came between
	}
	if fresh {
		r.begin(told)
	}
	r.heardAt, r.unproved, r.otherThere = now, false, false
	r.told(told.WarmupLeft, fresh)
	r.unheard = 0
	r.current.Sequence = told.Sequence
	r.current.Slots = told.Slots
	if r.left {
		return true, true
	}
	r.saidState = told.State
	if told.State == fleetwire.InstanceDraining && r.refuseFrom.IsZero() {
		r.refuseFrom = now.Add(drainWithin)
	}
	before := r.current.State
	if before != fleetwire.InstanceGone {
		r.current.State = told.State
	}
	return true, before != r.current.State
}

// begin starts a new life of the back end.
func (r *registry) begin(told Registration) {
	if r.current.ID != "" {
		r.ended[r.current.ID] = true
	}
	r.left, r.rival = false, rival{}
	r.refuseFrom = time.Time{}
	address, node, zone := r.current.Address, r.current.Node, r.current.Zone
	r.current = fleetwire.Instance{
		ID: told.ID, Service: told.Service, Node: node, Address: address, Zone: zone, Slots: told.Slots, Cold: told.WarmupLeft > 0,
	}
}

// setCold follows whether the back end is taken for cold, and reports a change.
func (r *registry) setCold(cold bool) (changed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed = r.current.ID != "" && r.current.Cold != cold
	r.current.Cold = cold
	return changed
}

// deregister takes a back end's word that it leaves for good. One that does not tell its
// start means the present life under its id.
func (r *registry) deregister(id string, drainWithin time.Duration, now time.Time) {
	r.mutex.Lock()
	known := id != "" && (id == r.current.ID || id == incarnation.IDOf(r.current.ID))
	if !known {
		r.ended[id] = true
	}
	if known && !r.left {
		r.left = true
		if r.current.State == fleetwire.InstanceReady {
			r.current.State = fleetwire.InstanceDraining
		}
		r.saidState = fleetwire.InstanceDraining
		if r.refuseFrom.IsZero() {
			r.refuseFrom = now.Add(drainWithin)
		}
	}
	r.mutex.Unlock()
	r.changed()
}

// displaced says that another back end is at an instance's address.
func (r *registry) displaced(instance string) {
	r.mutex.Lock()
	r.otherThere = r.otherThere || instance == r.current.ID
	r.mutex.Unlock()
	r.lost(instance)
}

// lost says that an instance can't be reached. It gets nothing new until it is reached.
func (r *registry) lost(instance string) {
	r.mutex.Lock()
	known := instance != "" && instance == r.current.ID && r.current.State != fleetwire.InstanceGone
	if known {
		r.current.State = fleetwire.InstanceGone
	}
	r.mutex.Unlock()
	if known {
		r.changed()
	}
}

// reached says that something listens at an instance's address. One that could not be
// reached before is taken for there again, unless another life is heard or has answered there;
// what it held may have another owner.
func (r *registry) reached(instance string) {
	r.mutex.Lock()
	again := instance == r.current.ID && r.current.State == fleetwire.InstanceGone && r.saidState != 0 && !r.rival.waits && !r.otherThere
	if again {
		r.current.State, r.current.Released = r.saidState, false
	}
	r.mutex.Unlock()
	if again {
		r.changed()
	}
}

// unreachable reports whether the present instance can't be reached.
func (r *registry) unreachable() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current.State == fleetwire.InstanceGone
}

// free says that an instance that can't be reached holds no keys any more. It reports a
// change.
func (r *registry) free(instance string) (changed bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	changed = instance == r.current.ID && r.current.State == fleetwire.InstanceGone && !r.current.Released
	r.current.Released = r.current.Released || changed
	return changed
}

// restore takes what the leader last knew, at the start of the process.
func (r *registry) restore(known fleetwire.Instance, drainWithin time.Duration, now time.Time) {
	r.mutex.Lock()
	fresh := r.current.ID == ""
	if fresh && known.State != fleetwire.InstanceGone {
		r.current.ID, r.current.Service = known.ID, known.Service
		r.current.Slots, r.current.State, r.current.Sequence = known.Slots, known.State, known.Sequence
		r.saidState = known.State
		r.unproved, r.heardAt = true, now
		if known.State == fleetwire.InstanceDraining {
			r.left = true
			r.refuseFrom = now
		}
	}
	r.mutex.Unlock()
	if fresh {
		r.changed()
	}
}

// prove takes the back end's own word that it has an id. It may be another life under it,
// which is granted what was meant for the present one until it is believed.
func (r *registry) prove(id string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if id == incarnation.IDOf(r.current.ID) {
		r.unproved = false
	}
}

// proved reports whether the back end itself has said that it is the present instance.
func (r *registry) proved() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return !r.unproved
}

// leaving marks that the gateway itself is being stopped.
func (r *registry) leaving() {
	r.mutex.Lock()
	r.current.Leaving = true
	r.mutex.Unlock()
	r.changed()
}
