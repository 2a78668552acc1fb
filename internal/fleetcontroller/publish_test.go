package fleetcontroller

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetview"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// nextTestView returns the view that follows another, or the first one for nil, with the given
// number of instances and the given index and owner of the keys.
func nextTestView(before *view, instances int, index uint64, owner string) *view {
	var all []fleetwire.Instance
	for i := range instances {
		all = append(all, fleetwire.Instance{ID: fmt.Sprint("i-", i)})
	}
	owners := fleetview.NewOwners(map[string]*keyspace.Map{"s": {Assignments: []keyspace.Assignment{
		{Range: keyspace.Range{First: 0, Last: keyspace.LastKey}, Owner: owner},
	}}})
	next := &view{term: 1, complete: true, controllers: []string{"c"}}
	if before == nil {
		next.instances = newHistory((*instanceSet)(nil), 1, fleetview.NewInstances(all))
		next.owners = newHistory((*ownerSet)(nil), index, owners)
		return next
	}
	next.instances = newHistory(before.instances, before.instances.number+1, fleetview.NewInstances(all))
	next.owners = before.owners
	if index != before.owners.number {
		next.owners = newHistory(before.owners, index, owners)
	}
	return next
}

// mustViewUpdate returns what viewUpdate does, unpacked.
func (c *Controller) mustViewUpdate(t *testing.T, delivered *deliveredState) *fleetwire.View {
	t.Helper()
	update, err := c.viewUpdate(delivered)
	assert.NilError(t, err)
	if update != nil {
		assert.NilError(t, update.Unpack())
	}
	return update
}

// apply returns the sets that result from applying an update to others.
func apply(instances fleetview.Instances, owners fleetview.Owners, update *fleetwire.View) (fleetview.Instances, fleetview.Owners) {
	for _, changes := range update.Instances {
		instances, _ = instances.Advance(instances.Digest(), []*fleetwire.InstanceChanges{changes})
	}
	for _, changes := range update.Owners {
		owners = owners.Apply(changes)
	}
	return instances, owners
}

// However many views a session has missed, it is sent the changes that lead to the current
// one, and nothing if it already has that.
func TestSessionIsSentMissingChanges(t *testing.T) {
	for _, missed := range []int{1, 2, maxDeltas, maxDeltas + 1, 3 * maxDeltas} {
		t.Run(fmt.Sprint("missed ", missed), func(t *testing.T) {
			c := &Controller{}
			current := nextTestView(nil, 3, 7, "a")
			c.view.Store(current)
			var delivered deliveredState
			first := c.mustViewUpdate(t, &delivered)
			assert.Assert(t, first.Instances[0].Snapshot && first.Owners[0].Snapshot)
			assert.Assert(t, c.mustViewUpdate(t, &delivered) == nil)
			for i := range missed {
				current = nextTestView(current, 4+i, uint64(8+i/2), fmt.Sprint("o-", i/2))
			}
			c.view.Store(current)
			later := c.mustViewUpdate(t, &delivered)
			assert.Equal(t, later.Instances[0].Snapshot, missed > maxDeltas)
			instances, owners := apply(nil, nil, first)
			instances, owners = apply(instances, owners, later)
			assert.Equal(t, instances.Digest(), later.InstancesDigest)
			assert.Equal(t, owners.Digest(), later.OwnersDigest)
			assert.Assert(t, c.mustViewUpdate(t, &delivered) == nil)
		})
	}
}

// Sessions that are behind by different numbers of views share the computed changes. Otherwise
// an overloaded leader, whose sessions fall behind, would get even more work.
func TestSessionsShareComputedChanges(t *testing.T) {
	current := nextTestView(nil, 3, 7, "a")
	for i := range maxDeltas {
		current = nextTestView(current, 4+i, 7, "a")
	}
	newest, _, err := current.instances.changesSince(maxDeltas, true)
	assert.NilError(t, err)
	for behind := range uint64(maxDeltas) {
		changes, _, err := current.instances.changesSince(maxDeltas-behind, true)
		assert.NilError(t, err)
		assert.Equal(t, len(changes), int(behind)+1)
		assert.Assert(t, changes[behind] == newest[0], "the changes are computed once")
	}
	_, snapshot, err := current.instances.changesSince(0, false)
	assert.NilError(t, err)
	_, again, err := current.instances.changesSince(0, false)
	assert.NilError(t, err)
	assert.Assert(t, &snapshot[0] == &again[0], "the snapshot is packed once")
}

// All gateways connect to a new leader at once. Owners that they already have aren't sent again.
func TestOwnersKnownFromAnEarlierSessionAreNotSent(t *testing.T) {
	c := &Controller{}
	current := nextTestView(nil, 3, 7, "a")
	c.view.Store(current)
	update := c.mustViewUpdate(t, &deliveredState{hello: &fleetwire.Hello{OwnersIndex: 7, OwnersDigest: current.owners.digest}})
	assert.Equal(t, len(update.Owners), 0)
	assert.Assert(t, update.Instances[0].Snapshot)
	for _, other := range []*fleetwire.Hello{{}, {OwnersIndex: 6, OwnersDigest: current.owners.digest}, {OwnersIndex: 7, OwnersDigest: 1}} {
		update := c.mustViewUpdate(t, &deliveredState{hello: other})
		assert.Assert(t, update.Owners[0].Snapshot)
	}
}

// Views are published less often to many sessions, so that the senders use a limited part of
// the leader's CPU.
func TestPublishIntervalGrowsWithTheNumberOfSessions(t *testing.T) {
	assert.Assert(t, publishInterval(12, true) < 10*time.Millisecond)
	assert.Assert(t, publishInterval(280, true) > 100*time.Millisecond)
	assert.Equal(t, publishInterval(5000, true), maxPublishInterval)
	assert.Assert(t, publishInterval(280, false) > publishInterval(280, true))
}
