package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// A leader's lease runs out while its machine is suspended: others have elected the next one.
// Its clock has to say so before it answers a read by that lease.
func TestTheClockOfALeaderCountsSuspendedTime(t *testing.T) {
	r := &Replica{started: steady.Reading()}
	before := r.Now()
	steady.RehearseSuspension(5 * time.Second)
	assert.Assert(t, r.Now()-before >= 5*time.Second, "%v", r.Now()-before)
}
