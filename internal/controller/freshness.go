package controller

import (
	"context"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// maxLeaderContact is the age of the last confirmation beyond which the
	// controller is not ready.
	maxLeaderContact = wire.MaxRoutingStaleness
	// barrierTimeout limits one read barrier.
	barrierTimeout = time.Second
)

// freshness records until when this controller's state is confirmed as the
// newest.
type freshness struct {
	mutex   sync.Mutex
	state   inforce.Freshness
	changed broadcast
}

// confirm records that everything committed before time at is applied.
func (f *freshness) confirm(at time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.state.Confirm(at) {
		f.changed.signal()
	}
}

func (f *freshness) age(now time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.Age(now)
}

func (f *freshness) confirmedSince(at time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.state.ConfirmedSince(at)
}

// wait returns once a time later than after is confirmed.
func (f *freshness) wait(ctx context.Context, after time.Duration) error {
	for {
		changed := f.changed.wait()
		if f.confirmedSince(after) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// leaderContact returns the time since the state was last confirmed as the
// newest.
func (c *Controller) leaderContact() time.Duration { return c.freshness.age(c.replica.Now()) }

// confirmFreshness confirms at every BarrierInterval until the context is
// cancelled.
func (c *Controller) confirmFreshness(ctx context.Context) {
	timer := time.NewTicker(c.config.BarrierInterval)
	defer timer.Stop()
	for {
		c.confirmFreshnessOnce(ctx)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// confirmFreshnessOnce reports whether a quorum confirmed, after the call, that
// everything committed before the call is applied here.
func (c *Controller) confirmFreshnessOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	start := c.replica.Now()
	if c.barrier(ctx) != nil {
		return false
	}
	c.freshness.confirm(start)
	return true
}

// barrier returns once everything committed before the call is applied here.
func (c *Controller) barrier(ctx context.Context) error {
	if c.replica.ReadBarrier(ctx) == nil {
		return nil
	}
	revision, err := c.relay.barrier(ctx)
	if err != nil {
		return err
	}
	return c.waitApplied(ctx, revision)
}
