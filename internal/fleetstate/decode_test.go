package fleetstate_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/departure"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// image has the same fields as a snapshot.
type image struct {
	Document    *routeconfig.Document
	Accepted    map[fleetstate.Digest]routeconfig.Version
	Owners      map[string]*keyspace.Map
	OwnersIndex uint64
	Evacuations struct {
		Since map[string]uint64
		Index uint64
	}
	Departures []departure.Record
}

func encoded(t testing.TB, value any) []byte {
	t.Helper()
	var buffer bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&buffer).Encode(value))
	return buffer.Bytes()
}

func owners(assignments ...keyspace.Assignment) map[string]*keyspace.Map {
	return map[string]*keyspace.Map{"keyed": {Assignments: assignments}}
}

func assigned(first, last keyspace.Key, fence keyspace.Fence) keyspace.Assignment {
	return keyspace.Assignment{Range: keyspace.Range{First: first, Last: last}, Owner: "i-1", Fence: fence}
}

// Decode rejects a snapshot that no sequence of log entries produces, and leaves the state
// unchanged.
func TestDecodeRejectsInconsistentSnapshots(t *testing.T) {
	for name, snapshot := range map[string]image{
		"a gap":               {OwnersIndex: 9, Owners: owners(assigned(0, 99, 4), assigned(101, keyspace.LastKey, 5))},
		"overlapping ranges":  {OwnersIndex: 9, Owners: owners(assigned(0, 100, 4), assigned(100, keyspace.LastKey, 5))},
		"beyond the last key": {OwnersIndex: 9, Owners: owners(assigned(0, keyspace.LastKey+1, 4))},
		"last keys missing":   {OwnersIndex: 9, Owners: owners(assigned(0, 7, 4))},
		"first key missing":   {OwnersIndex: 9, Owners: owners(assigned(1, keyspace.LastKey, 4))},
		"a reversed range":    {OwnersIndex: 9, Owners: owners(assigned(0, 9, 4), assigned(10, 5, 4), assigned(6, keyspace.LastKey, 4))},
		"fence above index":   {OwnersIndex: 9, Owners: owners(assigned(0, keyspace.LastKey, 10))},
	} {
		h := newHarness(t)
		assert.Equal(t, h.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
		assert.Assert(t, h.state.Decode(encoded(t, snapshot)) != nil, name)
		assert.Equal(t, h.state.Version(), routeconfig.Version(5), name)
	}
	h := newHarness(t)
	valid := encoded(t, image{OwnersIndex: 9, Owners: owners(assigned(0, keyspace.LastKey, 9))})
	assert.NilError(t, h.state.Decode(valid))
	assert.Assert(t, h.state.Decode(append(valid, 1)) != nil, "trailing data")
}

// The index of the last evacuation command is restored even if no zone is evacuated any more.
func TestEvacuationsIndexIsRestoredWithoutEvacuatedZones(t *testing.T) {
	snapshot := image{}
	snapshot.Evacuations.Index = 7
	state := fleetstate.New()
	assert.NilError(t, state.Decode(encoded(t, snapshot)))
	assert.Equal(t, state.EvacuationsIndex(), uint64(7))
	assert.Assert(t, !state.Evacuated("b"))
}

// Commands that no leader proposes change nothing.
func TestMalformedCommandsChangeNothing(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
	empty := h.apply(fleetstate.Command{Configuration: &fleetstate.ChangeConfiguration{Base: 5, Digest: fleetstate.Digest{2}}})
	assert.Equal(t, empty.Outcome, fleetstate.Invalid)
	assert.Equal(t, h.state.Version(), routeconfig.Version(5))
	for _, keys := range []keyspace.Range{{First: 9, Last: 3}, {First: 0, Last: keyspace.LastKey + 1}, {First: keyspace.LastKey + 1, Last: keyspace.LastKey + 9}} {
		h.apply(fleetstate.Command{Ownership: &fleetstate.ChangeOwnership{Changes: []fleetstate.OwnershipChange{{Service: "keyed", Keys: keys, To: "i-1"}}}})
		assert.Equal(t, h.state.OwnersIndex(), uint64(0), "%v", keys)
	}
}
