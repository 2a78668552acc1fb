package placement

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Limits of splitting and merging.
const (
	// splitShare is the fraction of the mean load per node from which a shard is
	// split: a larger shard is too coarse to balance with.
	splitShare = 0.20
	// hotKeyWait is how long a shard that is new or whose load has changed waits
	// for a report of its hot keys before it is split in the middle.
	hotKeyWait = 3 * time.Second
	// mergeShare is the fraction of the mean load per node below which two
	// neighbours may be merged.
	mergeShare           = 0.02
	maxSplitsPerDecision = 4
	maxMergesPerDecision = 4
	// mergeMinimumAge is the least age of a shard that may be merged, as a
	// multiple of the minimum residence.
	mergeMinimumAge = 6
	// maxGrowthFactor bounds the number of shards, as a multiple of the initial
	// number.
	maxGrowthFactor = 4
)

// reshard splits shards that are too hot to balance with and merges cold
// neighbours. Neither changes an owner.
func (planner *planner) reshard() {
	perNode := planner.meanNodeLoad()
	if perNode == 0 {
		return
	}
	planner.split(perNode)
	planner.merge(perNode)
}

// meanNodeLoad returns the service's load per eligible node.
func (planner *planner) meanNodeLoad() float64 {
	var load float64
	count := 0
	for index := range planner.nodes {
		load += planner.nodes[index].load
		if planner.nodes[index].eligible {
			count++
		}
	}
	if count == 0 {
		return 0
	}
	return load / float64(count)
}

// maySplit reports whether this decision may split one more shard.
func (planner *planner) maySplit() bool {
	return planner.splits < maxSplitsPerDecision && planner.belowGrowthLimit()
}

// belowGrowthLimit reports whether the service may have more shards.
func (planner *planner) belowGrowthLimit() bool {
	limit := maxGrowthFactor * int(max(1, planner.service.Service.InitialShards))
	return len(planner.service.Shards)+planner.splits < limit
}

func (planner *planner) split(perNode float64) {
	for index := range planner.service.Shards {
		shard := &planner.service.Shards[index]
		if !planner.maySplit() {
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
		planner.addMove(index, Move{
			Shard: shard.Shard.ID, From: shard.Shard.Owner, To: shard.Shard.Owner,
			Kind: KindSplit, SplitAt: position, Score: shard.Load / perNode,
			Reason: fmt.Sprintf("carries %.2f slots, %.0f%% of a back end's mean load", shard.Load, 100*shard.Load/perNode),
		})
		planner.splits++
	}
}

// splitPosition returns the key hash at which to split a shard, if it can be
// split now: the hottest key, or the one after it if that key is the first in the
// range, or the middle if no hot keys are reported.
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
	if since > 0 && planner.now < since+hotKeyWait {
		return 0, false
	}
	return start + topology.KeyHash(width/2), true
}

func (planner *planner) merge(perNode float64) {
	shards := planner.service.Shards
	excess := len(shards) - int(planner.service.Service.InitialShards)
	merges := 0
	for index := 0; index+1 < len(shards) && merges < min(excess, maxMergesPerDecision); index++ {
		if !planner.mergeable(index, perNode) {
			continue
		}
		left, right := &shards[index].Shard, &shards[index+1].Shard
		planner.planned[index+1] = true
		planner.addMove(index, Move{
			Shard: left.ID, From: left.Owner, To: left.Owner,
			Kind: KindMerge, MergeWith: right.ID.Shard,
			Reason: "both neighbours are cold",
		})
		merges++
	}
}

// mergeable reports whether a shard and its right neighbour have the same owner,
// are not moving, and are cold and old enough to be merged.
func (planner *planner) mergeable(index int, perNode float64) bool {
	left, right := &planner.service.Shards[index], &planner.service.Shards[index+1]
	if planner.planned[index] || planner.planned[index+1] || left.Shard.Owner != right.Shard.Owner {
		return false
	}
	if left.Shard.Phase != topology.ShardOwned || right.Shard.Phase != topology.ShardOwned {
		return false
	}
	youngest := max(left.CreatedAt, right.CreatedAt)
	if youngest == 0 || planner.now < youngest+mergeMinimumAge*planner.policy.MinimumResidence {
		return false
	}
	return planner.loads[index]+planner.loads[index+1] < mergeShare*perNode
}
