// Package fleetview has what every gateway knows of the fleet, as sets that
// travel as changes: the instances, and the owners of keys. A leader works out the
// changes between two sets once for all gateways that have the earlier one; a
// digest proves that both sides have the same. It is pure, and sets never change.
package fleetview

import (
	"cmp"
	"maps"
	"slices"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// Instances are the instances of a fleet by their IDs.
type Instances map[string]fleetwire.Instance

// NewInstances returns the set of some instances, without what no gateway routes
// by.
func NewInstances(all []fleetwire.Instance) Instances {
	set := make(Instances, len(all))
	for _, instance := range all {
		instance.Sequence, instance.Released = 0, false
		set[instance.ID] = instance
	}
	return set
}

// Sorted returns the instances in the order of their IDs.
func (i Instances) Sorted() []fleetwire.Instance {
	return slices.SortedFunc(maps.Values(i), byID)
}

// Snapshot returns changes that make the set of nothing.
func (i Instances) Snapshot() *fleetwire.InstanceChanges {
	return &fleetwire.InstanceChanges{Snapshot: true, Changed: i.Sorted()}
}

// ChangesFrom returns what makes this set of an earlier one.
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

// Apply returns the set that changes make of this one.
func (i Instances) Apply(changes *fleetwire.InstanceChanges) Instances {
	after := make(Instances, len(i)+len(changes.Changed))
	if !changes.Snapshot {
		maps.Copy(after, i)
	}
	for _, id := range changes.Gone {
		delete(after, id)
	}
	for _, instance := range changes.Changed {
		after[instance.ID] = instance
	}
	return after
}

// Digest is alike for equal sets.
func (i Instances) Digest() uint64 {
	var sum uint64
	var one entry
	for _, instance := range i {
		one = one[:0]
		for _, text := range []string{instance.ID, instance.Service, instance.Node, instance.Address, instance.Zone} {
			one.text(text)
		}
		one.number(uint64(instance.Slots)<<8 | uint64(instance.State))
		if instance.Leaving {
			one.number(1)
		}
		if instance.Cold {
			one.number(2)
		}
		sum += one.sum()
	}
	return sum
}
