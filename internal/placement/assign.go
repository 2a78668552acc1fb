package placement

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// assignOwners assigns every shard that has no owner, or whose owner is lost and
// past its restart grace period. The limits on load moves do not apply: these
// shards are not served until they have an owner.
func (planner *planner) assignOwners() {
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
		zone := candidates.leastUtilised(planner.service.Shards[index].NearZone)
		if zone < 0 {
			planner.reportNoOwner(len(waiting) - position)
			return
		}
		planner.addAssignment(index, candidates.leastUtilisedNode(zone))
		candidates.reorder(zone)
	}
}

func (planner *planner) reportNoOwner(count int) {
	planner.findings = append(planner.findings, Finding{
		Kind:    FindingNoOwner,
		Service: planner.service.Service.ID,
		Text:    fmt.Sprintf("%d shards wait for an owner: no back end is live and active", count),
	})
}

// needsOwner reports whether a shard has no owner that serves it or is expected
// back within its restart grace period.
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
	return !backend.Live && !planner.inRestartGrace(backend)
}

// inRestartGrace reports whether a lost back end announced a restart and is still
// within its restart grace period.
func (planner *planner) inRestartGrace(backend *BackendInput) bool {
	if !backend.Leaving || backend.Backend.State != topology.BackendActive {
		return false
	}
	return planner.now < max(backend.LeavingAt, backend.LostAt)+EffectiveGrace(planner.policy)
}

// addAssignment adds the move of a shard that needs an owner to a destination.
func (planner *planner) addAssignment(index int, destination *node) {
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
	planner.addMove(index, move)
}

// drain hands over the shards of leaving nodes, within the limit on concurrent
// moves. Shards with the fewest long-running requests come first, as the handover
// of the others would have to wait for these requests; then those with the
// largest load.
func (planner *planner) drain() {
	var leaving []int
	for index := range planner.nodes {
		node := &planner.nodes[index]
		switch {
		case node.input.Live && node.evacuating:
			leaving = append(leaving, node.stableShards...)
		case node.input.Live && node.restarting:
			leaving = planner.appendHotShards(leaving, node.stableShards)
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

// appendHotShards appends the shards whose share of the load is so much greater
// than their share of the keys that waiting for a restart costs more than moving
// them. For an average shard this is the rule of WaitsForRestart.
func (planner *planner) appendHotShards(leaving, shards []int) []int {
	var total float64
	for _, load := range planner.loads {
		total += load
	}
	weights := planner.policy.Weights
	for _, index := range shards {
		wait := weights.Unavailable * planner.loads[index] / total * expectedRestartTime.Seconds()
		move := weights.Churn * keyShare(planner.service.Shards, index) * churnBreakEven.Seconds()
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
	if planner.atMoveLimit(source) {
		planner.deferred++
		return
	}
	zone := candidates.leastUtilised(shard.NearZone)
	for zone >= 0 && planner.atMoveLimit(candidates.leastUtilisedNode(zone)) {
		candidates.popLeast(zone)
		zone = candidates.leastUtilised(shard.NearZone)
	}
	if zone < 0 {
		planner.deferred++
		return
	}
	destination := candidates.leastUtilisedNode(zone).input.Backend.ID
	planner.addMove(index, Move{
		Shard:  shard.Shard.ID,
		From:   shard.Shard.Owner,
		To:     destination,
		Kind:   KindDrain,
		Score:  planner.loads[index],
		Reason: fmt.Sprintf("owner %d leaves; back end %d is the least utilised", shard.Shard.Owner, destination),
	})
	candidates.reorder(zone)
}

// atMoveLimit reports whether a node has as many concurrent moves as the policy
// allows.
func (planner *planner) atMoveLimit(node *node) bool {
	return node.moveCount >= int(planner.policy.MovesAtOnce)
}
