package command

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The process ends at stop-timeout whatever its role does. The router's drain
// ends before, so that it can tell what it cut off and end in order.
func TestDrainOfARouterEndsBeforeItsProcess(t *testing.T) {
	for _, stopTimeout := range []time.Duration{time.Second, 5 * time.Second, 30 * time.Second, 10 * time.Minute} {
		for _, drainDelay := range []time.Duration{time.Millisecond, stopTimeout / 2, stopTimeout - time.Millisecond} {
			limit := drainLimit(stopTimeout, drainDelay)
			assert.Assert(t, limit > 0)
			assert.Assert(t, drainDelay+limit < stopTimeout, "%s after %s in %s", limit, drainDelay, stopTimeout)
		}
	}
}
