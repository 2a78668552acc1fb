package fleetview_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/fleetview"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
)

// After any sequence of changes, a gateway that applies them has the same set as the leader,
// with the same digest.
func TestApplyingChangesReproducesInstances(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	all := map[int]fleetwire.Instance{}
	var before, gateway fleetview.Instances
	for round := range 300 {
		for range random.IntN(4) {
			number := random.IntN(40)
			all[number] = fleetwire.Instance{
				ID: fmt.Sprint("i-", number), Service: fmt.Sprint("s", number%3), Slots: random.IntN(5),
				State: fleetwire.InstanceState(1 + random.IntN(3)), Leaving: random.IntN(2) == 0, Sequence: random.Uint64(),
			}
		}
		delete(all, random.IntN(40))
		var list []fleetwire.Instance
		for _, instance := range all {
			list = append(list, instance)
		}
		after := fleetview.NewInstances(list)
		if round%50 == 0 {
			gateway, _ = gateway.Advance(gateway.Digest(), []*fleetwire.InstanceChanges{after.Snapshot()})
		} else {
			gateway, _ = gateway.Advance(gateway.Digest(), []*fleetwire.InstanceChanges{after.ChangesFrom(before)})
		}
		assert.DeepEqual(t, gateway, after)
		assert.Equal(t, gateway.Digest(), after.Digest())
		before = after
	}
}

func TestApplyingChangesReproducesOwners(t *testing.T) {
	random := rand.New(rand.NewPCG(2, 2))
	owned := &keyspace.Map{}
	var before, gateway fleetview.Owners
	for round := range 300 {
		next := &keyspace.Map{Assignments: owned.Assignments}
		for range random.IntN(4) {
			at := next.Find(keyspace.Key(random.IntN(1 << 16)))
			first := at.First + keyspace.Key(random.IntN(at.Size()))
			last := first + keyspace.Key(random.IntN(int(at.Last-first)+1))
			assigned := keyspace.Assignment{Range: keyspace.Range{First: first, Last: last}, Owner: fmt.Sprint("i-", random.IntN(9)), Fence: at.Fence + 1}
			assert.Assert(t, next.Assign(at.Owner, assigned))
		}
		owned = next
		after := fleetview.NewOwners(map[string]*keyspace.Map{"keyed": owned, "other": {}})
		if round%50 == 0 {
			gateway = gateway.Apply(after.Snapshot())
		} else {
			gateway = gateway.Apply(after.ChangesFrom(before))
		}
		assert.Equal(t, gateway.Digest(), after.Digest(), "round %d", round)
		for range 50 {
			key := keyspace.Key(random.IntN(1 << 16))
			assert.Equal(t, gateway["keyed"].Find(key).Owner, owned.Find(key).Owner)
		}
		before = after
	}
}

// A gateway that has missed a change detects it by the digest.
func TestDigestsOfDifferentSetsDiffer(t *testing.T) {
	one := fleetview.NewInstances([]fleetwire.Instance{{ID: "a", State: fleetwire.InstanceReady}})
	for _, other := range []fleetview.Instances{
		nil,
		fleetview.NewInstances([]fleetwire.Instance{{ID: "a", State: fleetwire.InstanceDraining}}),
		fleetview.NewInstances([]fleetwire.Instance{{ID: "a", State: fleetwire.InstanceReady, Leaving: true}}),
		fleetview.NewInstances([]fleetwire.Instance{{ID: "a", State: fleetwire.InstanceReady}, {ID: "b"}}),
	} {
		assert.Assert(t, one.Digest() != other.Digest(), "%v", other)
	}
}

// largeFleet returns sets of the size that the users' fleets have, before and after one change
// each.
func largeFleet() (fleetview.Instances, fleetview.Instances, fleetview.Owners, fleetview.Owners) {
	var list []fleetwire.Instance
	owned := &keyspace.Map{}
	for i := range 287 {
		list = append(list, fleetwire.Instance{
			ID: fmt.Sprintf("i-%010x", i*7919), Service: fmt.Sprint("service-", i%4), Node: fmt.Sprint("side-hall-a-", i), Address: fmt.Sprintf("10.1.%d.%d:8300", i/200, i%200),
			Zone: "hall-a", Slots: 14, State: fleetwire.InstanceReady,
		})
	}
	for i := range keyspace.Key(512) {
		owned.Assign("", keyspace.Assignment{Range: keyspace.Range{First: i * 128, Last: i*128 + 127}, Owner: fmt.Sprintf("i-%010x", i%137*7919), Fence: keyspace.Fence(i + 1)})
	}
	before := fleetview.NewInstances(list)
	list[7].State = fleetwire.InstanceDraining
	after := fleetview.NewInstances(list)
	earlier := fleetview.NewOwners(map[string]*keyspace.Map{"keyed": owned})
	next := &keyspace.Map{Assignments: owned.Assignments}
	next.Assign(next.Find(700).Owner, keyspace.Assignment{Range: keyspace.Range{First: 650, Last: 700}, Owner: "i-new", Fence: 9999})
	return before, after, earlier, fleetview.NewOwners(map[string]*keyspace.Map{"keyed": next})
}

// The size of one change on the wire doesn't grow with the fleet.
func TestOneChangeIsSmall(t *testing.T) {
	const maxSize = 700
	before, after, earlier, next := largeFleet()
	instances, err := fleetwire.Pack(after.ChangesFrom(before))
	assert.NilError(t, err)
	owners, err := fleetwire.Pack(next.ChangesFrom(earlier))
	assert.NilError(t, err)
	whole, err := fleetwire.Pack(after.Snapshot())
	assert.NilError(t, err)
	assert.Assert(t, len(instances) < maxSize && len(owners) < maxSize && len(whole) > 4*maxSize,
		"changes of %d and %d bytes, snapshot of %d", len(instances), len(owners), len(whole))
}

func BenchmarkChanges(b *testing.B) {
	before, after, earlier, next := largeFleet()
	for b.Loop() {
		_, _ = before.Advance(0, []*fleetwire.InstanceChanges{after.ChangesFrom(before)})
		_ = earlier.Apply(next.ChangesFrom(earlier)).Digest()
	}
}

// However changes follow on each other, advancing gives the set and digest of the whole.
func TestAdvancingGivesSetAndDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set, digest := fleetview.Instances(nil), uint64(0)
		var want fleetview.Instances
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			var all []*fleetwire.InstanceChanges
			for range rapid.IntRange(0, 4).Draw(t, "changes") {
				changes := &fleetwire.InstanceChanges{Snapshot: rapid.IntRange(0, 9).Draw(t, "kind") == 0}
				for range rapid.IntRange(0, 4).Draw(t, "changed") {
					id := fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "id"))
					changes.Changed = append(changes.Changed, fleetwire.Instance{ID: id, Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Leaving: rapid.Bool().Draw(t, "leaving")})
				}
				if !changes.Snapshot {
					changes.Gone = append(changes.Gone, fmt.Sprint("i-", rapid.IntRange(0, 9).Draw(t, "gone")))
				}
				all = append(all, changes)
				want = applied(want, changes)
			}
			earlier := maps.Clone(set)
			next, nextDigest := set.Advance(digest, all)
			assert.DeepEqual(t, set, earlier)
			set, digest = next, nextDigest
			assert.Equal(t, len(set), len(want))
			assert.Equal(t, digest, want.Digest())
			assert.Equal(t, set.Digest(), digest)
		}
	})
}

// applied returns the set that results from applying changes to a set, worked out without its
// digest.
func applied(set fleetview.Instances, changes *fleetwire.InstanceChanges) fleetview.Instances {
	after := make(fleetview.Instances, len(set)+len(changes.Changed))
	if !changes.Snapshot {
		maps.Copy(after, set)
	}
	for _, id := range changes.Gone {
		delete(after, id)
	}
	for _, instance := range changes.Changed {
		after[instance.ID] = instance
	}
	return after
}
