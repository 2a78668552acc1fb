// Package keyspace keeps which back end owns which keys of a service. Keys are
// whole numbers and owners hold ranges of them, so that neighbouring keys move
// together. It is pure.
package keyspace

import (
	"cmp"
	"slices"
)

// Key is a position in a service's key space.
type Key uint32

// LastKey is the highest key.
const LastKey Key = 65535

// Range is a span of keys, both ends included.
type Range struct{ First, Last Key }

// Size is how many keys the range has.
func (r Range) Size() int { return int(r.Last-r.First) + 1 }

// Valid says that the range has keys, and none that do not exist.
func (r Range) Valid() bool { return r.First <= r.Last && r.Last <= LastKey }

// Overlaps says that two ranges share a key.
func (r Range) Overlaps(other Range) bool { return r.First <= other.Last && other.First <= r.Last }

// Contains says that all of another range lies within this one.
func (r Range) Contains(other Range) bool { return r.First <= other.First && other.Last <= r.Last }

// Intersect returns the keys that both ranges have.
func (r Range) Intersect(other Range) (Range, bool) {
	common := Range{First: max(r.First, other.First), Last: min(r.Last, other.Last)}
	return common, common.First <= common.Last
}

// Without returns the keys of a range that another one lacks.
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
	// Owner is the instance that owns the range; empty is nobody.
	Owner string
	// Node is the gateway beside the owner. Another instance there means that
	// the owner has ended.
	Node string
	// Boot is the process of that gateway to which the fence was given. Another
	// process does not know what the last one sent to the owner, and needs a new
	// fence.
	Boot uint64
	// Fence of the owner; zero where there never was one.
	Fence Fence
	// Handover is what the last owner left for this one.
	Handover string
}

// Map holds the assignments of one service in the order of their keys. They
// cover the whole key space without a gap. The zero value has no owners.
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

// Covers says that each key is in exactly one assignment, in the order of the keys: what
// another process has written may be otherwise.
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

// Find returns the assignment of a key.
func (m *Map) Find(key Key) Assignment {
	all := m.All()
	at, found := slices.BinarySearchFunc(all, key, func(a Assignment, key Key) int { return cmp.Compare(a.First, key) })
	if !found {
		at--
	}
	return all[at]
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

// Assign puts an assignment in the place of what its range has, where every
// key in it has the owner "from" and a lower fence. It reports whether it did.
func (m *Map) Assign(from string, given Assignment) bool {
	all := m.All()
	keys := given.Range
	for _, assignment := range all {
		if assignment.Overlaps(keys) && (assignment.Owner != from || assignment.Fence >= given.Fence) {
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
			left := assignment
			left.Range = rest
			next = append(next, left)
		}
		if !added {
			next = append(next, given)
			added = true
		}
	}
	slices.SortFunc(next, func(a, b Assignment) int { return cmp.Compare(a.First, b.First) })
	m.Assignments = next
	return true
}
