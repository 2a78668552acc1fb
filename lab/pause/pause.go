// Package pause waits for a time that a context may cut short.
package pause

import (
	"context"
	"time"
)

// For waits for a duration and returns nil, or the context's error where that
// ends first. No duration or a negative one does not wait.
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
