package fleetstate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/departure"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
)

// A controller that starts from a snapshot knows the departures that were recorded before it.
func TestRecordedDeparturesAreInTheSnapshot(t *testing.T) {
	h := newHarness(t)
	change := &departure.Change{Announced: []departure.Announcement{{Gateway: "g", Instance: "i-1"}, {Gateway: "g", Instance: "i-2"}}}
	assert.Equal(t, h.apply(fleetstate.Command{Departures: change}).Outcome, fleetstate.Accepted)
	data, err := h.state.Encode()
	assert.NilError(t, err)
	restored := fleetstate.New()
	assert.NilError(t, restored.Decode(data))
	assert.DeepEqual(t, restored.Departures().At("g"), []string{"i-1", "i-2"})
	assert.Equal(t, restored.Departures().NewestAt("g"), h.index)
}

func TestSnapshotWithADepartureRecordedTwiceIsRejected(t *testing.T) {
	record := departure.Record{Announcement: departure.Announcement{Gateway: "g", Instance: "i-1"}, Index: 3}
	assert.Assert(t, fleetstate.New().Decode(encoded(t, image{Departures: []departure.Record{record, record}})) != nil)
}
