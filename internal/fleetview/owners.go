package fleetview

import (
	"cmp"
	"maps"
	"slices"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// Owners are the owners of keys by service.
type Owners map[string]*keyspace.Map

// NewOwners returns the set of some owners, without what no gateway routes by.
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

// Snapshot returns changes that make the set of nothing.
func (o Owners) Snapshot() *fleetwire.OwnerChanges {
	changes := o.ChangesFrom(nil)
	changes.Snapshot = true
	return changes
}

// ChangesFrom returns what makes this set of an earlier one.
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

// Apply returns the set that changes make of this one.
func (o Owners) Apply(changes *fleetwire.OwnerChanges) Owners {
	after := make(Owners, len(o)+len(changes.Services))
	if !changes.Snapshot {
		maps.Copy(after, o)
	}
	for _, changed := range changes.Services {
		if earlier, ok := after[changed.Service]; ok {
			after[changed.Service] = overlay(earlier.All(), changed.Assignments)
		} else {
			after[changed.Service] = &keyspace.Map{Assignments: changed.Assignments}
		}
	}
	return after
}

// overlay puts assignments in the place of what their ranges have. Both are in the
// order of their keys.
func overlay(earlier, given []keyspace.Assignment) *keyspace.Map {
	after := make([]keyspace.Assignment, 0, len(earlier)+len(given))
	next := 0
	for _, assignment := range earlier {
		for next < len(given) && given[next].Last < assignment.First {
			next++
		}
		if next == len(given) || given[next].First > assignment.Last {
			after = append(after, assignment)
		}
	}
	after = append(after, given...)
	slices.SortFunc(after, func(a, b keyspace.Assignment) int { return cmp.Compare(a.First, b.First) })
	return &keyspace.Map{Assignments: after}
}

// Digest is alike for equal sets.
func (o Owners) Digest() uint64 {
	var sum uint64
	var one entry
	for service, owners := range o {
		for _, assignment := range owners.All() {
			one = one[:0]
			one.text(service)
			one.number(uint64(assignment.First)<<32 | uint64(assignment.Last))
			one.text(assignment.Owner)
			sum += one.sum()
		}
	}
	return sum
}
