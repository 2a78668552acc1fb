package controller

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// inForceRecheck is how often time alone is looked at while waiting: a silent
// subscriber stops counting without an event.
const inForceRecheck = 50 * time.Millisecond

// waitInForce waits until a revision is in force everywhere or the context
// ends, and tells how far it came.
func (c *Controller) waitInForce(ctx context.Context, revision topology.Revision) inforce.Progress {
	timer := time.NewTicker(inForceRecheck)
	defer timer.Stop()
	for {
		changed := c.subscribers.changed.wait()
		status := c.replica.Status()
		progress := c.subscribers.progress(revision, &status, c.now())
		if progress.Everywhere {
			return progress
		}
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return progress
		}
	}
}

// waitApplied returns once this controller has applied a revision.
func (c *Controller) waitApplied(ctx context.Context, revision topology.Revision) error {
	const poll = time.Millisecond
	timer := time.NewTicker(poll)
	defer timer.Stop()
	for c.view.Load().Newest() < revision {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
