package selection_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/selection"
)

func candidates(count, zones int) []selection.Candidate {
	all := make([]selection.Candidate, count)
	for i := range all {
		all[i] = selection.Candidate{ID: fmt.Sprintf("i-%d", i), Near: i%zones == 0}
	}
	return all
}

func TestSubsetIsBoundedAtEverySize(t *testing.T) {
	for _, count := range []int{0, 1, 24, 100, 400, 1600} {
		subset := selection.Subset("gateway", candidates(count, 4))
		assert.Equal(t, len(subset), min(count, selection.NearSize+selection.FarSize))
		seen := map[int]bool{}
		for _, index := range subset {
			assert.Assert(t, !seen[index] && index < count)
			seen[index] = true
		}
	}
}

// Where the gateway's own zone has few back ends, others fill the subset.
func TestSubsetPrefersOwnZone(t *testing.T) {
	all := candidates(400, 4)
	near := 0
	for _, index := range selection.Subset("gateway", all) {
		if all[index].Near {
			near++
		}
	}
	assert.Equal(t, near, selection.NearSize)
	assert.Equal(t, len(selection.Subset("gateway", candidates(400, 80))), selection.NearSize+selection.FarSize)
}

// Each back end is in about as many subsets as any other.
func TestSubsetsCoverBackEndsEvenly(t *testing.T) {
	const gateways, backends = 1000, 100
	all := candidates(backends, 1)
	count := make([]int, backends)
	for i := range gateways {
		for _, index := range selection.Subset(fmt.Sprintf("gateway-%d", i), all) {
			count[index]++
		}
	}
	const mean = gateways * selection.NearSize / backends
	for index, got := range count {
		assert.Check(t, got > mean/2 && got < mean*3/2, "back end %d is in %d subsets, %d in the mean", index, got, mean)
	}
}

// A back end that joins or leaves replaces one other at most.
func TestSubsetIsStable(t *testing.T) {
	all := candidates(400, 4)
	before := map[string]bool{}
	for _, index := range selection.Subset("gateway", all) {
		before[all[index].ID] = true
	}
	all = append(all[1:], selection.Candidate{ID: "new", Near: true})
	kept := 0
	for _, index := range selection.Subset("gateway", all) {
		if before[all[index].ID] {
			kept++
		}
	}
	assert.Assert(t, kept >= selection.NearSize+selection.FarSize-2, "%d kept", kept)
}

// A back end that joins is tried at once by about as many gateways at every size of the fleet, and
// by all of a small one.
func TestExplorersOfBackEndAreBounded(t *testing.T) {
	for _, gateways := range []int{5, 100, 400, 1600} {
		sum := 0
		for backend := range 50 {
			for gateway := range gateways {
				if selection.Explores(fmt.Sprint("gateway-", gateway), fmt.Sprint("i-", backend), gateways) {
					sum++
				}
			}
		}
		mean := float64(sum) / 50
		assert.Check(t, mean > 0.8*min(float64(gateways), 8) && mean <= 10, "%v of %d gateways", mean, gateways)
	}
}

func TestRelianceFollowsPace(t *testing.T) {
	const shortest = 2 * time.Second
	var pace selection.Pace
	now := time.Unix(1000, 0)
	assert.Equal(t, pace.Reliance(16, shortest), shortest, "nothing is known yet")
	for range 100 {
		now = now.Add(time.Millisecond)
		pace.Observe(now)
	}
	assert.Equal(t, pace.Reliance(16, shortest), shortest, "busy")
	for range 100 {
		now = now.Add(time.Second)
		pace.Observe(now)
	}
	assert.Assert(t, pace.Reliance(16, shortest) > 60*time.Second)
}

func BenchmarkSubset(b *testing.B) {
	for _, count := range []int{100, 1000, 4000} {
		all := candidates(count, 6)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				selection.Subset("gateway", all)
			}
		})
	}
}
