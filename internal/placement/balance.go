package placement

import (
	"fmt"
	"math"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// balance moves shards from the most to the least utilised nodes until the
// imbalance is under the stop threshold or the budget is used up. Where moving a
// hot key alone is better than moving its whole shard, the shard is first split
// at the key.
func (planner *planner) balance() {
	mean := planner.meanUtilisation()
	if mean == 0 || planner.joinedJustNow() || planner.imbalance(mean) <= startImbalance {
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
		planner.takeCandidate(candidate, mean)
	}
}

// joinedJustNow says whether a back end joined so recently that others of the
// same group may follow; they are then taken into account together.
func (planner *planner) joinedJustNow() bool {
	for index := range planner.nodes {
		since := planner.nodes[index].input.LiveSince
		if planner.nodes[index].receives && since > 0 && planner.now < since+joinSettle {
			return true
		}
	}
	return false
}

// imbalance is the greatest utilisation over the mean.
func (planner *planner) imbalance(mean float64) float64 {
	greatest := 0.0
	for index := range planner.nodes {
		if planner.nodes[index].receives {
			greatest = math.Max(greatest, planner.nodes[index].utilisation())
		}
	}
	return greatest / mean
}

// mostUtilised returns the most utilised node that serves and is not
// exhausted, or -1.
func (planner *planner) mostUtilised(exhausted []bool) int {
	best := -1
	for index := range planner.nodes {
		if !planner.nodes[index].receives || exhausted[index] {
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
	// hotKey is the key to move alone, if partial.
	hotKey  topology.KeyHash
	partial bool
}

// bestMove returns the move from source with the greatest benefit per cost. A
// shard with long requests comes only where there is no other.
func (planner *planner) bestMove(source int, mean float64) (candidate, bool) {
	from := &planner.nodes[source]
	if planner.full(from) {
		planner.waiting++
		return candidate{}, false
	}
	best, busiest := candidate{}, candidate{}
	destinations := make(map[topology.ZoneName]int, 1)
	for _, index := range from.settled {
		shard := &planner.service.Shards[index]
		if planner.planned[index] || shard.Shard.Phase != topology.ShardOwned {
			continue
		}
		destination, found := destinations[shard.NearZone]
		if !found {
			destination = planner.leastFor(shard.NearZone, source, mean)
			destinations[shard.NearZone] = destination
		}
		if destination < 0 {
			planner.waiting++
			return candidate{}, false
		}
		if !planner.movable(index, destination, mean) {
			continue
		}
		offer := candidate{shard: index, source: source, destination: destination}
		if shard.LongRunning > 0 {
			planner.offerShard(offer, mean, &busiest)
		} else {
			planner.offerShard(offer, mean, &best)
		}
		planner.offerHotKeys(offer, mean, &best)
	}
	if best.score == 0 {
		best = busiest
	}
	if best.partial && planner.splits >= splitsAtOnce {
		planner.waiting++
		return candidate{}, false
	}
	return best, best.score > 0
}

// offerShard makes a whole shard the best candidate if it scores higher.
func (planner *planner) offerShard(offer candidate, mean float64, best *candidate) {
	offer.load = planner.loads[offer.shard]
	offer.score = planner.score(&offer, planner.cost(offer.shard), mean)
	if offer.score > best.score {
		*best = offer
	}
}

// offerHotKeys makes a single hot key the best candidate if it scores higher.
// A key that is alone in its range is the whole shard.
func (planner *planner) offerHotKeys(offer candidate, mean float64, best *candidate) {
	if !planner.belowGrowthLimit() || rangeWidth(planner.service.Shards, offer.shard) < 2 {
		return
	}
	for _, hot := range planner.service.Shards[offer.shard].HotKeys {
		if shardIndex(planner.service.Shards, hot.Key) != offer.shard {
			continue
		}
		offer.hotKey, offer.partial = hot.Key, true
		offer.load = math.Min(hot.Load, planner.loads[offer.shard])
		offer.score = planner.score(&offer, planner.costOfPause(), mean)
		if offer.score > best.score {
			*best = offer
		}
	}
}

// movable says whether a shard may be moved for its load now. Minimum residence
// keeps shards from going to and fro; it does not keep a back end empty that has
// just come back.
func (planner *planner) movable(index, destination int, mean float64) bool {
	shard := &planner.service.Shards[index]
	if planner.changing(index) {
		return false
	}
	if shard.LastMoved == 0 || planner.marked() {
		return true
	}
	if planner.nodes[destination].utilisation() < emptyShare*mean {
		return true
	}
	return planner.now >= shard.LastMoved+planner.policy.MinimumResidence
}

// changing says whether a shard's load is not known well, because it has just
// left what was expected of it.
func (planner *planner) changing(index int) bool {
	changed := planner.service.Shards[index].LoadChangedAt
	return changed > 0 && planner.now < changed+loadSettle
}

// marked says whether a marked period is in force; then shards may move
// before their minimum residence is over.
func (planner *planner) marked() bool {
	for _, mark := range planner.service.Marks {
		if planner.now >= mark.From-markLead && planner.now <= mark.Until {
			return true
		}
	}
	return false
}

// leastFor returns the least utilised node that may receive another move, or a
// node of the near zone that is about as little utilised; -1 if there is none.
func (planner *planner) leastFor(near topology.ZoneName, source int, mean float64) int {
	best, bestNear := -1, -1
	for index := range planner.nodes {
		node := &planner.nodes[index]
		if index == source || !node.receives || planner.full(node) {
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

// score returns the benefit per cost of a move, or 0 if it is not worth while.
// The benefit is the decrease of the variance of the utilisation over slots,
// relative to the square of its mean. A move that gains little for the keys it
// takes along is left, unless its source is intolerably loaded.
func (planner *planner) score(offer *candidate, cost, mean float64) float64 {
	from, to := &planner.nodes[offer.source], &planner.nodes[offer.destination]
	difference := from.utilisation() - to.utilisation()
	decrease := 2*offer.load*difference - offer.load*offer.load*(1/from.slots+1/to.slots)
	gain := math.Min(offer.load/from.slots, difference-offer.load/to.slots)
	if decrease <= 0 || gain < minimumGain*mean {
		return 0
	}
	worth := planner.policy.Weights.Imbalance * decrease / (mean * mean * planner.slots) / cost
	if worth < minimumWorth && from.utilisation() < intolerable*mean {
		return 0
	}
	return worth
}

// cost weighs the keys that a move of a shard takes along and the pause it
// brings.
func (planner *planner) cost(index int) float64 {
	return planner.policy.Weights.Churn*keyShare(planner.service.Shards, index) + planner.costOfPause()
}

// costOfPause is the weighed cost of one hand-over; at equal weights it is
// pauseWeight of moving an average shard.
func (planner *planner) costOfPause() float64 {
	pause := pauseWeight * planner.policy.Weights.Unavailable / float64(max(1, planner.service.Service.InitialShards))
	return math.Max(pause, math.SmallestNonzeroFloat64)
}

// takeCandidate records a load move, or the split that it needs first. The
// nodes' loads then count as if the key had moved, so that nothing else moves
// in its place.
func (planner *planner) takeCandidate(best candidate, mean float64) {
	if best.partial {
		planner.takeSplit(best, mean)
		return
	}
	from, to := &planner.nodes[best.source], &planner.nodes[best.destination]
	shard := &planner.service.Shards[best.shard].Shard
	reason := fmt.Sprintf("back end %d at %.2f of the mean, back end %d at %.2f; shard carries %.2f slots",
		shard.Owner, from.utilisation()/mean, to.input.Backend.ID, to.utilisation()/mean, best.load)
	planner.loadMovesLeft--
	planner.take(best.shard, Move{
		Shard:  shard.ID,
		From:   shard.Owner,
		To:     to.input.Backend.ID,
		Kind:   KindBalance,
		Score:  best.score,
		Reason: reason,
	})
}

func (planner *planner) takeSplit(best candidate, mean float64) {
	shard := &planner.service.Shards[best.shard].Shard
	position := best.hotKey
	if position == shard.Start {
		position++
	}
	planner.splits++
	planner.waiting++
	planner.take(best.shard, Move{
		Shard: shard.ID, From: shard.Owner, To: shard.Owner,
		Kind: KindSplit, SplitAt: position, Score: best.score,
		Reason: fmt.Sprintf("back end %d at %.2f of the mean; one key carries %.2f of the shard's %.2f slots and is to move alone",
			shard.Owner, planner.nodes[best.source].utilisation()/mean, best.load, planner.loads[best.shard]),
	})
	planner.nodes[best.source].load -= best.load
	planner.nodes[best.destination].load += best.load
}
