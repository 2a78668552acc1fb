package backend

import (
	"fmt"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// fence keeps the grants that the agent gave and the highest epoch seen of
// each shard.
type fence struct {
	clock      clock
	mutex      sync.Mutex
	validUntil time.Time
	sequence   uint64
	granted    map[string]topology.Epoch
	highest    map[string]topology.Epoch
}

func newFence() *fence {
	return &fence{
		clock:   newClock(),
		granted: make(map[string]topology.Epoch),
		highest: make(map[string]topology.Epoch),
	}
}

// lowerEpochError says that a grant carries a lower epoch than one seen.
type lowerEpochError struct {
	Shard   string         `json:"shard"`
	Epoch   topology.Epoch `json:"epoch"`
	Highest topology.Epoch `json:"highest"`
}

func (e *lowerEpochError) Error() string {
	return fmt.Sprintf("shard %s: epoch %d is lower than %d", e.Shard, e.Epoch, e.Highest)
}

// apply takes a whole message or, where one epoch is too low, nothing of it.
func (f *fence) apply(message grantsMessage, received time.Time) error {
	validUntil, err := f.clock.validUntil(message, received)
	if err != nil {
		return err
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if message.Sequence != 0 && message.Sequence <= f.sequence {
		return errOvertaken
	}
	for _, grant := range message.Grants {
		if highest := f.highest[grant.Shard]; grant.Epoch < highest {
			return &lowerEpochError{Shard: grant.Shard, Epoch: grant.Epoch, Highest: highest}
		}
	}
	f.sequence = max(f.sequence, message.Sequence)
	if message.Replace {
		clear(f.granted)
	}
	for _, shard := range message.Revoked {
		delete(f.granted, shard)
	}
	for _, grant := range message.Grants {
		f.granted[grant.Shard] = grant.Epoch
		f.highest[grant.Shard] = grant.Epoch
	}
	f.validUntil = validUntil
	return nil
}

// read returns the clock's reading and the highest sequence taken.
func (f *fence) read(now time.Time) clockReading {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	reading := f.clock.read(now)
	reading.Sequence = f.sequence
	return reading
}

// check returns the reason why a request may not act at an instant, or "".
func (f *fence) check(shard string, epoch topology.Epoch, now time.Time) string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if epoch > f.highest[shard] {
		f.highest[shard] = epoch
	}
	granted, found := f.granted[shard]
	switch {
	case !found:
		return "shard not granted"
	case epoch < f.highest[shard]:
		return "epoch lower than the highest seen"
	case epoch != granted:
		return "epoch not granted"
	case !now.Before(f.validUntil):
		return "lease over"
	}
	return ""
}

// grantCount returns how many shards are granted.
func (f *fence) grantCount() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.granted)
}
