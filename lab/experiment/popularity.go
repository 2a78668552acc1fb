package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/lab/deployment"
)

// popularity says how often each key is asked for. Keys are ordered by their
// position, so that a range of positions is a range of indices.
type popularity struct {
	positions []topology.KeyHash
	// base is the share of each key without hot groups; the sum is 1.
	base []float64
	// baseSums[i] is the sum of base before key i.
	baseSums []float64
	groups   []*hotGroup
	// sums[i] is the sum of present shares before key i.
	sums []float64
}

// hotGroup is a set of keys that together get a share of the requests.
type hotGroup struct {
	keys  []int
	share float64
}

func newPopularity(keys deployment.Keys) *popularity {
	type ranked struct {
		position topology.KeyHash
		weight   float64
	}
	all := make([]ranked, keys.Count)
	total := 0.0
	for rank := range all {
		weight := math.Pow(float64(rank+1), -keys.Skew)
		all[rank] = ranked{position: topology.HashKey(fmt.Sprintf("key-%d", rank)), weight: weight}
		total += weight
	}
	slices.SortFunc(all, func(left, right ranked) int {
		if left.position < right.position {
			return -1
		}
		return 1
	})
	p := &popularity{}
	for _, key := range all {
		p.positions = append(p.positions, key.position)
		p.base = append(p.base, key.weight/total)
	}
	p.baseSums = runningSums(p.base)
	p.sums = p.baseSums
	return p
}

// runningSums returns the sums of all values before each index, and the total.
func runningSums(values []float64) []float64 {
	sums := make([]float64, len(values)+1)
	for index, value := range values {
		sums[index+1] = sums[index] + value
	}
	return sums
}

// shares returns the present share of each key.
func (p *popularity) shares() []float64 {
	rest := p.restShare()
	shares := make([]float64, len(p.base))
	for index, share := range p.base {
		shares[index] = share * rest
	}
	for _, group := range p.groups {
		for _, key := range group.keys {
			shares[key] += group.share / float64(len(group.keys))
		}
	}
	return shares
}

// restShare is the share of the requests that goes to no hot group.
func (p *popularity) restShare() float64 {
	rest := 1.0
	for _, group := range p.groups {
		rest -= group.share
	}
	return math.Max(0, rest)
}

// draw returns keys that could run hot: not among the hottest already, so that
// a group of one is a group of one.
func (p *popularity) draw(random *rand.Rand, count int) []int {
	chosen := make(map[int]bool)
	var keys []int
	for len(keys) < count {
		key := random.IntN(len(p.positions))
		if !chosen[key] {
			chosen[key] = true
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (p *popularity) add(group *hotGroup) {
	p.groups = append(p.groups, group)
	p.sums = runningSums(p.shares())
}

func (p *popularity) remove(group *hotGroup) {
	p.groups = slices.DeleteFunc(p.groups, func(present *hotGroup) bool { return present == group })
	p.sums = runningSums(p.shares())
}

// sample draws a key.
func (p *popularity) sample(random *rand.Rand) int {
	drawn := random.Float64()
	for _, group := range p.groups {
		if drawn < group.share {
			return group.keys[random.IntN(len(group.keys))]
		}
		drawn -= group.share
	}
	drawn = random.Float64() * p.baseSums[len(p.base)]
	found := sort.SearchFloat64s(p.baseSums, drawn)
	return min(max(found-1, 0), len(p.base)-1)
}

// between returns the keys in [start, end) as indices; end zero is the end of
// the space.
func (p *popularity) between(start, end topology.KeyHash) (first, last int) {
	first, _ = slices.BinarySearch(p.positions, start)
	last = len(p.positions)
	if end != 0 {
		last, _ = slices.BinarySearch(p.positions, end)
	}
	return first, last
}
