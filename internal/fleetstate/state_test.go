package fleetstate_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"gotest.tools/v3/assert"
)

func document(version routeconfig.Version) *routeconfig.Document {
	return &routeconfig.Document{
		Version:  version,
		Services: []routeconfig.Service{{Name: "keyed", Keyed: true}, {Name: "plain"}},
		Routes: []routeconfig.Route{{
			Name: "r", Host: "h", PathPrefix: "/a/", Timeout: time.Second, Attempts: 2,
			Destinations: []routeconfig.Destination{{Service: "keyed", Weight: 1}},
		}},
	}
}

// rig applies commands as the log does.
type rig struct {
	t     *testing.T
	state *fleetstate.State
	index uint64
}

func newRig(t *testing.T) *rig { return &rig{t: t, state: fleetstate.New()} }

func (r *rig) apply(command fleetstate.Command) fleetstate.Result {
	r.t.Helper()
	data, err := command.Encode()
	assert.NilError(r.t, err)
	r.index++
	return r.state.Apply(r.index, data)
}

func (r *rig) put(digest byte, base routeconfig.Version, document *routeconfig.Document) fleetstate.Result {
	r.t.Helper()
	return r.apply(fleetstate.Command{Configuration: &fleetstate.ChangeConfiguration{
		Digest: fleetstate.Digest{digest}, Base: base, Document: document,
	}})
}

func TestOfChangesOnTheSameVersionOneIsAccepted(t *testing.T) {
	r := newRig(t)
	assert.Equal(t, r.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
	assert.Equal(t, r.put(2, 5, document(7)).Outcome, fleetstate.Accepted)
	lost := r.put(3, 5, document(7))
	assert.Equal(t, lost.Outcome, fleetstate.Conflict)
	assert.Equal(t, lost.Current, routeconfig.Version(7))
}

// A change whose answer was lost is sent again, perhaps after others.
func TestAnAcceptedChangeIsNeverRefusedLater(t *testing.T) {
	r := newRig(t)
	assert.Equal(t, r.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
	assert.Equal(t, r.put(1, 0, document(5)).Outcome, fleetstate.Repeated)
	assert.Equal(t, r.put(2, 5, document(7)).Outcome, fleetstate.Accepted)
	assert.Equal(t, r.put(1, 0, document(5)).Outcome, fleetstate.Repeated)
	assert.Equal(t, r.state.Version(), routeconfig.Version(7), "and does not come into force again")
}

func TestAnInvalidChangeChangesNothing(t *testing.T) {
	r := newRig(t)
	assert.Equal(t, r.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
	broken := document(9)
	broken.Routes[0].Timeout = 0
	broken.Routes[0].Destinations[0].Service = "unknown"
	refused := r.put(2, 5, broken)
	assert.Equal(t, refused.Outcome, fleetstate.Invalid)
	assert.Equal(t, len(refused.Findings), 2, "%v", refused.Findings)
	assert.Equal(t, r.put(3, 5, document(5)).Outcome, fleetstate.Invalid, "the version must rise")
	assert.Equal(t, r.state.Version(), routeconfig.Version(5))
}

func TestAPatchIsValidatedAsAWhole(t *testing.T) {
	r := newRig(t)
	assert.Equal(t, r.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
	patch := func(digest byte, p routeconfig.Patch) fleetstate.Result {
		return r.apply(fleetstate.Command{Configuration: &fleetstate.ChangeConfiguration{Digest: fleetstate.Digest{digest}, Base: 5, Patch: &p}})
	}
	assert.Equal(t, patch(2, routeconfig.Patch{Version: 6, RemoveServices: []string{"keyed"}}).Outcome, fleetstate.Invalid)
	assert.Equal(t, patch(3, routeconfig.Patch{Version: 6, RemoveRoutes: []string{"r"}}).Outcome, fleetstate.Accepted)
	assert.Equal(t, len(r.state.Document().Routes), 0)
}

func TestFencesAreLogIndexesAndSurviveASnapshot(t *testing.T) {
	r := newRig(t)
	all := keyspace.Range{First: 0, Last: keyspace.LastKey}
	change := func(from, to string) {
		r.apply(fleetstate.Command{Ownership: &fleetstate.ChangeOwnership{Changes: []fleetstate.OwnershipChange{
			{Service: "keyed", Keys: all, From: from, To: to},
		}}})
	}
	change("", "a")
	first := r.state.Owners("keyed").Find(7)
	change("x", "b")
	assert.Equal(t, r.state.Owners("keyed").Find(7), first, "a change that does not fit is skipped")
	change("a", "b")
	second := r.state.Owners("keyed").Find(7)
	assert.Equal(t, second.Owner, "b")
	assert.Assert(t, second.Fence > first.Fence)
	r.put(1, 0, document(5))
	image, err := r.state.Encode()
	assert.NilError(t, err)
	restored := fleetstate.New()
	assert.NilError(t, restored.Decode(image))
	assert.DeepEqual(t, restored.Owners("keyed"), r.state.Owners("keyed"))
	assert.Equal(t, restored.OwnersIndex(), r.state.OwnersIndex())
	change1 := fleetstate.ChangeConfiguration{Digest: fleetstate.Digest{1}}
	assert.Equal(t, restored.Check(&change1).Outcome, fleetstate.Repeated)
}
