package fleetstate_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/departure"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// checkState fails unless the owners cover every key exactly once, with fences up to the index
// of the last change.
func checkState(t *testing.T, state *fleetstate.State) {
	t.Helper()
	for service, owners := range state.AllOwners() {
		next := keyspace.Key(0)
		for _, assignment := range owners.All() {
			if assignment.First != next || assignment.Last < assignment.First || uint64(assignment.Fence) > state.OwnersIndex() {
				t.Fatalf("owners of %q: got %+v, want a range that starts at %d", service, assignment, next)
			}
			next = assignment.Last + 1
		}
		if next != keyspace.LastKey+1 {
			t.Fatalf("owners of %q end before key %d", service, next)
		}
	}
}

// requireEqualStates fails if two states differ.
func requireEqualStates(t *testing.T, got, want *fleetstate.State) {
	t.Helper()
	assert.DeepEqual(t, got.Document(), want.Document())
	assert.DeepEqual(t, got.AllOwners(), want.AllOwners())
	assert.Equal(t, got.OwnersIndex(), want.OwnersIndex())
	assert.DeepEqual(t, got.EvacuatedZones(), want.EvacuatedZones())
	assert.Equal(t, got.EvacuationsIndex(), want.EvacuationsIndex())
	assert.DeepEqual(t, got.Departures().Records(), want.Departures().Records())
}

// On any input, Decode either returns an error and leaves the state unchanged, or yields a
// consistent state that another round of Encode and Decode reproduces.
func FuzzDecode(f *testing.F) {
	snapshot := image{OwnersIndex: 9, Owners: owners(assigned(0, 99, 4), assigned(100, keyspace.LastKey, 9)), Document: document(5)}
	snapshot.Evacuations.Index, snapshot.Evacuations.Since = 4, map[string]uint64{"b": 4}
	snapshot.Departures = []departure.Record{{Announcement: departure.Announcement{Gateway: "g", Instance: "i-1"}, Index: 6}}
	valid := encoded(f, snapshot)
	f.Add(valid)
	f.Add(valid[:len(valid)/2])
	f.Add([]byte(nil))
	f.Fuzz(func(t *testing.T, data []byte) {
		state := fleetstate.New()
		if err := state.Decode(data); err != nil {
			requireEqualStates(t, state, fleetstate.New())
			return
		}
		checkState(t, state)
		again, err := state.Encode()
		assert.NilError(t, err)
		copied := fleetstate.New()
		assert.NilError(t, copied.Decode(again))
		requireEqualStates(t, copied, state)
	})
}

// Applying any data of a log entry returns, gives the same state at every replica, and
// leaves the state consistent.
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
		requireEqualStates(t, one, other)
		if version := one.Version(); version < 5 {
			t.Fatalf("version fell to %d", version)
		}
		for _, route := range one.Document().Routes {
			if route.Timeout <= 0 {
				t.Fatalf("route without a timeout: %+v", route)
			}
		}
		_ = fleetstate.IsOperatorCommand(data)
	})
}
