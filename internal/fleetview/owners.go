package fleetview

import (
	"cmp"
	"maps"
	"slices"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// Owners holds the owners of keys by service.
type Owners map[string]*keyspace.Map

// NewOwners returns the set of the given owners, without the fields that gateways don't need
// for routing.
func NewOwners(all map[string]*keyspace.Map) Owners {
	set := make(Owners, len(all))
	for service, owners := range all {
		routes := make([]keyspace.Assignment, 0, len(owners.All()))
		for _, assignment := range owners.All() {
			routes = append(routes, keyspace.Assignment{Range: assignment.Range, Owner: assignment.Owner})
		}
		set[service] = &keyspace.Map{Assignments: routes}
	}
	return set
}

// Snapshot returns changes that build the whole set.
func (o Owners) Snapshot() *fleetwire.OwnerChanges {
	changes := o.ChangesFrom(nil)
	changes.Snapshot = true
	return changes
}

// ChangesFrom returns the changes that turn an earlier set into this one.
func (o Owners) ChangesFrom(before Owners) *fleetwire.OwnerChanges {
	changes := &fleetwire.OwnerChanges{}
	for _, service := range slices.Sorted(maps.Keys(o)) {
		known := map[keyspace.Assignment]bool{}
		if earlier, ok := before[service]; ok {
			for _, assignment := range earlier.All() {
				known[assignment] = true
			}
		}
		changed := slices.DeleteFunc(slices.Clone(o[service].All()), func(assignment keyspace.Assignment) bool { return known[assignment] })
		if len(changed) > 0 {
			changes.Services = append(changes.Services, fleetwire.ServiceOwners{Service: service, Assignments: changed})
		}
	}
	return changes
}

// Apply returns the set that results from applying changes to this one.
func (o Owners) Apply(changes *fleetwire.OwnerChanges) Owners {
	after := make(Owners, len(o)+len(changes.Services))
	if !changes.Snapshot {
		maps.Copy(after, o)
	}
	for _, changed := range changes.Services {
		if earlier, ok := after[changed.Service]; ok {
			after[changed.Service] = replaceRanges(earlier.All(), changed.Assignments)
		} else {
			after[changed.Service] = &keyspace.Map{Assignments: changed.Assignments}
		}
	}
	return after
}

// replaceRanges returns the earlier assignments with those that overlap an updated one
// replaced by the updated ones. Both lists are ordered by key.
func replaceRanges(earlier, updated []keyspace.Assignment) *keyspace.Map {
	after := make([]keyspace.Assignment, 0, len(earlier)+len(updated))
	next := 0
	for _, assignment := range earlier {
		for next < len(updated) && updated[next].Last < assignment.First {
			next++
		}
		if next == len(updated) || updated[next].First > assignment.Last {
			after = append(after, assignment)
		}
	}
	after = append(after, updated...)
	slices.SortFunc(after, func(a, b keyspace.Assignment) int { return cmp.Compare(a.First, b.First) })
	return &keyspace.Map{Assignments: after}
}

// Digest returns a hash of the set that doesn't depend on the order of its elements.
func (o Owners) Digest() uint64 {
	var sum uint64
	var element entry
	for service, owners := range o {
		for _, assignment := range owners.All() {
			element = element[:0]
			element.appendString(service)
			element.appendUint(uint64(assignment.First)<<32 | uint64(assignment.Last))
			element.appendString(assignment.Owner)
			sum += element.sum()
		}
	}
	return sum
}
