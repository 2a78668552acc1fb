package replica

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/steady"
)

// While its machine is suspended, a leader's lease expires and the others elect a new leader.
// So the clock must count the suspended time, or the old leader would still serve reads under
// its expired lease.
func TestClockCountsSuspendedTime(t *testing.T) {
	r := &Replica{started: steady.Reading()}
	before := r.Now()
	steady.SimulateSuspension(5 * time.Second)
	assert.Assert(t, r.Now()-before >= 5*time.Second, "%v", r.Now()-before)
}
