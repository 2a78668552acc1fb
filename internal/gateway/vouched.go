package gateway

import (
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// vouched is for how long a gateway may serve by what it knows: the leader's word, which
// the gateway's own clock ends whoever stands still (internal/configlease).
type vouched struct{ present atomic.Pointer[word] }

// word of the leader.
type word struct {
	// since is the moment until which the gateway has been told everything.
	since time.Time
	// until is when it must no longer serve by its configuration.
	until time.Time
}

// take notes an answer to a report. Epoch is the zero of the clock that reports carry.
// The caller has put in force all that came with the answer or before it.
func (v *vouched) take(lease *fleetwire.Lease, epoch time.Time) {
	since := epoch.Add(lease.SentAt)
	if known := v.present.Load(); known != nil && !since.After(known.since) {
		return
	}
	duration := time.Duration(float64(lease.ConfigurationFor) * (1 - clockDrift))
	v.present.Store(&word{since: since, until: since.Add(duration)})
}

// holds reports whether the gateway may serve by its configuration. A request that arrived
// before now was sent before, so that it does not matter how long it is looked at.
func (v *vouched) holds(now time.Time) bool {
	known := v.present.Load()
	return known != nil && now.Before(known.until)
}

// since is until when the gateway has been told everything; zero where it has not been
// told anything.
func (v *vouched) since() time.Time {
	if known := v.present.Load(); known != nil {
		return known.since
	}
	return time.Time{}
}

// left is for how long the gateway may still serve by its configuration.
func (v *vouched) left(now time.Time) time.Duration {
	if known := v.present.Load(); known != nil {
		return known.until.Sub(now)
	}
	return 0
}
