package keylease_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/departure"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// A gateway that has just started reports a back end as ready whose departure its predecessor has
// acknowledged. The back end gets no keys, and is listed as draining.
func TestRecordedDepartureOverridesAReadyReport(t *testing.T) {
	l := newLeader()
	l.apply(&fleetstate.Command{Departures: &departure.Change{Announced: []departure.Announcement{{Gateway: "node-0", Instance: "i-0-0"}}}})
	l.reportFor(5*time.Second, instance(0, 0), instance(1, 0))
	assert.Equal(t, len(l.state.Owners(service).OwnedBy("i-0-0")), 0)
	assert.Equal(t, len(l.state.Owners(service).OwnedBy("i-1-0")), 1)
	assert.Equal(t, l.planner.InstanceAt("node-0").State, fleetwire.InstanceDraining)
	assert.Equal(t, l.planner.Instances()[0].State, fleetwire.InstanceDraining)
}
