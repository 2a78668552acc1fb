package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// vouched is for how long a gateway may serve by what it knows: the leader's word, which
// the gateway's own clock ends whoever stands still (internal/configlease).
type vouched struct {
	taking  sync.Mutex
	present atomic.Pointer[word]
}

// word of the leader.
type word struct {
	// since is the moment until which the gateway has been told everything.
	since time.Time
	// until is when it must no longer serve by its configuration.
	until time.Time
	// told is the moment until which controllers themselves have told it everything, and
	// passedOnFor for how long from then on another gateway may serve by that.
	told        time.Time
	passedOnFor time.Duration
	// leader says that a leader has ever given its word.
	leader bool
}

// take notes an answer of the leader to a report. Epoch is the zero of the clock that
// reports carry. The caller has put in force all that came with the answer or before it.
func (v *vouched) take(lease *fleetwire.Lease, epoch time.Time) {
	told := epoch.Add(lease.SentAt)
	v.extend(word{since: told, until: told.Add(shortened(lease.ConfigurationFor)), told: told, passedOnFor: lease.PassedOnFor, leader: true})
}

// takeMajority notes that a majority of the controllers had nothing newer than what is in
// force here since a moment, for a duration of their clocks.
func (v *vouched) takeMajority(since time.Time, duration time.Duration) {
	v.extend(word{since: since, until: since.Add(shortened(duration)), told: since, passedOnFor: duration})
}

// takePeer notes the word of another gateway that was asked at a moment. The caller has
// put in force all that came with it.
func (v *vouched) takePeer(passed *fleetwire.PeerWord, asked time.Time) {
	since := asked.Add(-lengthened(passed.Age))
	v.extend(word{since: since, until: since.Add(shortened(passed.For))})
}

// extend adds a word; what an earlier one allows for longer it still allows.
func (v *vouched) extend(added word) {
	v.taking.Lock()
	defer v.taking.Unlock()
	next := added
	if known := v.present.Load(); known != nil {
		next.since = later(known.since, added.since)
		next.until = later(known.until, added.until)
		next.leader = known.leader || added.leader
		if !added.told.After(known.told) {
			next.told, next.passedOnFor = known.told, known.passedOnFor
		}
	}
	v.present.Store(&next)
}

// shortened is a duration of another process's clock that has surely not passed here
// while it has not passed there; lengthened one that surely has.
func shortened(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 - clockDrift))
}

func lengthened(duration time.Duration) time.Duration {
	return time.Duration(float64(duration) * (1 + clockDrift))
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

// heardLeader reports whether the leader itself has given its word.
func (v *vouched) heardLeader() bool {
	known := v.present.Load()
	return known != nil && known.leader
}

// passOn is what another gateway may be told at now, nil where no controller has been
// heard, or for too long to be of use.
func (v *vouched) passOn(now time.Time) *fleetwire.PeerWord {
	known := v.present.Load()
	if known == nil || known.told.IsZero() || now.Sub(known.told) >= shortened(known.passedOnFor) {
		return nil
	}
	return &fleetwire.PeerWord{Age: now.Sub(known.told), For: known.passedOnFor}
}
