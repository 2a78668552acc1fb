package gateway

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// lists returns the IDs and slots of a view's instances by service, in order.
func lists(v *view) map[string][]string {
	found := map[string][]string{}
	for service, instances := range v.instances {
		for _, instance := range instances {
			found[service] = append(found[service], fmt.Sprint(instance.ID, " ", instance.Slots))
		}
		slices.Sort(found[service])
	}
	return found
}

// A view that is changed step by step has the same lists as one that is built at once, and an
// earlier view is not modified.
func TestChangedViewEqualsWholeView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := newViewStore()
		known := map[string]fleetwire.Instance{}
		first := &fleetwire.InstanceChanges{Snapshot: true}
		for step := range rapid.IntRange(1, 12).Draw(t, "steps") {
			changes := &fleetwire.InstanceChanges{}
			if step == 0 {
				changes = first
			}
			for range rapid.IntRange(0, 4).Draw(t, "changed") {
				number := rapid.IntRange(0, 11).Draw(t, "number")
				instance := fleetwire.Instance{
					ID: fmt.Sprint("i-", number), Node: fmt.Sprint("node-", number), Service: fmt.Sprint("s-", number%3),
					Slots: rapid.IntRange(1, 4).Draw(t, "slots"), State: fleetwire.InstanceReady,
				}
				changes.Changed = append(changes.Changed, instance)
				known[instance.ID] = instance
			}
			if step > 0 && rapid.IntRange(0, 3).Draw(t, "leaves") == 0 {
				id := fmt.Sprint("i-", rapid.IntRange(0, 11).Draw(t, "gone"))
				if !slices.ContainsFunc(changes.Changed, func(instance fleetwire.Instance) bool { return instance.ID == id }) {
					changes.Gone = append(changes.Gone, id)
					delete(known, id)
				}
			}
			earlier, earlierLists := v.load(), lists(v.load())
			_, digest := earlier.leaderInstances.Advance(earlier.instancesDigest, []*fleetwire.InstanceChanges{changes})
			update := &fleetwire.View{HasInstances: true, Complete: true, InstancesDigest: digest, Instances: []*fleetwire.InstanceChanges{changes}}
			assert.NilError(t, v.apply(update, time.Time{}))
			assert.DeepEqual(t, lists(earlier), earlierLists)
			whole := newViewStore()
			all := make([]fleetwire.Instance, 0, len(known))
			for _, instance := range known {
				all = append(all, instance)
			}
			slices.SortFunc(all, func(a, b fleetwire.Instance) int { return cmp.Compare(a.ID, b.ID) })
			assert.NilError(t, whole.apply(viewOf(true, all...), time.Time{}))
			assert.DeepEqual(t, lists(v.load()), lists(whole.load()))
			assert.DeepEqual(t, v.load().byID, whole.load().byID)
		}
	})
}

// A change of one instance copies the list of its service and shares those of the others.
func TestChangeSharesListsOfOtherServices(t *testing.T) {
	g := gatewayWithBackends(t, "g", 400)
	other := fleetwire.Instance{ID: "other", Service: "other", Node: "other", Zone: "a", State: fleetwire.InstanceReady}
	before := g.views.load()
	changes := &fleetwire.InstanceChanges{Changed: []fleetwire.Instance{other}}
	_, digest := before.leaderInstances.Advance(before.instancesDigest, []*fleetwire.InstanceChanges{changes})
	advance(t, g.views, &fleetwire.View{HasInstances: true, Complete: true, InstancesDigest: digest, Instances: []*fleetwire.InstanceChanges{changes}})
	after := g.views.load()
	assert.Assert(t, isSameList(before.instances["s"], after.instances["s"]))
	assert.Equal(t, len(after.instances["other"]), 1)
}
