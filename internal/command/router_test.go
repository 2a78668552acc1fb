package command

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The process is terminated at stop-timeout. The router's drain must end earlier,
// so that the router can report the interrupted requests and shut down cleanly.
func TestRouterDrainEndsBeforeStopTimeout(t *testing.T) {
	for _, stopTimeout := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second, 10 * time.Minute} {
		for _, drainDelay := range []time.Duration{time.Millisecond, stopTimeout / 2, stopTimeout - time.Millisecond} {
			limit := drainLimit(stopTimeout, drainDelay)
			assert.Assert(t, limit > 0)
			assert.Assert(t, drainDelay+limit < stopTimeout, "%s after %s in %s", limit, drainDelay, stopTimeout)
		}
	}
}
