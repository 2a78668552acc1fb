package gateway

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

// The process of a back end refused connections, and its gateway took that for its end: it
// told the leader that nothing is held, and the leader gave the keys to another back end at
// once, while the process lived and held them for what was left of five seconds. Processes
// that stop as planned close their listener first, and serve on over the connections that they
// have. A fleet of real processes in which listeners closed for 0.3 s had 5,815 lines of
// "i-1 and i-2 both hold keys". Beside it, a grant that left its gateway a second after its
// time was worked out outlasted the lease that covered it by 0.9 s, and the heartbeat of a next
// life at the address ended what the one before still held.
func TestKeysHaveANextOwnerOnlyOnceTheFormerOneHoldsNone(t *testing.T) {
	byCall, byHeartbeat := routeconfig.GrantByCall, routeconfig.GrantByHeartbeat
	for name, test := range map[string]struct {
		grants routeconfig.GrantMode
		// event happens once the back end holds keys; the rig then runs on for a while.
		event func(*ownersRig)
		// within is the time in which its keys find another owner; zero is that they
		// stay where they are.
		within time.Duration
	}{
		"it refuses connections, keys by call": {byCall, func(r *ownersRig) {
			r.refuses(true)
			r.silent = true
		}, DefaultKeyHold + 400*time.Millisecond},
		"it refuses connections, keys by heartbeat": {byHeartbeat, func(r *ownersRig) {
			r.refuses(true)
			r.silent = true
		}, 3 * time.Second},
		"it refuses connections and goes on saying that it is ready": {byHeartbeat, func(r *ownersRig) { r.refuses(true) }, 3 * time.Second},
		"it refuses connections for a moment, keys by call": {byCall, func(r *ownersRig) {
			r.refuses(true)
			r.run(300 * time.Millisecond)
			r.refuses(false)
		}, 0},
		"it is heard again after all was taken for over, keys by call": {byCall, func(r *ownersRig) {
			r.refuses(true)
			r.silent = true
			r.runUntilMoved()
			r.refuses(false)
			r.silent = false
		}, ownersStep},
		"it is heard again after all was taken for over, keys by heartbeat": {byHeartbeat, func(r *ownersRig) {
			r.refuses(true)
			r.silent = true
			r.runUntilMoved()
			r.refuses(false)
			r.silent = false
		}, ownersStep},
		"a next life is at its address, keys by call":      {byCall, func(r *ownersRig) { r.nextLife() }, 4 * time.Second},
		"a next life is at its address, keys by heartbeat": {byHeartbeat, func(r *ownersRig) { r.nextLife() }, 4 * time.Second},
		"a next life after its listener was closed": {byCall, func(r *ownersRig) {
			r.refuses(true)
			r.run(300 * time.Millisecond)
			r.nextLife()
		}, 4 * time.Second},
		"its gateway is cut off and stands still as it grants": {byCall, func(r *ownersRig) {
			r.cutOff = true
			r.holder.setStall(time.Second)
		}, 9 * time.Second},
		"its gateway stood still as it granted, and it then leaves without answering": {byCall, func(r *ownersRig) {
			r.holder.setStall(2 * time.Second)
			r.run(3 * time.Second)
			r.holder.setStall(0)
			r.holder.setMute(true)
			r.drains = true
		}, 12 * time.Second},
		"it leaves, and another back end at its address answers in its place": {byCall, func(r *ownersRig) {
			r.holder.set(func() { r.holder.next, r.holder.nextID = &heldProcess{}, "i-9" })
			r.drains = true
			r.sendBeat()
			r.silent = true
		}, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rig := newOwnersRig(t, test.grants)
				rig.run(6 * time.Second)
				assert.Assert(t, rig.ownedBy("i-1") > 0)
				assert.Assert(t, rig.holder.former.holdsAt(steady.Reading()))
				test.event(rig)
				rig.run(test.within)
				assert.Equal(t, rig.moved, test.within > 0, "whether its keys have another owner after %v", test.within)
				rig.run(12 * time.Second)
				assert.Assert(t, rig.moved == (test.within > 0))
			})
		})
	}
}

// heldProcess is one process of a back end that counts for how long it holds keys, on a clock
// that runs as slowly as it may.
type heldProcess struct{ until time.Time }

func (p *heldProcess) hold(from time.Time, hold time.Duration) {
	p.until = from.Add(time.Duration(float64(hold) * 1.02))
}

func (p *heldProcess) holdsAt(now time.Time) bool { return now.Before(p.until) }

// addressHolder is what answers at the back end's address.
type addressHolder struct {
	fakeHolder
	// former is the process that is followed, and next one that has taken its place at the
	// address; nil is none.
	former, next *heldProcess
	// nextID is the id under which the next one refuses what is meant for others; empty
	// has the former one's, and takes all.
	nextID  string
	refused bool
	mute    bool
	stall   time.Duration
}

func (h *addressHolder) set(change func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	change()
}

func (h *addressHolder) setStall(stall time.Duration) { h.set(func() { h.stall = stall }) }

func (h *addressHolder) setMute(mute bool) { h.set(func() { h.mute = mute }) }

// answers returns the process at the address, and why there is no answer.
func (h *addressHolder) answers() (*heldProcess, error) {
	switch {
	case h.next != nil && h.nextID != "":
		return nil, ErrOtherInstance
	case h.next != nil:
		return h.next, nil
	case h.refused:
		return nil, fmt.Errorf("%w: %w", ErrNotSent, syscall.ECONNREFUSED)
	case h.mute:
		return nil, errNoAnswer
	}
	return h.former, nil
}

// Grant takes an order that the gateway sent late: its process stood still on the way.
func (h *addressHolder) Grant(_ context.Context, order GrantOrder) error {
	h.mutex.Lock()
	stall := h.stall
	h.mutex.Unlock()
	time.Sleep(stall)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	process, err := h.answers()
	if err == nil {
		process.hold(steady.Reading(), order.Hold)
	}
	return err
}

func (h *addressHolder) Release(context.Context, ReleaseOrder) (string, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	process, err := h.answers()
	if err == nil {
		process.until = time.Time{}
	}
	return "", err
}

// ownersRig is the key keeper of one gateway with the leader's planner, and another gateway
// whose back end is always well.
type ownersRig struct {
	*keyRig
	t      *testing.T
	holder *addressHolder
	// listener is that of the back end's address; closed where it refuses connections.
	listener net.Listener
	state    *fleetstate.State
	planner  *keylease.Planner
	index    uint64
	steps    int
	// silent back ends send no heartbeats; cutOff gateways reach no leader.
	silent, cutOff, drains bool
	// heartbeats of the next life are sent in place of the former one's.
	life     string
	sequence uint64
	// owned says that the back end has had its keys, and moved that another one has become
	// their owner since.
	owned, moved bool
}

func newOwnersRig(t *testing.T, grants routeconfig.GrantMode) *ownersRig {
	r := &ownersRig{keyRig: newKeyRig(t), t: t, state: fleetstate.New(), life: "i-1", sequence: 1}
	r.holder = &addressHolder{former: &heldProcess{}}
	r.g.config.Keys = r.holder
	r.g.config.BackendAddress = freeAddress(t)
	r.listens()
	r.g.registry.interval = beatInterval
	r.g.registry.yields, r.g.registry.lookAgain = r.g.keys.yield, r.g.probe
	r.g.registry.current.Node = "node-1"
	r.setGrants(grants, 1)
	document := &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s", Keyed: true, Grants: grants}}}
	r.apply(&fleetstate.Command{Configuration: &fleetstate.ChangeConfiguration{Document: document}})
	r.planner = keylease.New(keylease.Config{}, r.state, 0, r.now())
	return r
}

func (r *ownersRig) apply(command *fleetstate.Command) {
	data, err := command.Encode()
	assert.NilError(r.t, err)
	r.index++
	r.state.Apply(r.index, data)
}

// now is the leader's clock.
func (r *ownersRig) now() time.Duration { return steady.Elapsed(r.epoch) + time.Second }

func (r *ownersRig) ownedBy(id string) int { return len(r.state.Owners("s").OwnedBy(id)) }

const (
	ownersStep = 20 * time.Millisecond
	// reportSteps and beatSteps are between two reports and two heartbeats.
	reportSteps = 10
	beatSteps   = 40
)

// run lets time pass, and checks at each step that the former process holds nothing once
// another back end owns its keys.
func (r *ownersRig) run(duration time.Duration) {
	for end := steady.Reading().Add(duration); steady.Reading().Before(end); {
		r.step()
	}
}

// runUntilMoved runs until another back end owns the keys.
func (r *ownersRig) runUntilMoved() {
	for range 1000 {
		if r.moved {
			return
		}
		r.step()
	}
	r.t.Fatal("the keys have no other owner")
}

func (r *ownersRig) step() {
	time.Sleep(ownersStep)
	synctest.Wait()
	r.steps++
	if r.steps%beatSteps == 0 && !r.silent {
		r.sendBeat()
	}
	if r.steps%reportSteps == 0 {
		r.exchange()
	}
	if batch := r.planner.Tick(r.now()); batch != nil {
		r.apply(&fleetstate.Command{Ownership: batch})
		r.planner.BatchDone()
	}
	owned := r.ownedBy("i-1") > 0
	r.owned = r.owned || owned
	r.moved = r.moved || r.owned && !owned
	if owned {
		return
	}
	r.holder.mutex.Lock()
	defer r.holder.mutex.Unlock()
	now := steady.Reading()
	assert.Assert(r.t, !r.holder.former.holdsAt(now), "another back end owns the keys, and the former one holds them for another %v", r.holder.former.until.Sub(now))
}

// sendBeat sends a heartbeat and takes the keys of its answer where they come so.
func (r *ownersRig) sendBeat() {
	r.sequence++
	state := fleetwire.InstanceReady
	if r.drains {
		state = fleetwire.InstanceDraining
	}
	sent := steady.Reading()
	offer, err := r.g.Heartbeat(Registration{ID: r.life, Service: "s", Slots: 4, State: state, Sequence: r.sequence})
	assert.NilError(r.t, err)
	if offer == nil || r.life != "i-1" {
		return
	}
	r.holder.set(func() {
		r.holder.former.until = time.Time{}
		if len(offer.Held) > 0 {
			r.holder.former.hold(sent, offer.Hold)
		}
	})
}

// exchange sends the reports of both gateways to the leader.
func (r *ownersRig) exchange() {
	other := &fleetwire.Instance{ID: "i-2", Service: "s", Node: "node-2", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}
	r.planner.Report(&fleetwire.Report{Boot: 9, Instance: other}, r.now())
	if r.cutOff {
		return
	}
	report := r.g.session.build()
	report.SentAt = steady.Elapsed(r.epoch)
	r.g.keys.take(r.planner.Report(report, r.now()), r.epoch)
}

// refuses says whether nothing accepts connections at the address, and lets a request find
// it.
func (r *ownersRig) refuses(refused bool) {
	if !refused {
		r.listens()
		return
	}
	r.holder.set(func() { r.holder.refused = true })
	_ = r.listener.Close()
	r.g.suspect("i-1", syscall.ECONNREFUSED)
}

// listens opens the back end's address; connections wait unaccepted, which is enough for
// the gateway's probe.
func (r *ownersRig) listens() {
	listener, err := net.Listen("tcp", r.g.config.BackendAddress)
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = listener.Close() })
	r.listener = listener
	r.holder.set(func() { r.holder.refused = false })
}

// nextLife lets another process listen at the address and send heartbeats, while the former
// one serves on over the connections that it has.
func (r *ownersRig) nextLife() {
	r.holder.set(func() { r.holder.next = &heldProcess{} })
	r.silent = true
	r.run(2 * beatInterval)
	r.silent, r.life, r.sequence = false, followingLife, 0
}
