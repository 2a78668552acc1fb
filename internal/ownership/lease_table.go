package ownership

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// DefaultLeaseDuration and DefaultRenewInterval are used where the settings
// say nothing. Three renewals may be lost before a lease ends.
const (
	DefaultLeaseDuration = 500 * time.Millisecond
	DefaultRenewInterval = 125 * time.Millisecond
)

// LeaseTable is the grantor's record of leases. It lives as long as one term of
// leadership. It is not safe for concurrent use.
type LeaseTable struct {
	duration time.Duration
	// settled is when every lease of earlier leaders has ended.
	settled time.Duration
	leases  map[topology.BackendID]lease
}

// lease is the last grant to a back end.
type lease struct {
	boot     uint64
	expires  time.Duration
	released bool
}

// NewLeaseTable returns the table of a leader that was elected at now and
// grants leases of the given duration. Leases of its predecessors, of at most
// the same duration, count as valid until now+duration.
func NewLeaseTable(duration, now time.Duration) *LeaseTable {
	return &LeaseTable{
		duration: duration,
		settled:  now + duration,
		leases:   make(map[topology.BackendID]lease),
	}
}

// SetSettled sets by when all leases of earlier leaders have ended, where that is
// known better than from the election and this leader's own duration.
func (t *LeaseTable) SetSettled(at time.Duration) { t.settled = at }

// Duration returns for how long leases are granted.
func (t *LeaseTable) Duration() time.Duration { return t.duration }

// Renew grants a lease from now to the process with the given boot number and
// returns its duration. It returns zero while another process, of another boot,
// holds the back end's lease.
func (t *LeaseTable) Renew(backend topology.BackendID, boot uint64, now time.Duration) time.Duration {
	held, known := t.leases[backend]
	heldByOther := known && held.boot != boot && !held.released && now < held.expires
	if heldByOther {
		return 0
	}
	t.leases[backend] = lease{boot: boot, expires: now + t.duration}
	return t.duration
}

// Release ends a lease at once: its holder promised to serve nothing any more.
// A release by a boot that does not hold the lease has no effect.
func (t *LeaseTable) Release(backend topology.BackendID, boot uint64, now time.Duration) {
	held, known := t.leases[backend]
	if known && held.boot != boot {
		return
	}
	t.leases[backend] = lease{boot: boot, expires: now, released: true}
}

// Known reports whether this leader has granted the back end a lease or taken
// its release.
func (t *LeaseTable) Known(backend topology.BackendID) bool {
	_, known := t.leases[backend]
	return known
}

// Live reports whether the back end holds a lease that this leader granted.
func (t *LeaseTable) Live(backend topology.BackendID, now time.Duration) bool {
	held, known := t.leases[backend]
	return known && !held.released && now < held.expires
}

// Lapsed reports whether it is certain that the back end holds no lease, of
// this leader or an earlier one.
func (t *LeaseTable) Lapsed(backend topology.BackendID, now time.Duration) bool {
	held, known := t.leases[backend]
	if !known {
		return now >= t.settled
	}
	return held.released || now >= held.expires
}

// Expired returns the back ends with a lease of this leader that has ended, in
// order of their identity.
func (t *LeaseTable) Expired(now time.Duration) []topology.BackendID {
	var expired []topology.BackendID
	for backend := range t.leases {
		if t.Lapsed(backend, now) {
			expired = append(expired, backend)
		}
	}
	slices.Sort(expired)
	return expired
}

// Settled returns when all leases of earlier leaders have ended.
func (t *LeaseTable) Settled() time.Duration { return t.settled }
