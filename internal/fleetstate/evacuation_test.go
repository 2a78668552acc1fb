package fleetstate_test

import (
	"testing"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"gotest.tools/v3/assert"
)

func (r *rig) evacuate(zone string, evacuate bool) fleetstate.Outcome {
	r.t.Helper()
	return r.apply(fleetstate.Command{Evacuation: &fleetstate.ChangeEvacuation{Zone: zone, Evacuate: evacuate}}).Outcome
}

// An order whose answer was lost is sent again, and is never refused.
func TestAnEvacuationMayBeOrderedAgain(t *testing.T) {
	r := newRig(t)
	assert.Equal(t, r.evacuate("a", false), fleetstate.Repeated, "an end without a start")
	assert.Equal(t, r.state.EvacuationsIndex(), uint64(0))
	assert.Equal(t, r.evacuate("a", true), fleetstate.Accepted)
	since := r.state.EvacuationsIndex()
	assert.Equal(t, r.evacuate("a", true), fleetstate.Repeated)
	assert.Equal(t, r.state.EvacuationsIndex(), since, "nothing has changed")
	assert.Assert(t, r.state.Evacuated("a") && !r.state.Evacuated("b"))
	assert.Equal(t, r.evacuate("a", false), fleetstate.Accepted)
	assert.Assert(t, !r.state.Evacuated("a"))
	assert.Assert(t, r.state.EvacuationsIndex() > since)
}

func TestEvacuationsSurviveASnapshot(t *testing.T) {
	r := newRig(t)
	r.evacuate("b", true)
	r.evacuate("a", true)
	r.evacuate("c", true)
	r.evacuate("b", false)
	image, err := r.state.Encode()
	assert.NilError(t, err)
	restored := fleetstate.New()
	assert.NilError(t, restored.Decode(image))
	assert.DeepEqual(t, restored.EvacuatedZones(), []string{"a", "c"})
	assert.Equal(t, restored.EvacuationsIndex(), r.state.EvacuationsIndex())
}

// A snapshot in which no zone is evacuated can be built on.
func TestAnEvacuationFollowsAnEmptySnapshot(t *testing.T) {
	r := newRig(t)
	image, err := r.state.Encode()
	assert.NilError(t, err)
	assert.NilError(t, r.state.Decode(image))
	assert.Equal(t, r.evacuate("a", true), fleetstate.Accepted)
}
