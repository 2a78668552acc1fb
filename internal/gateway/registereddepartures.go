package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/incarnation"
)

// What the registry knows of departures: of the current incarnation, and of others at its address.

// recordDeparture notes that an incarnation has announced its departure. The time of its first
// announcement applies. The caller has the mutex.
func (r *registry) recordDeparture(instance string, refusesFrom time.Time) {
	if _, known := r.departures[instance]; !known {
		r.departures[instance] = refusesFrom
	}
}

// drainCurrent makes the current instance draining. The caller has the mutex.
func (r *registry) drainCurrent(refusesFrom time.Time) {
	r.reportedState = fleetwire.InstanceDraining
	if r.current.State == fleetwire.InstanceReady {
		r.current.State = fleetwire.InstanceDraining
	}
	if r.refusesFrom.IsZero() {
		r.refusesFrom = refusesFrom
	}
}

// deregister processes a deregistration. One without a start time means the current
// incarnation under its id. It returns the name of the incarnation that departs.
func (r *registry) deregister(id string, drainWithin time.Duration, now time.Time) (instance string) {
	r.mutex.Lock()
	instance = id
	if id == incarnation.IDOf(r.current.ID) {
		instance = r.current.ID
	}
	r.depart(instance, now.Add(drainWithin))
	if r.current.ID != "" && instance != r.current.ID {
		r.formerIncarnations[instance] = true
	}
	r.mutex.Unlock()
	r.onChange()
	return instance
}

// announceDeparture processes a heartbeat that reports a drain, whether or not it comes from the
// current incarnation.
func (r *registry) announceDeparture(instance string, drainWithin time.Duration, now time.Time) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.depart(instance, now.Add(drainWithin))
}

// restoreDepartures takes over the departures that the leader has recorded. Those that this process
// did not know were announced to an earlier one, whose drain time counts.
func (r *registry) restoreDepartures(instances []string, now time.Time) {
	r.mutex.Lock()
	before := r.current.State
	for _, instance := range instances {
		r.depart(instance, now)
	}
	changed := r.current.State != before
	r.mutex.Unlock()
	if changed {
		r.onChange()
	}
}

// depart records a departure and applies it to the current instance. The caller has the mutex.
func (r *registry) depart(instance string, refusesFrom time.Time) {
	r.recordDeparture(instance, refusesFrom)
	r.applyDeparture(instance)
}

// applyDeparture drains the current instance if it is the one that departs. If it has the same id, it
// is refused new requests until it is heard again. The caller has the mutex.
func (r *registry) applyDeparture(instance string) {
	refusesFrom := r.departures[instance]
	sameID := incarnation.IDOf(instance) == incarnation.IDOf(r.current.ID)
	switch {
	case instance == r.current.ID:
		r.drainCurrent(refusesFrom)
	case sameID && !r.formerIncarnations[instance] && r.sameIDRefusesFrom.IsZero():
		r.sameIDRefusesFrom = refusesFrom
	}
}
