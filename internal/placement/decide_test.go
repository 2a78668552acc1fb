package placement_test

import (
	"math"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/placement"
	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const serviceID topology.ServiceID = 1

// cluster returns a service with back ends in three zones that own shards in
// turn, each with the same load.
func cluster(backends, shards int, load float64) placement.Input {
	input := placement.Input{Now: time.Minute}
	for number := 1; number <= backends; number++ {
		zone := topology.ZoneName([]string{"hall-1", "hall-2", "hall-3"}[number%3])
		input.Backends = append(input.Backends, placement.BackendInput{
			Backend: topology.Backend{
				ID: topology.BackendID(number), Service: serviceID, Slots: 20, State: topology.BackendActive,
				Location: topology.Location{Region: "test", Zone: zone},
			},
			Live: true,
		})
	}
	service := placement.ServiceInput{Service: topology.Service{ID: serviceID, InitialShards: uint32(shards)}}
	for number := range shards {
		service.Shards = append(service.Shards, placement.ShardInput{
			Shard: topology.Shard{
				ID:    topology.ShardID{Service: serviceID, Shard: topology.ShardNumber(number + 1)},
				Start: topology.KeyHash(uint64(number) * (math.MaxUint64/uint64(shards) + 1)),
				Phase: topology.ShardOwned,
				Owner: topology.BackendID(number%backends + 1),
				Epoch: 1,
			},
			Load: load,
		})
	}
	input.Services = []placement.ServiceInput{service}
	return input
}

// apply returns the load of each back end after the moves.
func apply(input placement.Input, moves []placement.Move) map[topology.BackendID]float64 {
	targets := make(map[topology.ShardID]topology.BackendID)
	for _, move := range moves {
		targets[move.Shard] = move.To
	}
	loads := make(map[topology.BackendID]float64)
	for _, shard := range input.Services[0].Shards {
		owner := shard.Shard.Owner
		if target, moved := targets[shard.Shard.ID]; moved {
			owner = target
		}
		loads[owner] += shard.Load
	}
	return loads
}

func TestEvenLoadMovesNothing(t *testing.T) {
	assert.Equal(t, len(placement.Decide(cluster(4, 64, 0.5))), 0)
}

func TestUnassignedShardsSpreadEvenly(t *testing.T) {
	input := cluster(4, 64, 0)
	for index := range input.Services[0].Shards {
		input.Services[0].Shards[index].Shard.Owner = 0
		input.Services[0].Shards[index].Shard.Phase = topology.ShardUnassigned
	}
	moves := placement.Decide(input)
	assert.Equal(t, len(moves), 64)
	counts := make(map[topology.BackendID]int)
	for _, move := range moves {
		counts[move.To]++
	}
	for id := topology.BackendID(1); id <= 4; id++ {
		assert.Equal(t, counts[id], 16)
	}
}

func TestJoinedBackendReceivesOnlyItsShare(t *testing.T) {
	input := cluster(4, 80, 0.5)
	input.Services[0].Service.Placement.MovesAtOnce = 100
	joined := input.Backends[0]
	joined.Backend.ID = 5
	input.Backends = append(input.Backends, joined)
	moves := placement.Decide(input)
	for _, move := range moves {
		assert.Equal(t, move.To, topology.BackendID(5))
	}
	assert.Assert(t, len(moves) <= 80/5, "%d moves", len(moves))
	assert.Assert(t, apply(input, moves)[5] >= 0.8*8, "the joined back end carries %v", apply(input, moves)[5])
}

func TestSimultaneousJoinsAreBalancedTogether(t *testing.T) {
	input := cluster(4, 96, 0.5)
	input.Services[0].Service.Placement.MovesAtOnce = 100
	for id := topology.BackendID(5); id <= 8; id++ {
		joined := input.Backends[0]
		joined.Backend.ID = id
		input.Backends = append(input.Backends, joined)
	}
	moves := placement.Decide(input)
	assert.Assert(t, len(moves) <= 48, "%d of 96 shards move for 4 joins to 4", len(moves))
	for _, move := range moves {
		assert.Assert(t, move.From <= 4 && move.To >= 5)
	}
}

func TestOnlyShardsOfLostOwnerAreReassigned(t *testing.T) {
	input := cluster(4, 64, 0.5)
	input.Backends[1].Live = false
	input.Backends[1].LostAt = input.Now
	moves := placement.Decide(input)
	assert.Equal(t, len(moves), 16)
	for _, move := range moves {
		assert.Equal(t, move.From, topology.BackendID(2))
		assert.Equal(t, move.Kind, placement.KindRecover)
	}
}

func TestLostOwnerIsReplacedEvenIfAllOthersAreFailing(t *testing.T) {
	input := cluster(3, 12, 0.5)
	input.Backends[0].Live = false
	input.Backends[1].FailureShare, input.Backends[2].FailureShare = 0.9, 0.9
	moves := placement.Decide(input)
	assert.Equal(t, len(moves), 4)
	input.Backends[2].FailureShare = 0
	for _, move := range placement.Decide(input) {
		assert.Equal(t, move.To, topology.BackendID(3))
	}
}

func TestAnnouncedRestartMovesNothingWithinGrace(t *testing.T) {
	input := cluster(4, 64, 0.5)
	input.Services[0].Service.Placement.Weights = topology.PlacementWeights{Imbalance: 1, Churn: 4, Unavailable: 1}
	restarting := &input.Backends[1]
	restarting.Live, restarting.Leaving = false, true
	restarting.LeavingAt = input.Now - 3*time.Second
	assert.Equal(t, len(placement.Decide(input)), 0)
	restarting.LeavingAt = input.Now - 11*time.Second
	assert.Equal(t, len(placement.Decide(input)), 16)
}

func TestLoadOfLostZoneIsSpreadOverRemainingZones(t *testing.T) {
	input := cluster(6, 96, 0.2)
	for index := range input.Backends {
		input.Backends[index].Live = input.Backends[index].Backend.Location.Zone != "hall-1"
	}
	loads := apply(input, placement.Decide(input))
	for _, backend := range input.Backends {
		if backend.Live {
			load := loads[backend.Backend.ID]
			assert.Assert(t, math.Abs(load-96*0.2/4) < 0.25, "back end %d carries %v", backend.Backend.ID, load)
		}
	}
}

func TestNearZoneIsPreferredAtEqualCost(t *testing.T) {
	input := cluster(6, 96, 0.2)
	input.Backends[0].Live = false
	for index := range input.Services[0].Shards {
		input.Services[0].Shards[index].NearZone = "hall-3"
	}
	moves := placement.Decide(input)
	near := 0
	for _, move := range moves {
		if input.Backends[move.To-1].Backend.Location.Zone == "hall-3" {
			near++
		}
	}
	assert.Assert(t, near > len(moves)*2/5, "%d of %d went to the near zone", near, len(moves))
}

func TestHotKeyIsSplitOffThenReported(t *testing.T) {
	input := cluster(4, 64, 0.1)
	hot := &input.Services[0].Shards[10]
	hot.Load = 19
	key := hot.Shard.Start + 12345
	hot.HotKeys = []placement.HotKey{{Key: key, Load: 18.9}}
	decision := placement.Evaluate(input)
	split := firstOf(decision.Moves, placement.KindSplit)
	assert.Equal(t, split.SplitAt, key)
	assert.Assert(t, hasFinding(decision, placement.FindingUndividable))
	// Once the key is the first in its range, the shard is split right after it.
	hot.Shard.Start = key
	assert.Equal(t, firstOf(placement.Decide(input), placement.KindSplit).SplitAt, key+1)
}

func TestClaimedLoadIsNeverUsed(t *testing.T) {
	withoutClaims := cluster(4, 64, 0.5)
	withFalseClaim := cluster(4, 64, 0.5)
	for index := range withFalseClaim.Backends {
		withFalseClaim.Backends[index].ObservedLoad = 8
		withFalseClaim.Backends[index].ClaimedLoad = 8
	}
	withFalseClaim.Backends[2].ClaimedLoad = 0
	decision := placement.Evaluate(withFalseClaim)
	assert.DeepEqual(t, decision.Moves, placement.Decide(withoutClaims))
	assert.Assert(t, hasFinding(decision, placement.FindingLoadContradicted))
}

func firstOf(moves []placement.Move, kind placement.MoveKind) placement.Move {
	for _, move := range moves {
		if move.Kind == kind {
			return move
		}
	}
	return placement.Move{}
}

func hasFinding(decision placement.Decision, kind placement.FindingKind) bool {
	for _, finding := range decision.Findings {
		if finding.Kind == kind {
			return true
		}
	}
	return false
}

// drawInput generates a cluster with random loads, states and phases.
func drawInput(t *rapid.T) placement.Input {
	backends := rapid.IntRange(1, 9).Draw(t, "backends")
	shards := rapid.IntRange(1, 64).Draw(t, "shards")
	input := cluster(backends, shards, 0)
	policy := &input.Services[0].Service.Placement
	policy.MovesAtOnce = uint32(rapid.IntRange(1, 5).Draw(t, "moves at once"))
	policy.MovesPerMinute = uint32(rapid.IntRange(1, 30).Draw(t, "moves per minute"))
	input.Services[0].RecentLoadMoves = uint32(rapid.IntRange(0, 30).Draw(t, "recent moves"))
	for index := range input.Backends {
		backend := &input.Backends[index]
		backend.Live = rapid.IntRange(0, 4).Draw(t, "live") > 0
		backend.Leaving = rapid.IntRange(0, 6).Draw(t, "leaving") == 0
		backend.LeavingAt = input.Now - time.Duration(rapid.IntRange(0, 20).Draw(t, "left"))*time.Second
		backend.Backend.State = topology.BackendState(rapid.IntRange(1, 3).Draw(t, "state"))
	}
	for index := range input.Services[0].Shards {
		drawShard(t, &input.Services[0].Shards[index], backends)
	}
	return input
}

func drawShard(t *rapid.T, shard *placement.ShardInput, backends int) {
	shard.Load = rapid.Float64Range(0, 10).Draw(t, "load")
	shard.LastMoved = time.Duration(rapid.IntRange(0, 60).Draw(t, "moved")) * time.Second
	shard.CreatedAt = time.Duration(rapid.IntRange(0, 60).Draw(t, "created")) * time.Second
	shard.Shard.Owner = topology.BackendID(rapid.IntRange(0, backends).Draw(t, "owner"))
	shard.Shard.Phase = topology.ShardPhase(rapid.IntRange(2, 4).Draw(t, "phase"))
	if shard.Shard.Owner == 0 {
		shard.Shard.Phase = topology.ShardUnassigned
	}
	if shard.Shard.Phase == topology.ShardWarming || shard.Shard.Phase == topology.ShardReleasing {
		shard.Shard.Target = topology.BackendID(rapid.IntRange(1, backends).Draw(t, "target"))
	}
}

func TestEveryDecisionKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		input := drawInput(t)
		moves := placement.Decide(input)
		assert.Assert(t, reflect.DeepEqual(moves, placement.Decide(input)), "equal inputs give different moves")
		checkEachShardOnce(t, moves)
		checkDestinations(t, input, moves)
		checkBudgets(t, input, moves)
	})
}

func checkEachShardOnce(t *rapid.T, moves []placement.Move) {
	seen := make(map[topology.ShardID]bool)
	for _, move := range moves {
		assert.Assert(t, !seen[move.Shard], "two moves of shard %v", move.Shard)
		seen[move.Shard] = true
		if move.Kind == placement.KindMerge {
			other := topology.ShardID{Service: move.Shard.Service, Shard: move.MergeWith}
			assert.Assert(t, !seen[other], "shard %v is merged and moved", other)
			seen[other] = true
		}
	}
}

func checkDestinations(t *rapid.T, input placement.Input, moves []placement.Move) {
	for _, move := range moves {
		if move.Kind == placement.KindSplit || move.Kind == placement.KindMerge {
			assert.Equal(t, move.From, move.To)
			continue
		}
		backend := input.Backends[move.To-1]
		assert.Assert(t, backend.Live, "move to a back end that is not live: %+v", move)
		assert.Equal(t, backend.Backend.State, topology.BackendActive)
		assert.Assert(t, !backend.Leaving, "move to a leaving back end: %+v", move)
	}
}

func checkBudgets(t *rapid.T, input placement.Input, moves []placement.Move) {
	service := input.Services[0]
	policy := service.Service.Placement
	inProgress := make(map[topology.BackendID]int)
	for _, shard := range service.Shards {
		if shard.Shard.Phase == topology.ShardWarming || shard.Shard.Phase == topology.ShardReleasing {
			inProgress[shard.Shard.Owner]++
			inProgress[shard.Shard.Target]++
		}
	}
	loadMoves := 0
	for _, move := range moves {
		if move.Kind == placement.KindBalance {
			loadMoves++
		}
		if move.Kind != placement.KindBalance && move.Kind != placement.KindDrain {
			continue
		}
		for _, end := range []topology.BackendID{move.From, move.To} {
			inProgress[end]++
			assert.Assert(t, inProgress[end] <= int(policy.MovesAtOnce), "back end %d has %d concurrent moves", end, inProgress[end])
		}
	}
	left := max(0, int(policy.MovesPerMinute)-int(service.RecentLoadMoves))
	assert.Assert(t, loadMoves <= left, "%d load moves, %d allowed", loadMoves, left)
}

// A shard that moves while long-running requests (exports) are in progress is
// unavailable until they have ended.
func TestShardWithLongRequestsMovesOnlyAsLastChoice(t *testing.T) {
	input := cluster(2, 8, 1)
	for index := range input.Services[0].Shards {
		if index%2 == 0 {
			input.Services[0].Shards[index].Load = 2
			input.Services[0].Shards[index].LongRunning = 1
		}
	}
	input.Services[0].Shards[4].LongRunning = 0
	move := firstOf(placement.Decide(input), placement.KindBalance)
	assert.Equal(t, move.Shard, input.Services[0].Shards[4].Shard.ID)
	input.Services[0].Shards[4].LongRunning = 1
	assert.Assert(t, firstOf(placement.Decide(input), placement.KindBalance).Shard != topology.ShardID{})
}

// Guards against using the weights only to order moves: every move with any gain
// was then made, whatever the weight of churn.
func TestChurnWeightPreventsMovesOfLittleGain(t *testing.T) {
	imbalanced := func(churn float64) placement.Input {
		input := cluster(4, 64, 0.5)
		input.Services[0].Service.Placement.Weights = topology.PlacementWeights{Imbalance: 1, Churn: churn, Unavailable: 1}
		for index := range input.Services[0].Shards {
			if input.Services[0].Shards[index].Shard.Owner == 2 {
				input.Services[0].Shards[index].Load = 0.58
			}
		}
		return input
	}
	assert.Assert(t, len(placement.Decide(imbalanced(0.2))) > 0)
	assert.Equal(t, len(placement.Decide(imbalanced(20))), 0)
	overloaded := imbalanced(20)
	overloaded.Services[0].Shards[1].Load = 5
	assert.Assert(t, len(placement.Decide(overloaded)) > 0)
}

func TestShardWithUnsettledLoadIsNotMoved(t *testing.T) {
	input := cluster(2, 8, 1)
	input.Services[0].Shards[1].Load = 4
	before := firstOf(placement.Decide(input), placement.KindBalance)
	assert.Equal(t, before.From, topology.BackendID(2))
	for index := range input.Services[0].Shards {
		input.Services[0].Shards[index].LoadChangedAt = input.Now - time.Second
	}
	assert.Equal(t, len(placement.Decide(input)), 0)
}

func TestMinimumResidenceDoesNotKeepReturnedBackendEmpty(t *testing.T) {
	input := cluster(3, 48, 0.5)
	for index := range input.Services[0].Shards {
		shard := &input.Services[0].Shards[index]
		if shard.Shard.Owner == 3 {
			shard.Shard.Owner = topology.BackendID(1 + index%2)
		}
		shard.LastMoved = input.Now - time.Second
	}
	assert.Assert(t, firstOf(placement.Decide(input), placement.KindBalance).To == 3)
}

func TestHotKeySplitsDeferWholeShardMoves(t *testing.T) {
	input := cluster(2, 32, 0.2)
	for index := range input.Services[0].Shards {
		shard := &input.Services[0].Shards[index]
		if shard.Shard.Owner == 1 {
			shard.Load = 0.6
			shard.HotKeys = []placement.HotKey{{Key: shard.Shard.Start + 5, Load: 0.3}}
		}
	}
	decision := placement.Evaluate(input)
	assert.Equal(t, firstOf(decision.Moves, placement.KindBalance).To, topology.BackendID(0), "%v", decision.Moves)
	assert.Assert(t, firstOf(decision.Moves, placement.KindSplit).SplitAt != 0)
	assert.Assert(t, decision.Deferred > 0)
}

// A limit of 120 moves a minute for services of any size left a returned back end
// empty for half a minute after a loss and a join.
func TestDefaultMoveBudgetScalesWithBackends(t *testing.T) {
	balanceMoves := func(backends int, configured uint32) int {
		input := cluster(backends, 4*backends, 0.5)
		input.Services[0].RecentLoadMoves = placement.DefaultMovesPerMinute
		input.Services[0].Service.Placement.MovesPerMinute = configured
		input.Services[0].Shards[1].Load = 4
		count := 0
		for _, move := range placement.Decide(input) {
			if move.Kind == placement.KindBalance {
				count++
			}
		}
		return count
	}
	assert.Equal(t, balanceMoves(2, 0), 0)
	assert.Assert(t, balanceMoves(8, 0) > 0)
	assert.Equal(t, balanceMoves(8, placement.DefaultMovesPerMinute), 0, "an explicitly configured limit is not raised")
}
