package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// place gives an owner to every shard that has none or whose owner is lost
// beyond its grace. The limits on load moves do not apply: these shards are not
// served until they have an owner.
func (planner *planner) place() {
	var waiting []int
	for index := range planner.service.Shards {
		if planner.needsOwner(&planner.service.Shards[index].Shard) {
			waiting = append(waiting, index)
		}
	}
	if len(waiting) == 0 {
		return
	}
	planner.byLoadDescending(waiting)
	candidates := newDestinations(planner)
	for position, index := range waiting {
		zone := candidates.least(planner.service.Shards[index].NearZone)
		if zone < 0 {
			planner.reportNoOwner(len(waiting) - position)
			return
		}
		planner.takePlacement(index, candidates.node(zone))
		candidates.changed(zone)
	}
}

func (planner *planner) reportNoOwner(count int) {
	planner.findings = append(planner.findings, Finding{
		Kind:    FindingNoOwner,
		Service: planner.service.Service.ID,
		Text:    fmt.Sprintf("%d shards wait for an owner: no back end is live and active", count),
	})
}

// needsOwner says whether a shard is without an owner that serves or will soon
// serve again.
func (planner *planner) needsOwner(shard *topology.Shard) bool {
	if shard.Owner == 0 {
		return true
	}
	owner, known := planner.nodeOf[shard.Owner]
	if !known {
		return true
	}
	backend := planner.nodes[owner].input
	if backend.Backend.State == topology.BackendRemoved {
		return true
	}
	return !backend.Live && !planner.inGrace(backend)
}

// inGrace says whether a lost back end announced a restart and may still
// return in time.
func (planner *planner) inGrace(backend *BackendInput) bool {
	if !backend.Leaving || backend.Backend.State != topology.BackendActive {
		return false
	}
	return planner.now < max(backend.LeavingAt, backend.LostAt)+EffectiveGrace(planner.policy)
}

func (planner *planner) takePlacement(index int, destination *node) {
	shard := &planner.service.Shards[index].Shard
	move := Move{
		Shard: shard.ID,
		From:  shard.Owner,
		To:    destination.input.Backend.ID,
		Kind:  KindRecover,
		Score: planner.loads[index],
	}
	if shard.Owner == 0 {
		move.Kind = KindAssign
		move.Reason = fmt.Sprintf("no owner; back end %d is the least utilised", move.To)
	} else {
		move.Reason = fmt.Sprintf("owner %d is lost; back end %d is the least utilised", move.From, move.To)
	}
	planner.take(index, move)
}

// drain hands over the shards of nodes that leave, within the limit on moves at
// once: those with the fewest long requests first, as the others would have to
// wait, then those with the largest load.
func (planner *planner) drain() {
	var leaving []int
	for index := range planner.nodes {
		node := &planner.nodes[index]
		switch {
		case node.input.Live && node.leaves:
			leaving = append(leaving, node.settled...)
		case node.input.Live && node.restarts:
			leaving = planner.appendHot(leaving, node.settled)
		}
	}
	if len(leaving) == 0 {
		return
	}
	planner.byLoadDescending(leaving)
	slices.SortStableFunc(leaving, func(left, right int) int {
		return cmp.Compare(planner.service.Shards[left].LongRunning, planner.service.Shards[right].LongRunning)
	})
	candidates := newDestinations(planner)
	for _, index := range leaving {
		planner.drainShard(index, candidates)
	}
}

// appendHot appends the shards whose part of the load is so much greater than
// their part of the keys that waiting for a restart costs more than moving them.
// For an average shard this is the rule of WaitsForRestart.
func (planner *planner) appendHot(leaving, shards []int) []int {
	var total float64
	for _, load := range planner.loads {
		total += load
	}
	weights := planner.policy.Weights
	for _, index := range shards {
		wait := weights.Unavailable * planner.loads[index] / total * assumedRestart.Seconds()
		move := weights.Churn * keyShare(planner.service.Shards, index) * churnExchange.Seconds()
		if wait > move {
			leaving = append(leaving, index)
		}
	}
	return leaving
}

func (planner *planner) drainShard(index int, candidates *destinations) {
	shard := &planner.service.Shards[index]
	source := &planner.nodes[planner.nodeOf[shard.Shard.Owner]]
	if planner.planned[index] {
		return
	}
	if planner.full(source) {
		planner.waiting++
		return
	}
	zone := candidates.least(shard.NearZone)
	for zone >= 0 && planner.full(candidates.node(zone)) {
		candidates.dropFirst(zone)
		zone = candidates.least(shard.NearZone)
	}
	if zone < 0 {
		planner.waiting++
		return
	}
	destination := candidates.node(zone).input.Backend.ID
	planner.take(index, Move{
		Shard:  shard.Shard.ID,
		From:   shard.Shard.Owner,
		To:     destination,
		Kind:   KindDrain,
		Score:  planner.loads[index],
		Reason: fmt.Sprintf("owner %d leaves; back end %d is the least utilised", shard.Shard.Owner, destination),
	})
	candidates.changed(zone)
}

// full says whether a node has as many moves in progress as the policy allows.
func (planner *planner) full(node *node) bool {
	return node.moving >= int(planner.policy.MovesAtOnce)
}
