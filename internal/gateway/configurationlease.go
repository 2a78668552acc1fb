package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// configurationLease bounds how long a gateway may route by the configuration that it has. The
// leader grants it, a majority of the controllers or another gateway may extend it, and it
// expires by the gateway's own clock, even if every other process has stopped (see
// internal/configlease).
type configurationLease struct {
	updating sync.Mutex
	current  atomic.Pointer[leaseState]
}

// leaseState is an immutable snapshot of a configurationLease.
type leaseState struct {
	// currentAsOf is the latest time as of which the gateway is known to have received every
	// update.
	currentAsOf time.Time
	// expiresAt is when the gateway must stop routing by its configuration.
	expiresAt time.Time
	// controllerAsOf is like currentAsOf but counts only what controllers themselves have
	// confirmed. relayFor is how long from then on another gateway may route by it.
	controllerAsOf time.Time
	relayFor       time.Duration
	// fromLeader is set once a leader has granted the lease itself.
	fromLeader bool
}

// take extends the lease by the leader's response to a report. epoch is the zero of
// the clock that timestamps in reports refer to. The caller has already applied every update
// that came with the response or before it.
func (v *configurationLease) take(lease *fleetwire.Lease, epoch time.Time) {
	asOf := epoch.Add(lease.SentAt)
	v.extend(leaseState{currentAsOf: asOf, expiresAt: asOf.Add(shortenedByDrift(lease.ConfigurationFor)), controllerAsOf: asOf, relayFor: lease.PassedOnFor, fromLeader: true})
}

// extendByMajority extends the lease after a majority of the controllers reported that, as of
// a time, they had nothing newer than what is in force here. duration is measured by their
// clocks.
func (v *configurationLease) extendByMajority(asOf time.Time, duration time.Duration) {
	v.extend(leaseState{currentAsOf: asOf, expiresAt: asOf.Add(shortenedByDrift(duration)), controllerAsOf: asOf, relayFor: duration})
}

// extendByPeer extends the lease by the state that another gateway returned to a request sent
// at requestedAt. The caller has already applied that state.
func (v *configurationLease) extendByPeer(state *fleetwire.RelayedState, requestedAt time.Time) {
	asOf := requestedAt.Add(-lengthenedByDrift(state.Age))
	v.extend(leaseState{currentAsOf: asOf, expiresAt: asOf.Add(shortenedByDrift(state.For))})
}

// extend merges an extension into the lease. It never shortens the lease.
func (v *configurationLease) extend(extension leaseState) {
	v.updating.Lock()
	defer v.updating.Unlock()
	merged := extension
	if previous := v.current.Load(); previous != nil {
		merged.currentAsOf = latest(previous.currentAsOf, extension.currentAsOf)
		merged.expiresAt = latest(previous.expiresAt, extension.expiresAt)
		merged.fromLeader = previous.fromLeader || extension.fromLeader
		if !extension.controllerAsOf.After(previous.controllerAsOf) {
			merged.controllerAsOf, merged.relayFor = previous.controllerAsOf, previous.relayFor
		}
	}
	v.current.Store(&merged)
}

// shortenedByDrift converts a duration of another process's clock to one that has certainly
// not passed here before it passes there, whatever the drift between the clocks.
// lengthenedByDrift converts it to one that certainly has.
func shortenedByDrift(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 - clockDrift))
}

func lengthenedByDrift(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 + clockDrift))
}

// valid reports whether the gateway may route by its configuration. A request that arrived
// before now was sent before now, so the time spent on handling it does not matter.
func (v *configurationLease) valid(now time.Time) bool {
	state := v.current.Load()
	return state != nil && now.Before(state.expiresAt)
}

// currentAsOf returns the latest time as of which the gateway is known to have received every
// update; zero if there is none.
func (v *configurationLease) currentAsOf() time.Time {
	if state := v.current.Load(); state != nil {
		return state.currentAsOf
	}
	return time.Time{}
}

// remaining returns how long the gateway may still route by its configuration.
func (v *configurationLease) remaining(now time.Time) time.Duration {
	if state := v.current.Load(); state != nil {
		return state.expiresAt.Sub(now)
	}
	return 0
}

// grantedByLeader reports whether the leader itself has granted the lease.
func (v *configurationLease) grantedByLeader() bool {
	state := v.current.Load()
	return state != nil && state.fromLeader
}

// relay returns what another gateway may be given now. It is nil if no controller has
// confirmed anything yet, or if the confirmation is too old to be useful.
func (v *configurationLease) relay(now time.Time) *fleetwire.RelayedState {
	state := v.current.Load()
	if state == nil || state.controllerAsOf.IsZero() || now.Sub(state.controllerAsOf) >= shortenedByDrift(state.relayFor) {
		return nil
	}
	return &fleetwire.RelayedState{Age: now.Sub(state.controllerAsOf), For: state.relayFor}
}
