package placement

import (
	"fmt"
	"math"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// balance moves shards from the most to the least utilised nodes until the
// imbalance is below the stop threshold or the limit on load moves per minute is
// reached. If moving a hot key alone is better than moving its whole shard, the
// shard is split at the key first.
func (planner *planner) balance() {
	mean := planner.meanUtilisation()
	if mean == 0 || planner.recentlyJoined() || planner.imbalance(mean) <= startImbalance {
		return
	}
	exhausted := make([]bool, len(planner.nodes))
	for planner.loadMovesLeft > 0 {
		source := planner.mostUtilised(exhausted)
		if source < 0 || planner.nodes[source].utilisation() <= stopImbalance*mean {
			return
		}
		candidate, found := planner.bestMove(source, mean)
		if !found {
			exhausted[source] = true
			continue
		}
		planner.addCandidate(candidate, mean)
	}
}

// recentlyJoined reports whether a back end joined so recently that others of the
// same group may follow; balancing then waits, to take all of them into account
// together.
func (planner *planner) recentlyJoined() bool {
	for index := range planner.nodes {
		since := planner.nodes[index].input.LiveSince
		if planner.nodes[index].eligible && since > 0 && planner.now < since+joinSettleTime {
			return true
		}
	}
	return false
}

// imbalance returns the greatest utilisation of an eligible node divided by the
// mean.
func (planner *planner) imbalance(mean float64) float64 {
	greatest := 0.0
	for index := range planner.nodes {
		if planner.nodes[index].eligible {
			greatest = math.Max(greatest, planner.nodes[index].utilisation())
		}
	}
	return greatest / mean
}

// mostUtilised returns the index of the most utilised eligible node that is not
// exhausted, or -1.
func (planner *planner) mostUtilised(exhausted []bool) int {
	best := -1
	for index := range planner.nodes {
		if !planner.nodes[index].eligible || exhausted[index] {
			continue
		}
		if best < 0 || planner.nodes[index].utilisation() > planner.nodes[best].utilisation() {
			best = index
		}
	}
	return best
}

// candidate is a possible load move: of a whole shard, or of one of its hot
// keys.
type candidate struct {
	shard       int
	source      int
	destination int
	load        float64
	score       float64
	// hotKey is the key to move alone, if hotKeyOnly.
	hotKey     topology.KeyHash
	hotKeyOnly bool
}

// bestMove returns the move from source with the greatest benefit per cost. A
// shard with long-running requests is moved only if there is no other move.
func (planner *planner) bestMove(source int, mean float64) (candidate, bool) {
	from := &planner.nodes[source]
	if planner.atMoveLimit(from) {
		planner.deferred++
		return candidate{}, false
	}
	best, bestLongRunning := candidate{}, candidate{}
	destinations := make(map[topology.ZoneName]int, 1)
	for _, index := range from.stableShards {
		shard := &planner.service.Shards[index]
		if planner.planned[index] || shard.Shard.Phase != topology.ShardOwned {
			continue
		}
		destination, found := destinations[shard.NearZone]
		if !found {
			destination = planner.leastUtilisedFor(shard.NearZone, source, mean)
			destinations[shard.NearZone] = destination
		}
		if destination < 0 {
			planner.deferred++
			return candidate{}, false
		}
		if !planner.movable(index, destination, mean) {
			continue
		}
		option := candidate{shard: index, source: source, destination: destination}
		if shard.LongRunning > 0 {
			planner.considerShard(option, mean, &bestLongRunning)
		} else {
			planner.considerShard(option, mean, &best)
		}
		planner.considerHotKeys(option, mean, &best)
	}
	if best.score == 0 {
		best = bestLongRunning
	}
	if best.hotKeyOnly && planner.splits >= maxSplitsPerDecision {
		planner.deferred++
		return candidate{}, false
	}
	return best, best.score > 0
}

// considerShard makes a whole shard the best candidate if it scores higher.
func (planner *planner) considerShard(option candidate, mean float64, best *candidate) {
	option.load = planner.loads[option.shard]
	option.score = planner.score(&option, planner.cost(option.shard), mean)
	if option.score > best.score {
		*best = option
	}
}

// considerHotKeys makes a single hot key the best candidate if it scores higher.
// It does nothing if the service has as many shards as it may have, or if the
// shard covers a single key hash: the key then moves with the whole shard.
func (planner *planner) considerHotKeys(option candidate, mean float64, best *candidate) {
	if !planner.belowGrowthLimit() || rangeWidth(planner.service.Shards, option.shard) < 2 {
		return
	}
	for _, hot := range planner.service.Shards[option.shard].HotKeys {
		if shardIndex(planner.service.Shards, hot.Key) != option.shard {
			continue
		}
		option.hotKey, option.hotKeyOnly = hot.Key, true
		option.load = math.Min(hot.Load, planner.loads[option.shard])
		option.score = planner.score(&option, planner.costOfPause(), mean)
		if option.score > best.score {
			*best = option
		}
	}
}

// movable reports whether a shard may be moved for its load now. The minimum
// residence keeps shards from moving back and forth. It does not apply to moves
// to an almost empty back end, such as one that has just returned.
func (planner *planner) movable(index, destination int, mean float64) bool {
	shard := &planner.service.Shards[index]
	if planner.loadUnsettled(index) {
		return false
	}
	if shard.LastMoved == 0 || planner.announcedShiftActive() {
		return true
	}
	if planner.nodes[destination].utilisation() < emptyThreshold*mean {
		return true
	}
	return planner.now >= shard.LastMoved+planner.policy.MinimumResidence
}

// loadUnsettled reports whether a shard's load is uncertain because it has
// recently deviated from its expected value.
func (planner *planner) loadUnsettled(index int) bool {
	changed := planner.service.Shards[index].LoadChangedAt
	return changed > 0 && planner.now < changed+loadSettleTime
}

// announcedShiftActive reports whether an announced load shift is in progress or
// about to begin; shards may then move before their minimum residence is over.
func (planner *planner) announcedShiftActive() bool {
	for _, shift := range planner.service.AnnouncedShifts {
		if planner.now >= shift.From-announcedShiftLead && planner.now <= shift.Until {
			return true
		}
	}
	return false
}

// leastUtilisedFor returns the index of the least utilised eligible node below
// the limit on concurrent moves, or of a node in the near zone whose utilisation
// is within nearTolerance of it; -1 if there is none.
func (planner *planner) leastUtilisedFor(near topology.ZoneName, source int, mean float64) int {
	best, bestNear := -1, -1
	for index := range planner.nodes {
		node := &planner.nodes[index]
		if index == source || !node.eligible || planner.atMoveLimit(node) {
			continue
		}
		if best < 0 || node.utilisation() < planner.nodes[best].utilisation() {
			best = index
		}
		if near == "" || node.input.Backend.Location.Zone != near {
			continue
		}
		if bestNear < 0 || node.utilisation() < planner.nodes[bestNear].utilisation() {
			bestNear = index
		}
	}
	if bestNear < 0 {
		return best
	}
	if planner.nodes[bestNear].utilisation()-planner.nodes[best].utilisation() <= nearTolerance*mean {
		return bestNear
	}
	return best
}

// score returns the benefit per cost of a move, or 0 if the move isn't justified.
// The benefit is the decrease of the variance of the utilisation, weighted by
// slots, relative to the square of its mean. A move with little benefit for the
// keys it moves is justified only if its source is overloaded.
func (planner *planner) score(option *candidate, cost, mean float64) float64 {
	from, to := &planner.nodes[option.source], &planner.nodes[option.destination]
	difference := from.utilisation() - to.utilisation()
	decrease := 2*option.load*difference - option.load*option.load*(1/from.slots+1/to.slots)
	gain := math.Min(option.load/from.slots, difference-option.load/to.slots)
	if decrease <= 0 || gain < minimumGain*mean {
		return 0
	}
	score := planner.policy.Weights.Imbalance * decrease / (mean * mean * planner.slots) / cost
	if score < minimumScore && from.utilisation() < overloadThreshold*mean {
		return 0
	}
	return score
}

// cost returns the weighted cost of moving a shard: that of its keys and that of
// the pause.
func (planner *planner) cost(index int) float64 {
	return planner.policy.Weights.Churn*keyShare(planner.service.Shards, index) + planner.costOfPause()
}

// costOfPause returns the weighted cost of the pause of one handover. At equal
// weights it is pauseWeight times the cost of moving an average shard's keys.
func (planner *planner) costOfPause() float64 {
	pause := pauseWeight * planner.policy.Weights.Unavailable / float64(max(1, planner.service.Service.InitialShards))
	return math.Max(pause, math.SmallestNonzeroFloat64)
}

// addCandidate adds a load move, or the split that must come before it. After a
// split, the nodes' loads are updated as if the key had already moved, so that no
// other shard moves in its place.
func (planner *planner) addCandidate(best candidate, mean float64) {
	if best.hotKeyOnly {
		planner.addHotKeySplit(best, mean)
		return
	}
	from, to := &planner.nodes[best.source], &planner.nodes[best.destination]
	shard := &planner.service.Shards[best.shard].Shard
	reason := fmt.Sprintf("back end %d at %.2f of the mean, back end %d at %.2f; shard carries %.2f slots",
		shard.Owner, from.utilisation()/mean, to.input.Backend.ID, to.utilisation()/mean, best.load)
	planner.loadMovesLeft--
	planner.addMove(best.shard, Move{
		Shard:  shard.ID,
		From:   shard.Owner,
		To:     to.input.Backend.ID,
		Kind:   KindBalance,
		Score:  best.score,
		Reason: reason,
	})
}

func (planner *planner) addHotKeySplit(best candidate, mean float64) {
	shard := &planner.service.Shards[best.shard].Shard
	position := best.hotKey
	if position == shard.Start {
		position++
	}
	planner.splits++
	planner.deferred++
	planner.addMove(best.shard, Move{
		Shard: shard.ID, From: shard.Owner, To: shard.Owner,
		Kind: KindSplit, SplitAt: position, Score: best.score,
		Reason: fmt.Sprintf("back end %d at %.2f of the mean; one key carries %.2f of the shard's %.2f slots and is to move alone",
			shard.Owner, planner.nodes[best.source].utilisation()/mean, best.load, planner.loads[best.shard]),
	})
	planner.nodes[best.source].load -= best.load
	planner.nodes[best.destination].load += best.load
}
