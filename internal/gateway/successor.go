package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/incarnation"
)

// Selection of the current incarnation of a back end among those that send heartbeats.

const (
	// firstHeartbeats is the highest sequence number that identifies a new incarnation at once
	// if the current one is draining or unreachable.
	firstHeartbeats = 2
	// silentIntervals is the number of intervals without a heartbeat of the current
	// incarnation after which any heartbeat of another one is accepted.
	silentIntervals = 1.5
	// soleIntervals is the number of intervals for which only another incarnation must have
	// sent heartbeats: the current one would have sent one in that time if it were running.
	soleIntervals = 0.9
)

// candidate is an incarnation that has sent heartbeats while another one is the current one.
type candidate struct {
	id string
	// sequence and firstReceivedAt are those of its first heartbeat since the last one of the
	// current incarnation.
	sequence        uint64
	firstReceivedAt time.Time
	// waiting is set if its newest heartbeat, kept in registration and drainWithin, is to be
	// retried (registry.retryCandidate).
	waiting      bool
	registration Registration
	drainWithin  time.Duration
}

// isSuccessor reports whether a heartbeat of an incarnation other than the current one comes
// from its successor, and is not a delayed one of an earlier incarnation: a gateway that has
// restarted does not remember the earlier ones. Accepting a delayed heartbeat would end the
// current incarnation for good. The sender is the successor if the current incarnation has
// fallen silent; if this is one of the first heartbeats of an incarnation and the current one
// is draining or unreachable; or if the sender continues to send heartbeats and the current
// one does not. The back ends' clocks are not compared.
func (r *registry) isSuccessor(registration Registration, now time.Time) bool {
	intervals := func(count float64) time.Duration { return time.Duration(count * float64(r.heartbeatInterval)) }
	unreachable := r.current.State == fleetwire.InstanceGone
	draining := r.current.State == fleetwire.InstanceDraining && incarnation.IDOf(registration.ID) != incarnation.IDOf(r.current.ID)
	if now.Sub(r.lastHeartbeatAt) >= intervals(silentIntervals) || registration.Sequence <= firstHeartbeats && (unreachable || draining) {
		return true
	}
	if r.candidate.id != registration.ID || !r.lastHeartbeatAt.Before(r.candidate.firstReceivedAt) {
		r.candidate = candidate{id: registration.ID, sequence: registration.Sequence, firstReceivedAt: now}
		return false
	}
	return registration.Sequence > r.candidate.sequence && now.Sub(r.candidate.firstReceivedAt) >= intervals(soleIntervals)
}

// accept reports whether a heartbeat is accepted as one of the current incarnation or of its
// successor. Former is the incarnation that it replaces, if there is one. A wrong decision
// costs time only: the keys of the former incarnation become free only once its grants have
// expired.
func (r *registry) accept(registration Registration, drainWithin time.Duration, now time.Time) (former string, accepted bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	switch {
	case r.formerIncarnations[registration.ID]:
		return "", false
	case registration.ID == r.current.ID:
		if registration.Sequence <= r.current.Sequence {
			return "", false
		}
		r.candidate = candidate{}
		return "", true
	case r.current.ID == "" && registration.Sequence > firstHeartbeats && !r.leaderResponded():
		// It may be delayed, or come from another sender. If it were accepted, the leader
		// would reassign the keys of the incarnation that it knows.
		r.candidate = candidate{id: registration.ID, waiting: true, registration: registration, drainWithin: drainWithin}
		return "", false
	case r.current.ID == "":
		return "", true
	case !r.isSuccessor(registration, now):
		return "", false
	}
	r.candidate.waiting, r.candidate.registration, r.candidate.drainWithin = true, registration, drainWithin
	return r.current.ID, true
}

// hasWaitingCandidate reports whether an incarnation waits to replace the current one.
func (r *registry) hasWaitingCandidate() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.candidate.waiting
}

// retryCandidate retries a heartbeat that had to wait until the grants of the former
// incarnation expired, or until the leader has reported which incarnation it knew.
func (r *registry) retryCandidate(now time.Time) {
	r.mutex.Lock()
	candidate := r.candidate
	r.mutex.Unlock()
	if candidate.waiting {
		r.heartbeat(candidate.registration, candidate.drainWithin, now)
	}
}
