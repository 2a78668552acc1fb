package controller

import (
	"context"
	"time"

	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// inForcePollInterval is how often a waiting call checks again. A subscriber
// stops counting after a period of silence, which causes no event.
const inForcePollInterval = 50 * time.Millisecond

// waitInForce waits until a revision is in force everywhere or the context is
// done, and returns the progress so far.
func (c *Controller) waitInForce(ctx context.Context, revision topology.Revision) inforce.Progress {
	timer := time.NewTicker(inForcePollInterval)
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
