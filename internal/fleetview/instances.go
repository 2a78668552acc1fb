// Package fleetview holds the sets that every gateway has of the fleet, the instances and the
// owners of keys, and computes and applies the changes between two versions of a set. The
// leader computes such changes once for all gateways that have the earlier version. A digest
// shows whether leader and gateway have the same set. The package is pure, and sets are
// immutable.
package fleetview

import (
	"cmp"
	"maps"
	"slices"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// Instances holds the instances of a fleet by ID.
type Instances map[string]fleetwire.Instance

// NewInstances returns the set of the given instances, without the fields that gateways
// don't need for routing.
func NewInstances(all []fleetwire.Instance) Instances {
	set := make(Instances, len(all))
	for _, instance := range all {
		instance.Sequence, instance.Released = 0, false
		set[instance.ID] = instance
	}
	return set
}

// Sorted returns the instances ordered by ID.
func (i Instances) Sorted() []fleetwire.Instance {
	return slices.SortedFunc(maps.Values(i), byID)
}

// Snapshot returns changes that build the whole set.
func (i Instances) Snapshot() *fleetwire.InstanceChanges {
	return &fleetwire.InstanceChanges{Snapshot: true, Changed: i.Sorted()}
}

// ChangesFrom returns the changes that turn an earlier set into this one.
func (i Instances) ChangesFrom(before Instances) *fleetwire.InstanceChanges {
	changes := &fleetwire.InstanceChanges{}
	for id, instance := range i {
		if before[id] != instance {
			changes.Changed = append(changes.Changed, instance)
		}
	}
	for id := range before {
		if _, ok := i[id]; !ok {
			changes.Gone = append(changes.Gone, id)
		}
	}
	slices.SortFunc(changes.Changed, byID)
	slices.Sort(changes.Gone)
	return changes
}

func byID(a, b fleetwire.Instance) int { return cmp.Compare(a.ID, b.ID) }

// Advance applies changes in their order to a set with the given digest. It returns the set that
// results and its digest, computed from what has changed.
func (i Instances) Advance(digest uint64, all []*fleetwire.InstanceChanges) (Instances, uint64) {
	if len(all) == 0 {
		return i, digest
	}
	after := maps.Clone(i)
	for _, changes := range all {
		if changes.Snapshot || after == nil {
			after, digest = make(Instances, len(changes.Changed)), 0
		}
		for _, id := range changes.Gone {
			digest -= after.partOf(id)
			delete(after, id)
		}
		for _, instance := range changes.Changed {
			digest -= after.partOf(instance.ID)
			digest += digestOf(&instance)
			after[instance.ID] = instance
		}
	}
	return after, digest
}

// partOf returns an instance's part of the digest; zero if the set doesn't have it.
func (i Instances) partOf(id string) uint64 {
	instance, ok := i[id]
	if !ok {
		return 0
	}
	return digestOf(&instance)
}

// Digest returns a hash of the set that doesn't depend on the order of its elements: the sum of
// those of its instances.
func (i Instances) Digest() uint64 {
	var sum uint64
	for _, instance := range i {
		sum += digestOf(&instance)
	}
	return sum
}

// digestOf returns the hash of one instance.
func digestOf(instance *fleetwire.Instance) uint64 {
	element := make(entry, 0, 128)
	for _, text := range []string{instance.ID, instance.Service, instance.Node, instance.Address, instance.Zone} {
		element.appendString(text)
	}
	element.appendUint(uint64(instance.Slots)<<8 | uint64(instance.State))
	if instance.Leaving {
		element.appendUint(1)
	}
	if instance.Cold {
		element.appendUint(2)
	}
	return element.sum()
}
