package fleetstate_test

import (
	"bytes"
	"encoding/gob"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// image has the fields of a snapshot.
type image struct {
	Document    *routeconfig.Document
	Accepted    map[fleetstate.Digest]routeconfig.Version
	Owners      map[string]*keyspace.Map
	OwnersIndex uint64
	Evacuations struct {
		Since map[string]uint64
		Index uint64
	}
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

// A snapshot that no log makes is refused, and the state stays what it was.
func TestSnapshotsThatNoLogMakesAreRefused(t *testing.T) {
	for name, whole := range map[string]image{
		"a gap":                {OwnersIndex: 9, Owners: owners(assigned(0, 99, 4), assigned(101, keyspace.LastKey, 5))},
		"two owners":           {OwnersIndex: 9, Owners: owners(assigned(0, 100, 4), assigned(100, keyspace.LastKey, 5))},
		"beyond the last key":  {OwnersIndex: 9, Owners: owners(assigned(0, keyspace.LastKey+1, 4))},
		"short of the last":    {OwnersIndex: 9, Owners: owners(assigned(0, 7, 4))},
		"not from zero":        {OwnersIndex: 9, Owners: owners(assigned(1, keyspace.LastKey, 4))},
		"backwards":            {OwnersIndex: 9, Owners: owners(assigned(0, 9, 4), assigned(10, 5, 4), assigned(6, keyspace.LastKey, 4))},
		"a fence of the later": {OwnersIndex: 9, Owners: owners(assigned(0, keyspace.LastKey, 10))},
	} {
		r := newRig(t)
		assert.Equal(t, r.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
		assert.Assert(t, r.state.Decode(encoded(t, whole)) != nil, name)
		assert.Equal(t, r.state.Version(), routeconfig.Version(5), name)
	}
	r := newRig(t)
	whole := encoded(t, image{OwnersIndex: 9, Owners: owners(assigned(0, keyspace.LastKey, 9))})
	assert.NilError(t, r.state.Decode(whole))
	assert.Assert(t, r.state.Decode(append(whole, 1)) != nil, "bytes behind it")
}

// Where no zone is evacuated any more, the index of the last order stays.
func TestTheIndexOfEvacuationsOutlivesThem(t *testing.T) {
	whole := image{}
	whole.Evacuations.Index = 7
	state := fleetstate.New()
	assert.NilError(t, state.Decode(encoded(t, whole)))
	assert.Equal(t, state.EvacuationsIndex(), uint64(7))
	assert.Assert(t, !state.Evacuated("b"))
}

// A log entry that no leader writes changes nothing.
func TestCommandsThatNoLeaderWritesChangeNothing(t *testing.T) {
	r := newRig(t)
	assert.Equal(t, r.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
	empty := r.apply(fleetstate.Command{Configuration: &fleetstate.ChangeConfiguration{Base: 5, Digest: fleetstate.Digest{2}}})
	assert.Equal(t, empty.Outcome, fleetstate.Invalid)
	assert.Equal(t, r.state.Version(), routeconfig.Version(5))
	for _, keys := range []keyspace.Range{{First: 9, Last: 3}, {First: 0, Last: keyspace.LastKey + 1}, {First: keyspace.LastKey + 1, Last: keyspace.LastKey + 9}} {
		r.apply(fleetstate.Command{Ownership: &fleetstate.ChangeOwnership{Changes: []fleetstate.OwnershipChange{{Service: "keyed", Keys: keys, To: "i-1"}}}})
		assert.Equal(t, r.state.OwnersIndex(), uint64(0), "%v", keys)
	}
}
