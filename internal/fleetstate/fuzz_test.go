package fleetstate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// checkState reports a state that no log makes.
func checkState(t *testing.T, state *fleetstate.State) {
	t.Helper()
	for service, owners := range state.AllOwners() {
		next := keyspace.Key(0)
		for _, assignment := range owners.All() {
			if assignment.First != next || assignment.Last < assignment.First || uint64(assignment.Fence) > state.OwnersIndex() {
				t.Fatalf("%q: %+v, expected from %d", service, assignment, next)
			}
			next = assignment.Last + 1
		}
		if next != keyspace.LastKey+1 {
			t.Fatalf("%q: owners end at %d", service, next)
		}
	}
}

// sameState reports states that differ.
func sameState(t *testing.T, got, want *fleetstate.State) {
	t.Helper()
	assert.DeepEqual(t, got.Document(), want.Document())
	assert.DeepEqual(t, got.AllOwners(), want.AllOwners())
	assert.Equal(t, got.OwnersIndex(), want.OwnersIndex())
	assert.DeepEqual(t, got.EvacuatedZones(), want.EvacuatedZones())
	assert.Equal(t, got.EvacuationsIndex(), want.EvacuationsIndex())
}

// Whatever the bytes are, decoding them gives an error and leaves the state, or gives one
// that a log makes and that Encode gives back.
func FuzzDecode(f *testing.F) {
	whole := image{OwnersIndex: 9, Owners: owners(assigned(0, 99, 4), assigned(100, keyspace.LastKey, 9)), Document: document(5)}
	whole.Evacuations.Index, whole.Evacuations.Since = 4, map[string]uint64{"b": 4}
	valid := encoded(f, whole)
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		state := fleetstate.New()
		if err := state.Decode(data); err != nil {
			sameState(t, state, fleetstate.New())
			return
		}
		checkState(t, state)
		again, err := state.Encode()
		assert.NilError(t, err)
		copied := fleetstate.New()
		assert.NilError(t, copied.Decode(again))
		sameState(t, copied, state)
	})
}

// Whatever the bytes of a log entry are, applying them ends, the same at every replica,
// in a state that a well-formed entry makes.
func FuzzApply(f *testing.F) {
	for _, command := range []fleetstate.Command{
		{Configuration: &fleetstate.ChangeConfiguration{Digest: fleetstate.Digest{2}, Base: 5, Document: document(9)}},
		{Configuration: &fleetstate.ChangeConfiguration{Digest: fleetstate.Digest{3}, Base: 5, Patch: &routeconfig.Patch{Version: 8, RemoveRoutes: []string{"r"}}}},
		{Ownership: &fleetstate.ChangeOwnership{Changes: []fleetstate.OwnershipChange{{Service: "keyed", Keys: keyspace.Range{First: 4, Last: 9}, To: "i-1", Node: "n", Boot: 3}}}},
		{Evacuation: &fleetstate.ChangeEvacuation{Zone: "b", Evacuate: true}},
		{},
	} {
		data, err := command.Encode()
		assert.NilError(f, err)
		f.Add(data)
	}
	first := fleetstate.Command{Configuration: &fleetstate.ChangeConfiguration{Digest: fleetstate.Digest{1}, Document: document(5)}}
	begin, err := first.Encode()
	assert.NilError(f, err)
	f.Fuzz(func(t *testing.T, data []byte) {
		one, other := fleetstate.New(), fleetstate.New()
		for _, state := range []*fleetstate.State{one, other} {
			state.Apply(1, begin)
			state.Apply(2, data)
		}
		checkState(t, one)
		sameState(t, one, other)
		if version := one.Version(); version < 5 {
			t.Fatalf("version %d", version)
		}
		for _, route := range one.Document().Routes {
			if route.Timeout <= 0 {
				t.Fatalf("%+v", route)
			}
		}
		_ = fleetstate.IsOperators(data)
	})
}
