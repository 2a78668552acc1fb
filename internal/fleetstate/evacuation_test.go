package fleetstate_test

import (
	"testing"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"gotest.tools/v3/assert"
)

func (h *harness) evacuate(zone string, evacuate bool) fleetstate.Outcome {
	h.t.Helper()
	return h.apply(fleetstate.Command{Evacuation: &fleetstate.ChangeEvacuation{Zone: zone, Evacuate: evacuate}}).Outcome
}

// A command whose response was lost is repeated, and must not be rejected.
func TestEvacuationCommandsAreIdempotent(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.evacuate("a", false), fleetstate.Repeated, "an end without a start")
	assert.Equal(t, h.state.EvacuationsIndex(), uint64(0))
	assert.Equal(t, h.evacuate("a", true), fleetstate.Accepted)
	since := h.state.EvacuationsIndex()
	assert.Equal(t, h.evacuate("a", true), fleetstate.Repeated)
	assert.Equal(t, h.state.EvacuationsIndex(), since, "a repeated command changes nothing")
	assert.Assert(t, h.state.Evacuated("a") && !h.state.Evacuated("b"))
	assert.Equal(t, h.evacuate("a", false), fleetstate.Accepted)
	assert.Assert(t, !h.state.Evacuated("a"))
	assert.Assert(t, h.state.EvacuationsIndex() > since)
}

func TestEvacuationsAreKeptInSnapshots(t *testing.T) {
	h := newHarness(t)
	h.evacuate("b", true)
	h.evacuate("a", true)
	h.evacuate("c", true)
	h.evacuate("b", false)
	snapshot, err := h.state.Encode()
	assert.NilError(t, err)
	restored := fleetstate.New()
	assert.NilError(t, restored.Decode(snapshot))
	assert.DeepEqual(t, restored.EvacuatedZones(), []string{"a", "c"})
	assert.Equal(t, restored.EvacuationsIndex(), h.state.EvacuationsIndex())
}

// Gob omits empty maps, so a snapshot without evacuated zones must not leave a nil map behind.
func TestEvacuationAfterRestoringAnEmptySnapshot(t *testing.T) {
	h := newHarness(t)
	snapshot, err := h.state.Encode()
	assert.NilError(t, err)
	assert.NilError(t, h.state.Decode(snapshot))
	assert.Equal(t, h.evacuate("a", true), fleetstate.Accepted)
}
