package ownership

import (
	"iter"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// DefaultClockDrift bounds how much faster the grantor's clock may run than
// the holder's, as a share. Oscillators of servers drift by 0.0001 or less; the
// rest is for clocks that are being slewed.
const DefaultClockDrift = 0.02

// Holder is an agent's side of its lease and grants. One goroutine calls
// Granted, Release and SetShards; any goroutine may ask.
type Holder struct {
	drift float64
	// validUntil is a reading of the holder's monotonic clock in nanoseconds;
	// zero is no lease.
	validUntil atomic.Int64
	grants     atomic.Pointer[map[topology.ShardID]grant]
}

// grant is what the routing data say of a shard that the holder owns.
type grant struct {
	epoch     topology.Epoch
	releasing bool
}

// NewHolder returns a holder without lease or grants. Drift is the bound of
// clock drift as a share, zero or more and less than one.
func NewHolder(drift float64) *Holder {
	holder := &Holder{drift: drift}
	holder.grants.Store(&map[topology.ShardID]grant{})
	return holder
}

// Granted records the answer to a renewal that was sent at sentAt by the
// holder's monotonic clock. An answer that came late never shortens a lease.
func (h *Holder) Granted(sentAt, granted time.Duration) {
	if granted <= 0 {
		return
	}
	usable := time.Duration(float64(granted) * (1 - h.drift))
	until := int64(sentAt + usable)
	if until > h.validUntil.Load() {
		h.validUntil.Store(until)
	}
}

// Release gives the lease up. Answers to renewals sent before must not be
// recorded afterwards.
func (h *Holder) Release() { h.validUntil.Store(0) }

// Valid reports whether the lease is valid at now.
func (h *Holder) Valid(now time.Duration) bool { return now < h.ValidUntil() }

// ValidUntil returns the end of the lease by the holder's monotonic clock; zero
// is no lease.
func (h *Holder) ValidUntil() time.Duration { return time.Duration(h.validUntil.Load()) }

// SetShards takes what self owns from the routing data of one revision.
// Revisions must not go back.
func (h *Holder) SetShards(shards iter.Seq[topology.Shard], self topology.BackendID) {
	grants := make(map[topology.ShardID]grant)
	for shard := range shards {
		if shard.Owner != self || self == 0 {
			continue
		}
		grants[shard.ID] = grant{
			epoch:     shard.Epoch,
			releasing: shard.Phase == topology.ShardReleasing,
		}
	}
	h.grants.Store(&grants)
}

// Admits reports whether new work for the shard may start: nil, or ErrNoLease,
// ErrNotOwner, ErrReleasing or a *WrongEpochError.
func (h *Holder) Admits(shard topology.ShardID, epoch topology.Epoch, now time.Duration) error {
	held, err := h.check(shard, epoch, now)
	if err != nil {
		return err
	}
	if held.releasing {
		return ErrReleasing
	}
	return nil
}

// Owns reports whether work that was admitted for the shard at epoch may still
// be answered as done: nil, or ErrNoLease, ErrNotOwner or a *WrongEpochError.
func (h *Holder) Owns(shard topology.ShardID, epoch topology.Epoch, now time.Duration) error {
	_, err := h.check(shard, epoch, now)
	return err
}

func (h *Holder) check(shard topology.ShardID, epoch topology.Epoch, now time.Duration) (grant, error) {
	if !h.Valid(now) {
		return grant{}, ErrNoLease
	}
	held, owned := (*h.grants.Load())[shard]
	if !owned {
		return grant{}, ErrNotOwner
	}
	if held.epoch != epoch {
		return grant{}, &WrongEpochError{Shard: shard, Asked: epoch, Held: held.epoch}
	}
	return held, nil
}
