package controller

import (
	"context"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	wireStopRelying = wire.StopRelyingAfter
	// barrierTimeout bounds one confirmation.
	barrierTimeout = time.Second
)

// freshness guards what is known of the age of this controller's state.
type freshness struct {
	mutex   sync.Mutex
	proof   inforce.Freshness
	changed broadcast
}

// confirm records that all committed before the time at is applied.
func (f *freshness) confirm(at time.Duration) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.proof.Confirm(at) {
		f.changed.signal()
	}
}

func (f *freshness) age(now time.Duration) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.proof.Age(now)
}

func (f *freshness) confirmedSince(at time.Duration) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.proof.ConfirmedSince(at)
}

// wait returns once a moment after the time given is confirmed.
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

// leaderContact returns how long ago this controller was last known to have the
// newest state.
func (c *Controller) leaderContact() time.Duration { return c.freshness.age(c.replica.Now()) }

// confirmFreshness confirms again and again until the context ends.
func (c *Controller) confirmFreshness(ctx context.Context) {
	timer := time.NewTicker(c.config.BarrierInterval)
	defer timer.Stop()
	for {
		c.confirmOnce(ctx)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// confirmOnce reports whether a quorum confirmed, after the call, that all that
// was committed before it is applied here.
func (c *Controller) confirmOnce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	asked := c.replica.Now()
	if c.barrier(ctx) != nil {
		return false
	}
	c.freshness.confirm(asked)
	return true
}

// barrier returns once all that was committed before the call is applied here.
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
