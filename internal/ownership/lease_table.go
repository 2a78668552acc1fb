package ownership

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// DefaultLeaseDuration and DefaultRenewInterval apply if the settings state
// nothing else. Three consecutive renewals may be lost before a lease ends.
const (
	DefaultLeaseDuration = 500 * time.Millisecond
	DefaultRenewInterval = 125 * time.Millisecond
)

// LeaseTable is the grantor's record of leases, for one term of leadership. It
// is not safe for concurrent use.
type LeaseTable struct {
	duration time.Duration
	// earlierLeasesEnd is when all leases granted by earlier leaders have
	// ended.
	earlierLeasesEnd time.Duration
	leases           map[topology.BackendID]lease
}

// lease is the last lease granted to a back end.
type lease struct {
	boot     uint64
	expires  time.Duration
	released bool
}

// NewLeaseTable returns the table of a leader that was elected at now and
// grants leases of the given duration. It assumes that earlier leaders granted
// leases of at most the same duration, so these count as valid until
// now+duration; see SetSettled.
func NewLeaseTable(duration, now time.Duration) *LeaseTable {
	return &LeaseTable{
		duration:         duration,
		earlierLeasesEnd: now + duration,
		leases:           make(map[topology.BackendID]lease),
	}
}

// SetSettled sets when all leases of earlier leaders have ended, if that is
// known more exactly than from the election and this leader's own duration.
func (t *LeaseTable) SetSettled(at time.Duration) { t.earlierLeasesEnd = at }

// Duration returns the duration of the leases that are granted.
func (t *LeaseTable) Duration() time.Duration { return t.duration }

// Renew grants a lease from now to the process with the given boot number and
// returns its duration. It returns zero while a process with another boot
// number holds the back end's lease.
func (t *LeaseTable) Renew(backend topology.BackendID, boot uint64, now time.Duration) time.Duration {
	held, known := t.leases[backend]
	heldByOther := known && held.boot != boot && !held.released && now < held.expires
	if heldByOther {
		return 0
	}
	t.leases[backend] = lease{boot: boot, expires: now + t.duration}
	return t.duration
}

// Release ends a lease at once, because its holder has promised to stop
// serving. It has no effect if the boot number is not that of the lease.
func (t *LeaseTable) Release(backend topology.BackendID, boot uint64, now time.Duration) {
	held, known := t.leases[backend]
	if known && held.boot != boot {
		return
	}
	t.leases[backend] = lease{boot: boot, expires: now, released: true}
}

// Known reports whether this leader has granted the back end a lease or
// recorded its release.
func (t *LeaseTable) Known(backend topology.BackendID) bool {
	_, known := t.leases[backend]
	return known
}

// Live reports whether the back end holds a lease that this leader granted.
func (t *LeaseTable) Live(backend topology.BackendID, now time.Duration) bool {
	held, known := t.leases[backend]
	return known && !held.released && now < held.expires
}

// Lapsed reports whether the back end certainly holds no lease, neither of this
// leader nor of an earlier one.
func (t *LeaseTable) Lapsed(backend topology.BackendID, now time.Duration) bool {
	held, known := t.leases[backend]
	if !known {
		return now >= t.earlierLeasesEnd
	}
	return held.released || now >= held.expires
}

// Expired returns the back ends whose lease of this leader has ended, in
// ascending order.
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
func (t *LeaseTable) Settled() time.Duration { return t.earlierLeasesEnd }
