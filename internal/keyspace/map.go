// Package keyspace maps the keys of a service to the back ends that own them. Keys
// are integers and owners hold ranges of them, so that adjacent keys move together.
// The package does no I/O.
package keyspace

import (
	"cmp"
	"slices"
)

// Key is a position in a service's key space.
type Key uint32

// LastKey is the highest key.
const LastKey Key = 65535

// Range is a range of keys, both ends included.
type Range struct{ First, Last Key }

// Size returns the number of keys in the range.
func (r Range) Size() int { return int(r.Last-r.First) + 1 }

// Valid reports whether the range is not empty and has only existing keys.
func (r Range) Valid() bool { return r.First <= r.Last && r.Last <= LastKey }

// Overlaps reports whether two ranges have a key in common.
func (r Range) Overlaps(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// Contains reports whether another range lies within this one.
func (r Range) Contains(other Range) bool { return r.First <= other.First && other.Last <= r.Last }

// Intersect returns the keys that both ranges have, and whether there are any.
func (r Range) Intersect(other Range) (Range, bool) {
	common := Range{First: max(r.First, other.First), Last: min(r.Last, other.Last)}
	return common, common.First <= common.Last
}

// Without returns the keys of the range that are not in another one.
func (r Range) Without(other Range) []Range {
	common, ok := r.Intersect(other)
	if !ok {
		return []Range{r}
	}
	var rest []Range
	if r.First < common.First {
		rest = append(rest, Range{r.First, common.First - 1})
	}
	if common.Last < r.Last {
		rest = append(rest, Range{common.Last + 1, r.Last})
	}
	return rest
}

// Fence orders the owners of a key: a later owner has a higher one.
type Fence uint64

// Assignment is a range with its owner.
type Assignment struct {
	Range
	// Owner is the instance that owns the range, empty without an owner.
	Owner string
	// Node is the gateway of the owner. Another instance at that gateway replaces
	// the owner.
	Node string
	// Boot identifies the gateway process to which the fence was given. Another process does
	// not know what the previous one sent to the owner, and needs a new fence.
	Boot uint64
	// Fence of the owner; zero if there never was one.
	Fence Fence
	// Handover is what the previous owner left for this one.
	Handover string
}

// Map holds the assignments of one service, sorted by key. They cover the whole key
// space without a gap. The zero value has no owners.
type Map struct {
	Assignments []Assignment
}

// All returns the assignments, which must not be changed.
func (m *Map) All() []Assignment {
	if len(m.Assignments) == 0 {
		return []Assignment{{Range: Range{0, LastKey}}}
	}
	return m.Assignments
}

// Covers reports whether the assignments are sorted and have each key exactly once. This
// must be checked for a map that another process has written.
func (m *Map) Covers() bool {
	next := Key(0)
	for _, assignment := range m.All() {
		if assignment.First != next || !assignment.Valid() {
			return false
		}
		next = assignment.Last + 1
	}
	return next == LastKey+1
}

// Find returns the assignment that contains a key.
func (m *Map) Find(key Key) Assignment {
	all := m.All()
	index, found := slices.BinarySearchFunc(all, key, func(a Assignment, key Key) int { return cmp.Compare(a.First, key) })
	if !found {
		index--
	}
	return all[index]
}

// OwnedBy returns the assignments of an owner.
func (m *Map) OwnedBy(owner string) []Assignment {
	var owned []Assignment
	for _, assignment := range m.All() {
		if assignment.Owner == owner {
			owned = append(owned, assignment)
		}
	}
	return owned
}

// Assign replaces the assignments of a range if every key in it has the owner from and a
// lower fence. It reports whether it did.
func (m *Map) Assign(from string, assigned Assignment) bool {
	all := m.All()
	keys := assigned.Range
	for _, assignment := range all {
		if assignment.Overlaps(keys) && (assignment.Owner != from || assignment.Fence >= assigned.Fence) {
			return false
		}
	}
	next := make([]Assignment, 0, len(all)+2)
	added := false
	for _, assignment := range all {
		if !assignment.Overlaps(keys) {
			next = append(next, assignment)
			continue
		}
		for _, rest := range assignment.Without(keys) {
			remaining := assignment
			remaining.Range = rest
			next = append(next, remaining)
		}
		if !added {
			next = append(next, assigned)
			added = true
		}
	}
	slices.SortFunc(next, func(a, b Assignment) int { return cmp.Compare(a.First, b.First) })
	m.Assignments = next
	return true
}
