package fleetstate_test

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/seats"
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

// harness applies commands to a state at increasing log indexes.
type harness struct {
	t     *testing.T
	state *fleetstate.State
	index uint64
}

func newHarness(t *testing.T) *harness { return &harness{t: t, state: fleetstate.New()} }

func (h *harness) apply(command fleetstate.Command) fleetstate.Result {
	h.t.Helper()
	data, err := command.Encode()
	assert.NilError(h.t, err)
	h.index++
	return h.state.Apply(h.index, data)
}

func (h *harness) put(digest byte, base routeconfig.Version, document *routeconfig.Document) fleetstate.Result {
	h.t.Helper()
	return h.apply(fleetstate.Command{Configuration: &fleetstate.ChangeConfiguration{
		Digest: fleetstate.Digest{digest}, Base: base, Document: document,
	}})
}

func TestOnlyOneOfTwoChangesOnTheSameBaseIsAccepted(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
	assert.Equal(t, h.put(2, 5, document(7)).Outcome, fleetstate.Accepted)
	second := h.put(3, 5, document(7))
	assert.Equal(t, second.Outcome, fleetstate.Conflict)
	assert.Equal(t, second.Current, routeconfig.Version(7))
}

// A change whose response was lost may be repeated, even after later changes.
func TestRepeatOfAnAcceptedChangeIsAcknowledged(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
	assert.Equal(t, h.put(1, 0, document(5)).Outcome, fleetstate.Repeated)
	assert.Equal(t, h.put(2, 5, document(7)).Outcome, fleetstate.Accepted)
	assert.Equal(t, h.put(1, 0, document(5)).Outcome, fleetstate.Repeated)
	assert.Equal(t, h.state.Version(), routeconfig.Version(7), "the repeated change is not applied again")
}

func TestInvalidChangeLeavesTheStateUnchanged(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
	broken := document(9)
	broken.Routes[0].Timeout = 0
	broken.Routes[0].Destinations[0].Service = "unknown"
	refused := h.put(2, 5, broken)
	assert.Equal(t, refused.Outcome, fleetstate.Invalid)
	assert.Equal(t, len(refused.Findings), 2, "%v", refused.Findings)
	assert.Equal(t, h.put(3, 5, document(5)).Outcome, fleetstate.Invalid, "the version must increase")
	assert.Equal(t, h.state.Version(), routeconfig.Version(5))
}

func TestPatchedDocumentIsValidated(t *testing.T) {
	h := newHarness(t)
	assert.Equal(t, h.put(1, 0, document(5)).Outcome, fleetstate.Accepted)
	patch := func(digest byte, p routeconfig.Patch) fleetstate.Result {
		return h.apply(fleetstate.Command{Configuration: &fleetstate.ChangeConfiguration{Digest: fleetstate.Digest{digest}, Base: 5, Patch: &p}})
	}
	assert.Equal(t, patch(2, routeconfig.Patch{Version: 6, RemoveServices: []string{"keyed"}}).Outcome, fleetstate.Invalid)
	assert.Equal(t, patch(3, routeconfig.Patch{Version: 6, RemoveRoutes: []string{"r"}}).Outcome, fleetstate.Accepted)
	assert.Equal(t, len(h.state.Document().Routes), 0)
}

func TestFencesIncreaseAndAreKeptInSnapshots(t *testing.T) {
	h := newHarness(t)
	all := keyspace.Range{First: 0, Last: keyspace.LastKey}
	change := func(from, to string) {
		h.apply(fleetstate.Command{Ownership: &fleetstate.ChangeOwnership{Changes: []fleetstate.OwnershipChange{
			{Service: "keyed", Keys: all, From: from, To: to},
		}}})
	}
	change("", "a")
	first := h.state.Owners("keyed").Find(7)
	change("x", "b")
	assert.Equal(t, h.state.Owners("keyed").Find(7), first, "a change from another owner is skipped")
	change("a", "b")
	second := h.state.Owners("keyed").Find(7)
	assert.Equal(t, second.Owner, "b")
	assert.Assert(t, second.Fence > first.Fence)
	h.put(1, 0, document(5))
	snapshot, err := h.state.Encode()
	assert.NilError(t, err)
	restored := fleetstate.New()
	assert.NilError(t, restored.Decode(snapshot))
	assert.DeepEqual(t, restored.Owners("keyed"), h.state.Owners("keyed"))
	assert.Equal(t, restored.OwnersIndex(), h.state.OwnersIndex())
	repeated := fleetstate.ChangeConfiguration{Digest: fleetstate.Digest{1}}
	assert.Equal(t, restored.Check(&repeated).Outcome, fleetstate.Repeated)
}

// What a leader has recorded of silent controllers must outlive it, in snapshots as well: the next
// leader would count from zero again.
func TestRecordOfSilentControllersSurvivesSnapshots(t *testing.T) {
	h := newHarness(t)
	record := seats.Record{3: 700 * time.Millisecond}
	assert.Equal(t, h.apply(fleetstate.Command{Silence: &fleetstate.SilenceRecord{Members: record}}).Outcome, fleetstate.Accepted)
	snapshot, err := h.state.Encode()
	assert.NilError(t, err)
	restored := fleetstate.New()
	assert.NilError(t, restored.Decode(snapshot))
	assert.DeepEqual(t, restored.Silence(), record)
	h.apply(fleetstate.Command{Silence: &fleetstate.SilenceRecord{}})
	assert.Equal(t, len(h.state.Silence()), 0)
}
