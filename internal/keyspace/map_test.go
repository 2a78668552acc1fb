package keyspace_test

import (
	"testing"

	"github.com/quartzdock/quartzdock/internal/keyspace"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestAssignmentsCoverAllKeysAndFencesRise draws changes of owners and compares the map
// with a model that has one entry per key.
func TestAssignmentsCoverAllKeysAndFencesRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var owners keyspace.Map
		model := make([]keyspace.Assignment, int(keyspace.LastKey)+1)
		for step := range 40 {
			first := keyspace.Key(rapid.IntRange(0, int(keyspace.LastKey)).Draw(t, "first"))
			last := min(keyspace.LastKey, first+keyspace.Key(rapid.IntRange(0, 9000).Draw(t, "size")))
			from := model[first].Owner
			if rapid.Bool().Draw(t, "wrong owner") {
				from = "nobody"
			}
			fence := keyspace.Fence(rapid.IntRange(1, step+2).Draw(t, "fence"))
			assigned := keyspace.Assignment{Range: keyspace.Range{First: first, Last: last}, Owner: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "to"), Fence: fence}
			allowed := true
			for key := first; key <= last; key++ {
				allowed = allowed && model[key].Owner == from && model[key].Fence < fence
			}
			if owners.Assign(from, assigned) != allowed {
				t.Fatalf("assign %+v from %q: want %v", assigned, from, allowed)
			}
			for key := first; allowed && key <= last; key++ {
				model[key] = assigned
			}
		}
		next := keyspace.Key(0)
		for _, assignment := range owners.All() {
			if assignment.First != next {
				t.Fatalf("gap or overlap at %d", next)
			}
			next = assignment.Last + 1
			for key := assignment.First; key <= assignment.Last; key++ {
				if model[key].Owner != assignment.Owner || model[key].Fence != assignment.Fence {
					t.Fatalf("key %d: %+v, want %+v", key, assignment, model[key])
				}
			}
			if found := owners.Find(assignment.Last); found != assignment {
				t.Fatalf("find %d: %+v, want %+v", assignment.Last, found, assignment)
			}
		}
		if next != keyspace.LastKey+1 {
			t.Fatalf("ends at %d", next)
		}
	})
}

func TestRangesWithout(t *testing.T) {
	whole := keyspace.Range{First: 10, Last: 20}
	assert.DeepEqual(t, whole.Without(keyspace.Range{First: 12, Last: 15}), []keyspace.Range{{First: 10, Last: 11}, {First: 16, Last: 20}})
	assert.DeepEqual(t, whole.Without(keyspace.Range{First: 0, Last: 9}), []keyspace.Range{whole})
	assert.Equal(t, len(whole.Without(keyspace.Range{First: 0, Last: 30})), 0)
	assert.Equal(t, whole.Size(), 11)
}
