package experiment

import (
	"cmp"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// churnBound sums, over the disturbances of a run, the least number of keys
// that any policy must move to reach the imbalance that this policy reached.
//
// At a disturbance the owners of all keys are kept. When the next comes, or the
// run ends, the imbalance reached is R. All keys of lost and leaving back ends
// must have moved. From each other back end whose kept keys now carry more than
// R times the mean load, load must have moved away; the fewest keys that carry
// it are its hottest, the last of them in part (the fractional knapsack bound,
// Dantzig 1957). Where the load goes is ignored, and so is that a key cannot be
// divided. So the sum is below what any policy needs from the same owners.
type churnBound struct {
	opened bool
	owners []topology.BackendID
	lost   map[topology.BackendID]bool
	total  float64
}

// open closes the segment before and begins another.
func (b *churnBound) open(m *measures, lost []*server) {
	b.close(m)
	b.opened = true
	b.owners = slices.Clone(m.owners)
	b.lost = make(map[topology.BackendID]bool)
	for _, server := range lost {
		b.lost[server.id] = true
	}
}

// close adds the bound of the open segment.
func (b *churnBound) close(m *measures) {
	if !b.opened {
		return
	}
	b.opened = false
	reached := m.present()
	members := m.members()
	limit := reached / float64(max(1, len(members)))
	shares := m.emulation.keys.shares()
	byOwner := make(map[topology.BackendID][]float64)
	for key, owner := range b.owners {
		byOwner[owner] = append(byOwner[owner], shares[key])
	}
	for _, server := range m.emulation.servers {
		if b.lost[server.id] {
			b.total += float64(len(byOwner[server.id]))
		} else {
			b.total += fewestKeys(byOwner[server.id], limit)
		}
	}
}

// fewestKeys is the least number of keys, with a part of the last, that must go
// so that the rest carries at most limit.
func fewestKeys(shares []float64, limit float64) float64 {
	excess := -limit
	for _, share := range shares {
		excess += share
	}
	slices.SortFunc(shares, func(left, right float64) int { return cmp.Compare(right, left) })
	count := 0.0
	for _, share := range shares {
		if excess <= 0 {
			break
		}
		if share >= excess {
			return count + excess/share
		}
		excess -= share
		count++
	}
	return count
}
