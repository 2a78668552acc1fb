package placement

import (
	"fmt"
	"math"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// balance moves shards from the most to the least utilised nodes until the
// imbalance is under the stop threshold or the budget is used up.
func (planner *planner) balance() {
	mean := planner.meanUtilisation()
	if mean == 0 || planner.imbalance(mean) <= startImbalance {
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
		planner.takeBalance(candidate, mean)
	}
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

// candidate is a possible load move.
type candidate struct {
	shard       int
	source      int
	destination int
	score       float64
}

// bestMove returns the move from source with the greatest benefit per cost.
func (planner *planner) bestMove(source int, mean float64) (candidate, bool) {
	from := &planner.nodes[source]
	if planner.full(from) {
		return candidate{}, false
	}
	best := candidate{score: 0}
	for _, index := range from.settled {
		if !planner.movable(index) {
			continue
		}
		destination := planner.leastFor(planner.service.Shards[index].NearZone, source, mean)
		if destination < 0 {
			return candidate{}, false
		}
		score := planner.score(index, from, &planner.nodes[destination], mean)
		if score > best.score {
			best = candidate{shard: index, source: source, destination: destination, score: score}
		}
	}
	return best, best.score > 0
}

// movable says whether a shard may be moved for its load now.
func (planner *planner) movable(index int) bool {
	shard := &planner.service.Shards[index]
	if planner.planned[index] || shard.Shard.Phase != topology.ShardOwned {
		return false
	}
	if shard.LastMoved == 0 || planner.marked() {
		return true
	}
	return planner.now >= shard.LastMoved+planner.policy.MinimumResidence
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
// The benefit is the decrease of the sum over nodes of
// slots*(utilisation-mean)^2, relative to mean^2.
func (planner *planner) score(index int, from, to *node, mean float64) float64 {
	load := planner.loads[index]
	difference := from.utilisation() - to.utilisation()
	decrease := 2*load*difference - load*load*(1/from.slots+1/to.slots)
	if decrease <= 0 || load/from.slots < minimumGain*mean {
		return 0
	}
	return planner.policy.Weights.Imbalance * decrease / (mean * mean) / planner.cost(index)
}

// cost weighs the keys that a move takes along against the pause it brings. At
// equal weights one pause counts as much as moving an average shard.
func (planner *planner) cost(index int) float64 {
	weights := planner.policy.Weights
	shards := planner.service.Shards
	keys := weights.Churn * keyShare(shards, index)
	pause := weights.Unavailable / float64(len(shards))
	return math.Max(keys+pause, math.SmallestNonzeroFloat64)
}

func (planner *planner) takeBalance(best candidate, mean float64) {
	from, to := &planner.nodes[best.source], &planner.nodes[best.destination]
	shard := &planner.service.Shards[best.shard].Shard
	reason := fmt.Sprintf("back end %d at %.2f of the mean, back end %d at %.2f; shard carries %.2f slots",
		shard.Owner, from.utilisation()/mean, to.input.Backend.ID, to.utilisation()/mean, planner.loads[best.shard])
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
