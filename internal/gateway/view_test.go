package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetview"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// viewOf is a full view of instances.
func viewOf(complete bool, instances ...fleetwire.Instance) *fleetwire.View {
	set := fleetview.NewInstances(instances)
	return &fleetwire.View{
		HasInstances: true, Instances: []*fleetwire.InstanceChanges{set.Snapshot()}, InstancesDigest: set.Digest(), Complete: complete,
	}
}

// viewOfOwners is a full view of the owners of service s.
func viewOfOwners(index uint64, assignments ...keyspace.Assignment) *fleetwire.View {
	set := fleetview.NewOwners(map[string]*keyspace.Map{"s": {Assignments: assignments}})
	return &fleetwire.View{OwnersIndex: index, Owners: []*fleetwire.OwnerChanges{set.Snapshot()}, OwnersDigest: set.Digest()}
}

// allKeysOf assigns all keys to one owner.
func allKeysOf(owner string) keyspace.Assignment {
	return keyspace.Assignment{Range: keyspace.Range{First: 0, Last: keyspace.LastKey}, Owner: owner}
}

// advance applies an update that must be accepted.
func advance(t testing.TB, v *viewStore, update *fleetwire.View) {
	t.Helper()
	assert.NilError(t, v.apply(update, time.Time{}))
}

// If the changes do not yield the leader's state, the view must stay unchanged and the session
// is reopened.
func TestMismatchedChangesAreRejected(t *testing.T) {
	v := newViewStore()
	advance(t, v, viewOf(true, fleetwire.Instance{ID: "a", Service: "s"}, fleetwire.Instance{ID: "b", Service: "s"}))
	advance(t, v, viewOfOwners(4, allKeysOf("a")))
	before := v.load()
	unknownRemoved := viewOf(true, fleetwire.Instance{ID: "a", Service: "s"})
	unknownRemoved.Instances = []*fleetwire.InstanceChanges{{Gone: []string{"c"}}}
	assert.ErrorIs(t, v.apply(unknownRemoved, time.Time{}), errViewMismatch)
	moved := viewOfOwners(5, allKeysOf("b"))
	moved.Owners = []*fleetwire.OwnerChanges{{}}
	assert.ErrorIs(t, v.apply(moved, time.Time{}), errViewMismatch)
	assert.Equal(t, v.load(), before)
	assert.Equal(t, len(v.load().byID), 2)
}

// A new leader receives nothing from a gateway that cannot reach it, although the back end of
// that gateway still owns keys under a running lease.
func TestOwnerUnknownToNewLeaderKeepsItsKeys(t *testing.T) {
	v := newViewStore()
	cutOff := fleetwire.Instance{ID: "a", Service: "s", Node: "node-a"}
	known := fleetwire.Instance{ID: "b", Service: "s", Node: "node-b"}
	idle := fleetwire.Instance{ID: "c", Service: "s", Node: "node-c"}
	advance(t, v, viewOfOwners(4, allKeysOf("a")))
	advance(t, v, viewOf(true, cutOff, known, idle))
	advance(t, v, viewOf(true, known))
	owner, ok := v.load().owner("s", 7)
	assert.Assert(t, ok)
	assert.Equal(t, owner.ID, "a")
	assert.Equal(t, len(v.load().instances["s"]), 1, "requests without a key go to other instances")
	assert.Equal(t, len(v.load().byID), 2, "an instance without keys is removed")
	// The owner is removed once its keys have moved, or its next incarnation is known.
	advance(t, v, viewOfOwners(5, allKeysOf("b")))
	advance(t, v, viewOf(true, known, idle))
	_, ok = v.load().byID["a"]
	assert.Assert(t, !ok)
	advance(t, v, viewOfOwners(6, allKeysOf("b")))
	advance(t, v, viewOf(true, fleetwire.Instance{ID: "b2", Service: "s", Node: "node-b"}))
	_, ok = v.load().owner("s", 7)
	assert.Assert(t, !ok)
}
