package ownership

import (
	"iter"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// DefaultClockDrift bounds how much faster the grantor's clock may run than the
// holder's, as a fraction. Server oscillators drift by 0.0001 or less; the rest
// allows for clocks that are being slewed.
const DefaultClockDrift = 0.02

// Holder is an agent's view of its lease and of the shards that it owns. One
// goroutine calls Granted, Release and SetShards; the other methods are safe
// for concurrent use.
type Holder struct {
	drift float64
	// validUntil is a reading of the holder's monotonic clock in nanoseconds.
	// Zero means that there is no lease.
	validUntil atomic.Int64
	grants     atomic.Pointer[map[topology.ShardID]grant]
}

// grant is the routing data of a shard that the holder owns.
type grant struct {
	epoch     topology.Epoch
	releasing bool
}

// NewHolder returns a holder without lease or shards. Drift is the bound of
// clock drift as a fraction, at least zero and less than one.
func NewHolder(drift float64) *Holder {
	holder := &Holder{drift: drift}
	holder.grants.Store(&map[topology.ShardID]grant{})
	return holder
}

// Granted records the answer to a renewal that was sent at sentAt by the
// holder's monotonic clock. A late answer never shortens the lease.
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

// Release gives the lease up. The caller must not record the answers to
// renewals sent before.
func (h *Holder) Release() { h.validUntil.Store(0) }

// Valid reports whether the lease is valid at now.
func (h *Holder) Valid(now time.Duration) bool { return now < h.ValidUntil() }

// ValidUntil returns the end of the lease by the holder's monotonic clock, or
// zero if there is no lease.
func (h *Holder) ValidUntil() time.Duration { return time.Duration(h.validUntil.Load()) }

// SetShards replaces the owned shards by those that self owns in the routing
// data of one revision. Revisions must not decrease.
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

// Admits checks whether a new request for the shard may start. It returns nil,
// ErrNoLease, ErrNotOwner, ErrReleasing or a *WrongEpochError.
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

// Owns checks whether the answer to a request that was admitted for the shard
// at epoch may still be released. It returns nil, ErrNoLease, ErrNotOwner or a
// *WrongEpochError.
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
