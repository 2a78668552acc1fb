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

// viewAfter is the view after another, nil is none, with a number of instances and
// owners of an index.
func viewAfter(before *view, instances int, index uint64, owner string) *view {
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

// news of a controller that has a view, unpacked.
func (c *Controller) mustNews(t *testing.T, has *sent) *fleetwire.View {
	t.Helper()
	news, err := c.news(has)
	assert.NilError(t, err)
	if news != nil {
		assert.NilError(t, news.Unpack())
	}
	return news
}

// apply returns the sets that news make of others.
func apply(instances fleetview.Instances, owners fleetview.Owners, news *fleetwire.View) (fleetview.Instances, fleetview.Owners) {
	for _, changes := range news.Instances {
		instances = instances.Apply(changes)
	}
	for _, changes := range news.Owners {
		owners = owners.Apply(changes)
	}
	return instances, owners
}

// Whatever a session has missed, it gets what leads to the present view, and
// nothing where it has that.
func TestASessionGetsWhatItLacks(t *testing.T) {
	for _, missed := range []int{1, 2, mostSteps, mostSteps + 1, 3 * mostSteps} {
		t.Run(fmt.Sprint("missed ", missed), func(t *testing.T) {
			c := &Controller{}
			present := viewAfter(nil, 3, 7, "a")
			c.view.Store(present)
			var has sent
			first := c.mustNews(t, &has)
			assert.Assert(t, first.Instances[0].Snapshot && first.Owners[0].Snapshot)
			assert.Assert(t, c.mustNews(t, &has) == nil)
			for i := range missed {
				present = viewAfter(present, 4+i, uint64(8+i/2), fmt.Sprint("o-", i/2))
			}
			c.view.Store(present)
			later := c.mustNews(t, &has)
			assert.Equal(t, later.Instances[0].Snapshot, missed > mostSteps)
			instances, owners := apply(nil, nil, first)
			instances, owners = apply(instances, owners, later)
			assert.Equal(t, instances.Digest(), later.InstancesDigest)
			assert.Equal(t, owners.Digest(), later.OwnersDigest)
			assert.Assert(t, c.mustNews(t, &has) == nil)
		})
	}
}

// Sessions that are behind by different numbers of views share what was worked out:
// a leader that is short of time must not get more work for it.
func TestSessionsShareWhatIsWorkedOut(t *testing.T) {
	present := viewAfter(nil, 3, 7, "a")
	for i := range mostSteps {
		present = viewAfter(present, 4+i, 7, "a")
	}
	newest, _, err := present.instances.since(mostSteps, true)
	assert.NilError(t, err)
	for behind := range uint64(mostSteps) {
		steps, _, err := present.instances.since(mostSteps-behind, true)
		assert.NilError(t, err)
		assert.Equal(t, len(steps), int(behind)+1)
		assert.Assert(t, steps[behind] == newest[0], "the same changes")
	}
	_, whole, err := present.instances.since(0, false)
	assert.NilError(t, err)
	_, again, err := present.instances.since(0, false)
	assert.NilError(t, err)
	assert.Assert(t, &whole[0] == &again[0], "the same bytes")
}

// All gateways come to a new leader. What they have already is not sent again.
func TestAGatewayIsNotSentTheOwnersThatItBrings(t *testing.T) {
	c := &Controller{}
	present := viewAfter(nil, 3, 7, "a")
	c.view.Store(present)
	news := c.mustNews(t, &sent{hello: &fleetwire.Hello{OwnersIndex: 7, OwnersDigest: present.owners.digest}})
	assert.Equal(t, len(news.Owners), 0)
	assert.Assert(t, news.Instances[0].Snapshot)
	for _, other := range []*fleetwire.Hello{{}, {OwnersIndex: 6, OwnersDigest: present.owners.digest}, {OwnersIndex: 7, OwnersDigest: 1}} {
		news := c.mustNews(t, &sent{hello: other})
		assert.Assert(t, news.Owners[0].Snapshot)
	}
}

// The senders of a large fleet use a bounded part of the leader's processor.
func TestViewsOfLargeFleetsComeSeldomer(t *testing.T) {
	assert.Assert(t, publishInterval(12, true) < 10*time.Millisecond)
	assert.Assert(t, publishInterval(280, true) > 100*time.Millisecond)
	assert.Equal(t, publishInterval(5000, true), longestPublish)
	assert.Assert(t, publishInterval(280, false) > publishInterval(280, true))
}
