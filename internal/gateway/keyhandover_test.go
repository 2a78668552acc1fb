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

// Guards against two owners of one key. A back end's process refused connections, and its
// gateway concluded that the process had crashed: it reported to the leader that nothing was
// held, and the leader assigned the keys to another back end at once, while the process was
// running and held them for the rest of five seconds. Processes that stop as planned close
// their listener first and continue to serve their open connections. A fleet of real processes
// whose listeners closed for 0.3 s logged 5,815 lines of "i-1 and i-2 both hold keys". Two more
// causes: a grant that left its gateway a second after its duration was computed outlasted the
// lease that covered it by 0.9 s, and the heartbeat of a next incarnation at the address
// revoked the grants that the former one still held.
func TestKeysHaveANextOwnerOnlyOnceTheFormerOneHoldsNone(t *testing.T) {
	byCall, byHeartbeat := routeconfig.GrantByCall, routeconfig.GrantByHeartbeat
	for name, test := range map[string]struct {
		grants routeconfig.GrantMode
		// event happens once the back end holds keys; the rig then continues to run for a
		// while.
		event func(*handoverRig)
		// within is the time within which its keys get another owner; zero if they keep their
		// owner.
		within time.Duration
	}{
		"it refuses connections, keys by call": {byCall, func(r *handoverRig) {
			r.setRefusing(true)
			r.silent = true
		}, DefaultKeyHold + 400*time.Millisecond},
		"it refuses connections, keys by heartbeat": {byHeartbeat, func(r *handoverRig) {
			r.setRefusing(true)
			r.silent = true
		}, 3 * time.Second},
		"it refuses connections and its heartbeats still report that it is ready": {byHeartbeat, func(r *handoverRig) { r.setRefusing(true) }, 3 * time.Second},
		"it refuses connections for a moment, keys by call": {byCall, func(r *handoverRig) {
			r.setRefusing(true)
			r.run(300 * time.Millisecond)
			r.setRefusing(false)
		}, 0},
		"it sends heartbeats again after its keys were reassigned, keys by call": {byCall, func(r *handoverRig) {
			r.setRefusing(true)
			r.silent = true
			r.runUntilMoved()
			r.setRefusing(false)
			r.silent = false
		}, handoverStep},
		"it sends heartbeats again after its keys were reassigned, keys by heartbeat": {byHeartbeat, func(r *handoverRig) {
			r.setRefusing(true)
			r.silent = true
			r.runUntilMoved()
			r.setRefusing(false)
			r.silent = false
		}, handoverStep},
		"a next incarnation is at its address, keys by call":      {byCall, func(r *handoverRig) { r.startNextIncarnation() }, 4 * time.Second},
		"a next incarnation is at its address, keys by heartbeat": {byHeartbeat, func(r *handoverRig) { r.startNextIncarnation() }, 4 * time.Second},
		"a next incarnation after its listener was closed": {byCall, func(r *handoverRig) {
			r.setRefusing(true)
			r.run(300 * time.Millisecond)
			r.startNextIncarnation()
		}, 4 * time.Second},
		"its gateway is cut off and stalled while it sends a grant": {byCall, func(r *handoverRig) {
			r.cutOff = true
			r.holder.setStall(time.Second)
		}, 9 * time.Second},
		"its gateway was stalled while it sent a grant, and the back end then drains without responding": {byCall, func(r *handoverRig) {
			r.holder.setStall(2 * time.Second)
			r.run(3 * time.Second)
			r.holder.setStall(0)
			r.holder.setUnresponsive(true)
			r.draining = true
		}, 12 * time.Second},
		"it drains, and another back end at its address responds in its place": {byCall, func(r *handoverRig) {
			r.holder.set(func() { r.holder.next, r.holder.nextID = &backendProcess{}, "i-9" })
			r.draining = true
			r.sendHeartbeat()
			r.silent = true
		}, 9 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rig := newHandoverRig(t, test.grants)
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

// backendProcess is one process of a back end. It measures how long it holds keys on a clock
// that runs as slowly as allowed.
type backendProcess struct{ until time.Time }

func (p *backendProcess) hold(from time.Time, hold time.Duration) {
	p.until = from.Add(time.Duration(float64(hold) * 1.02))
}

func (p *backendProcess) holdsAt(now time.Time) bool { return now.Before(p.until) }

// addressBackend is what responds at the back end's address.
type addressBackend struct {
	fakeHolder
	// former is the observed process, and next the one that has replaced it at the address;
	// nil if there is none.
	former, next *backendProcess
	// nextID is the id of the next process if that refuses orders for other ids; if empty, it
	// has the former one's id and accepts all.
	nextID             string
	refusesConnections bool
	unresponsive       bool
	stall              time.Duration
}

func (h *addressBackend) set(change func()) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	change()
}

func (h *addressBackend) setStall(stall time.Duration) { h.set(func() { h.stall = stall }) }

func (h *addressBackend) setUnresponsive(mute bool) { h.set(func() { h.unresponsive = mute }) }

// responding returns the process at the address, or the error if there is no response.
func (h *addressBackend) responding() (*backendProcess, error) {
	switch {
	case h.next != nil && h.nextID != "":
		return nil, ErrOtherInstance
	case h.next != nil:
		return h.next, nil
	case h.refusesConnections:
		return nil, fmt.Errorf("%w: %w", ErrNotSent, syscall.ECONNREFUSED)
	case h.unresponsive:
		return nil, errInvalidResponse
	}
	return h.former, nil
}

// Grant applies an order after a delay: the gateway process was stalled before it sent the
// order.
func (h *addressBackend) Grant(_ context.Context, order GrantOrder) error {
	h.mutex.Lock()
	stall := h.stall
	h.mutex.Unlock()
	time.Sleep(stall)
	h.mutex.Lock()
	defer h.mutex.Unlock()
	process, err := h.responding()
	if err == nil {
		process.hold(steady.Reading(), order.Hold)
	}
	return err
}

func (h *addressBackend) Release(context.Context, ReleaseOrder) (string, error) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	process, err := h.responding()
	if err == nil {
		process.until = time.Time{}
	}
	return "", err
}

// handoverRig is the grant manager of one gateway with the leader's planner, and another
// gateway whose back end is always healthy.
type handoverRig struct {
	*grantRig
	t      *testing.T
	holder *addressBackend
	// listener listens on the back end's address; it is closed while the back end refuses
	// connections.
	listener net.Listener
	state    *fleetstate.State
	planner  *keylease.Planner
	index    uint64
	steps    int
	// A silent back end sends no heartbeats; a gateway that is cut off reaches no leader.
	silent, cutOff, draining bool
	// incarnation is the one that sends the heartbeats: the former or the next one.
	incarnation string
	sequence    uint64
	// owned is set once the back end has had its keys, and moved once another one has become
	// their owner since.
	owned, moved bool
}

func newHandoverRig(t *testing.T, grants routeconfig.GrantMode) *handoverRig {
	r := &handoverRig{grantRig: newGrantRig(t), t: t, state: fleetstate.New(), incarnation: "i-1", sequence: 1}
	r.holder = &addressBackend{former: &backendProcess{}}
	r.g.config.Keys = r.holder
	r.g.config.BackendAddress = freeAddress(t)
	r.listen()
	r.g.registry.heartbeatInterval = heartbeatInterval
	r.g.registry.stopGrants, r.g.registry.reprobe = r.g.keys.stopGrants, r.g.probeBackend
	r.g.registry.current.Node = "node-1"
	r.setGrants(grants, 1)
	document := &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s", Keyed: true, Grants: grants}}}
	r.apply(&fleetstate.Command{Configuration: &fleetstate.ChangeConfiguration{Document: document}})
	r.planner = keylease.New(keylease.Config{}, r.state, 0, r.now())
	return r
}

func (r *handoverRig) apply(command *fleetstate.Command) {
	data, err := command.Encode()
	assert.NilError(r.t, err)
	r.index++
	r.state.Apply(r.index, data)
}

// now is the time of the leader's clock.
func (r *handoverRig) now() time.Duration { return steady.Elapsed(r.epoch) + time.Second }

func (r *handoverRig) ownedBy(id string) int { return len(r.state.Owners("s").OwnedBy(id)) }

const (
	handoverStep = 20 * time.Millisecond
	// reportSteps and heartbeatSteps are the steps between two reports and between two
	// heartbeats.
	reportSteps    = 10
	heartbeatSteps = 40
)

// run lets time pass, and checks at each step that the former process holds nothing once
// another back end owns its keys.
func (r *handoverRig) run(duration time.Duration) {
	for end := steady.Reading().Add(duration); steady.Reading().Before(end); {
		r.step()
	}
}

// runUntilMoved runs until another back end owns the keys.
func (r *handoverRig) runUntilMoved() {
	for range 1000 {
		if r.moved {
			return
		}
		r.step()
	}
	r.t.Fatal("no other back end became the owner of the keys")
}

func (r *handoverRig) step() {
	time.Sleep(handoverStep)
	synctest.Wait()
	r.steps++
	if r.steps%heartbeatSteps == 0 && !r.silent {
		r.sendHeartbeat()
	}
	if r.steps%reportSteps == 0 {
		r.exchangeReports()
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
	assert.Assert(r.t, !r.holder.former.holdsAt(now), "another back end owns the keys, but the former one still holds them for %v", r.holder.former.until.Sub(now))
}

// sendHeartbeat sends a heartbeat and applies the keys of the response if they are granted by
// heartbeat.
func (r *handoverRig) sendHeartbeat() {
	r.sequence++
	state := fleetwire.InstanceReady
	if r.draining {
		state = fleetwire.InstanceDraining
		recordDeparture(r.g, r.incarnation)
	}
	sent := steady.Reading()
	offer, err := r.g.Heartbeat(context.Background(), Registration{ID: r.incarnation, Service: "s", Slots: 4, State: state, Sequence: r.sequence})
	assert.NilError(r.t, err)
	if offer == nil || r.incarnation != "i-1" {
		return
	}
	r.holder.set(func() {
		r.holder.former.until = time.Time{}
		if len(offer.Held) > 0 {
			r.holder.former.hold(sent, offer.Hold)
		}
	})
}

// exchangeReports sends the reports of both gateways to the leader and applies the lease that
// it returns.
func (r *handoverRig) exchangeReports() {
	other := &fleetwire.Instance{ID: "i-2", Service: "s", Node: "node-2", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}
	r.planner.Report(&fleetwire.Report{Boot: 9, Instance: other}, r.now())
	if r.cutOff {
		return
	}
	report := r.g.session.buildReport()
	report.SentAt = steady.Elapsed(r.epoch)
	r.g.keys.applyLease(r.planner.Report(report, r.now()), r.epoch)
}

// setRefusing sets whether connections at the address are refused; if so, the gateway finds
// that by a failed request.
func (r *handoverRig) setRefusing(refused bool) {
	if !refused {
		r.listen()
		return
	}
	r.holder.set(func() { r.holder.refusesConnections = true })
	_ = r.listener.Close()
	r.g.handleBackendError("i-1", syscall.ECONNREFUSED)
}

// listen opens the back end's address; connections are not accepted, which is enough for the
// gateway's probe.
func (r *handoverRig) listen() {
	listener, err := net.Listen("tcp", r.g.config.BackendAddress)
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = listener.Close() })
	r.listener = listener
	r.holder.set(func() { r.holder.refusesConnections = false })
}

// startNextIncarnation starts another process that listens at the address and sends
// heartbeats, while the former one continues to serve its open connections.
func (r *handoverRig) startNextIncarnation() {
	r.holder.set(func() { r.holder.next = &backendProcess{} })
	r.silent = true
	r.run(2 * heartbeatInterval)
	r.silent, r.incarnation, r.sequence = false, successorIncarnation, 0
}
