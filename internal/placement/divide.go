package placement

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Limits of splitting and merging.
const (
	// splitShare is the part of a node's mean load above which a shard is
	// split: a larger shard is too coarse to balance with.
	splitShare = 0.20
	// blindSplitAfter is how long the hot keys of a shard that is new or whose
	// load has changed are waited for before it is split in the middle.
	blindSplitAfter = 3 * time.Second
	// mergeShare is the part of a node's mean load below which two neighbours
	// may be merged.
	mergeShare = 0.02
	// splitsAtOnce and mergesAtOnce bound one decision.
	splitsAtOnce = 4
	mergesAtOnce = 4
	// mergeAfter is how long a shard exists before it may be merged, in units
	// of the minimum residence.
	mergeAfter = 6
	// maximumGrowth bounds the number of shards, as a multiple of the first
	// set-up.
	maximumGrowth = 4
)

// divide splits shards that are too hot to balance with and merges cold
// neighbours. Neither changes an owner.
func (planner *planner) divide() {
	perNode := planner.meanNodeLoad()
	if perNode == 0 {
		return
	}
	planner.split(perNode)
	planner.merge(perNode)
}

// meanNodeLoad is the service's load per receiving node.
func (planner *planner) meanNodeLoad() float64 {
	var load float64
	count := 0
	for index := range planner.nodes {
		load += planner.nodes[index].load
		if planner.nodes[index].receives {
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return load / float64(count)
}

// mayGrow says whether this decision may split one more shard.
func (planner *planner) mayGrow() bool {
	return planner.splits < splitsAtOnce && planner.belowGrowthLimit()
}

// belowGrowthLimit says whether the service may have more shards.
func (planner *planner) belowGrowthLimit() bool {
	limit := maximumGrowth * int(max(1, planner.service.Service.InitialShards))
	return len(planner.service.Shards)+planner.splits < limit
}

func (planner *planner) split(perNode float64) {
	for index := range planner.service.Shards {
		shard := &planner.service.Shards[index]
		if !planner.mayGrow() {
			return
		}
		tooHot := shard.Load >= splitShare*perNode
		if planner.planned[index] || shard.Shard.Phase != topology.ShardOwned || !tooHot {
			continue
		}
		position, divisible := planner.splitPosition(index)
		if !divisible {
			continue
		}
		planner.take(index, Move{
			Shard: shard.Shard.ID, From: shard.Shard.Owner, To: shard.Shard.Owner,
			Kind: KindSplit, SplitAt: position, Score: shard.Load / perNode,
			Reason: fmt.Sprintf("carries %.2f slots, %.0f%% of a back end's mean load", shard.Load, 100*shard.Load/perNode),
		})
		planner.splits++
	}
}

// splitPosition returns where to divide a shard: before its hottest key, or
// after it if the key is first in the range, or else in the middle.
func (planner *planner) splitPosition(index int) (topology.KeyHash, bool) {
	width := rangeWidth(planner.service.Shards, index)
	if width < 2 {
		return 0, false
	}
	start := planner.service.Shards[index].Shard.Start
	for _, hot := range planner.service.Shards[index].HotKeys {
		offset := uint64(hot.Key) - uint64(start)
		if hot.Key < start || offset >= width {
			continue
		}
		if offset > 0 {
			return hot.Key, true
		}
		return hot.Key + 1, true
	}
	shard := &planner.service.Shards[index]
	since := max(shard.CreatedAt, shard.LoadChangedAt)
	if since > 0 && planner.now < since+blindSplitAfter {
		return 0, false
	}
	return start + topology.KeyHash(width/2), true
}

func (planner *planner) merge(perNode float64) {
	shards := planner.service.Shards
	excess := len(shards) - int(planner.service.Service.InitialShards)
	merges := 0
	for index := 0; index+1 < len(shards) && merges < min(excess, mergesAtOnce); index++ {
		if !planner.mergeable(index, perNode) {
			continue
		}
		left, right := &shards[index].Shard, &shards[index+1].Shard
		planner.planned[index+1] = true
		planner.take(index, Move{
			Shard: left.ID, From: left.Owner, To: left.Owner,
			Kind: KindMerge, MergeWith: right.ID.Shard,
			Reason: "both neighbours are cold",
		})
		merges++
	}
}

// mergeable says whether a shard and its right neighbour are settled at the
// same owner, cold and old enough.
func (planner *planner) mergeable(index int, perNode float64) bool {
	left, right := &planner.service.Shards[index], &planner.service.Shards[index+1]
	if planner.planned[index] || planner.planned[index+1] || left.Shard.Owner != right.Shard.Owner {
		return false
	}
	if left.Shard.Phase != topology.ShardOwned || right.Shard.Phase != topology.ShardOwned {
		return false
	}
	youngest := max(left.CreatedAt, right.CreatedAt)
	if youngest == 0 || planner.now < youngest+mergeAfter*planner.policy.MinimumResidence {
		return false
	}
	return planner.loads[index]+planner.loads[index+1] < mergeShare*perNode
}
