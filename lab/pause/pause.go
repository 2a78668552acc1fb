// Package pause waits for a duration or until a context ends.
package pause

import (
	"context"
	"time"
)

// For waits for a duration and returns nil, or returns the context's error if the
// context ends first. If the duration is not positive, it returns the context's
// error or nil at once.
func For(ctx context.Context, duration time.Duration) error {
	if duration <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
