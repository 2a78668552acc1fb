package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// recordDeparture makes a gateway know that the controllers have recorded a departure.
func recordDeparture(g *Gateway, instance string) { g.departures.update([]string{instance}) }

// Without a leader a departure is not acknowledged, by whichever call it was announced. The back end
// gets no new requests all the same, and its other heartbeats are acknowledged.
func TestDepartureIsNotAcknowledgedWithoutALeader(t *testing.T) {
	t.Parallel()
	for name, announce := range map[string]func(*twoHops) error{
		"deregistration": func(h *twoHops) error { return h.far.Deregister(t.Context(), "i") },
		"heartbeat": func(h *twoHops) error {
			_, err := h.far.Heartbeat(t.Context(), h.registration(fleetwire.InstanceDraining, 2))
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			hops := startTwoHops(t, twoHopsConfig{timeout: time.Second, drain: time.Millisecond}, nil)
			_, err := hops.far.Heartbeat(t.Context(), hops.registration(fleetwire.InstanceReady, 1))
			assert.NilError(t, err)
			for range 2 {
				assert.ErrorIs(t, announce(hops), ErrNotRecorded)
			}
			assert.Assert(t, !hops.far.registry.admits("i", steady.Reading()))
			assert.DeepEqual(t, hops.far.session.buildReport().Departing, []string{"i"})
		})
	}
}

// A deregistration that waits for the controllers gets its refusal when the session ends, and not
// only after the wait.
func TestDepartureIsNotAcknowledgedOnceTheSessionHasEnded(t *testing.T) {
	t.Parallel()
	hops := startTwoHops(t, twoHopsConfig{timeout: time.Second}, nil)
	assert.NilError(t, hops.far.Stop())
	assert.ErrorIs(t, hops.far.Deregister(t.Context(), "i"), errSessionEnded)
}

// A gateway process that has just started takes no back end for ready whose departure its
// predecessor acknowledged, although its heartbeats say that it is, and a late one comes first.
func TestRestartedGatewayKnowsAcknowledgedDeparture(t *testing.T) {
	t.Parallel()
	s := startLeaderTest(t)
	former := s.startGateway("far", freeAddress(t), s.sessionAddress)
	assert.NilError(t, former.Deregister(t.Context(), "i-far"))
	s.proxy.pause() // the next process is told nothing until it resumes
	next := s.startGateway("far", freeAddress(t), s.proxy.listener.Address())
	ready := Registration{ID: "i-far", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 7}
	_, err := next.Heartbeat(t.Context(), ready)
	assert.NilError(t, err)
	s.proxy.resume()
	s.awaitReported(next)
	ready.Sequence++
	_, err = next.Heartbeat(t.Context(), ready)
	assert.NilError(t, err)
	assert.Equal(t, next.registry.snapshot().State, fleetwire.InstanceDraining)
	assert.Assert(t, !next.registry.admits("i-far", steady.Reading()))
	assert.NilError(t, next.Deregister(t.Context(), "i-far"), "it is acknowledged again at once")
}

// An announcement is final: later heartbeats that say ready change nothing.
func TestAnnouncedDepartureIsFinal(t *testing.T) {
	now := steady.Reading()
	r := newRegistry(func() {})
	r.heartbeat(registration("a", 1, fleetwire.InstanceReady), time.Second, now)
	r.heartbeat(registration("a", 2, fleetwire.InstanceDraining), time.Second, now)
	r.heartbeat(registration("a", 3, fleetwire.InstanceReady), time.Second, now.Add(time.Minute))
	assert.Equal(t, r.snapshot().State, fleetwire.InstanceDraining)
	assert.Assert(t, !r.admits("a", now.Add(time.Second)))
}

// A back end that has deregistered at a process that did not know it yet is draining once the leader
// names it, or once a heartbeat of it is accepted.
func TestDepartureAnnouncedBeforeTheBackEndIsKnown(t *testing.T) {
	now := steady.Reading()
	known := fleetwire.Instance{ID: "a", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 4}
	for name, learn := range map[string]func(*registry){
		"from the leader":  func(r *registry) { r.restore(known, time.Second, now) },
		"from a heartbeat": func(r *registry) { r.heartbeat(registration("a", 5, fleetwire.InstanceReady), time.Second, now) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(func() {})
			assert.Equal(t, r.deregister("a", time.Second, now), "a")
			learn(r)
			assert.Equal(t, r.snapshot().State, fleetwire.InstanceDraining)
			assert.Assert(t, r.admits("a", now) && !r.admits("a", now.Add(time.Second)), "its drain time counts from the announcement")
		})
	}
}

// A gateway that has just started knows of a back end only the life that the leader knew, and the next
// life under the same id announces its departure. The back end checks the id alone, so that requests
// for the one reach the other: they end with its drain time, unless the life that is known is heard.
func TestDepartureOfAnotherLifeUnderTheSameID(t *testing.T) {
	now := steady.Reading()
	late := now.Add(time.Second)
	ready := func(name string, sequence uint64) Registration {
		return registration(name, sequence, fleetwire.InstanceReady)
	}
	known := fleetwire.Instance{ID: "i@1", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 4}
	for name, announce := range map[string]func(*registry){
		"deregistration": func(r *registry) {
			r.restore(known, time.Second, now)
			r.deregister("i@2", time.Second, now)
		},
		"heartbeat": func(r *registry) {
			r.restore(known, time.Second, now)
			r.announceDeparture("i@2", time.Second, now)
		},
		"before the leader's word": func(r *registry) {
			r.deregister("i@2", time.Second, now)
			r.restore(known, time.Second, now)
		},
		"recorded before the start": func(r *registry) {
			r.restore(known, time.Second, now)
			r.restoreDepartures([]string{"i@2"}, now.Add(time.Second))
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(func() {})
			announce(r)
			assert.Assert(t, r.admits("i@1", now) && !r.admits("i@1", late))
			r.heartbeat(ready("i@1", 5), time.Second, late)
			assert.Assert(t, r.admits("i@1", late.Add(time.Hour)), "it was the other life that had ended")
		})
	}
	r := newRegistry(func() {})
	r.heartbeat(ready("i@1", 1), time.Second, now)
	r.heartbeat(ready("i@2", 1), time.Second, now.Add(time.Hour))
	r.deregister("i@1", time.Second, now.Add(time.Hour))
	assert.Equal(t, r.snapshot().ID, "i@2")
	assert.Assert(t, r.admits("i@2", now.Add(2*time.Hour)), "a life that is known to be over says nothing of the current one")
}
