package placement_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

func countKind(moves []placement.Move, kind placement.MoveKind) int {
	count := 0
	for _, move := range moves {
		if move.Kind == kind {
			count++
		}
	}
	return count
}

// overloaded returns a cluster in which the shards of back end 2 have four times
// the load of the others.
func overloaded() placement.Input {
	input := cluster(4, 64, 0.25)
	for index := range input.Services[0].Shards {
		if input.Services[0].Shards[index].Shard.Owner == 2 {
			input.Services[0].Shards[index].Load = 1
		}
	}
	return input
}

func TestBalancingWaitsForFurtherJoins(t *testing.T) {
	input := overloaded()
	input.Backends[3].LiveSince = input.Now - 100*time.Millisecond
	assert.Equal(t, countKind(placement.Decide(input), placement.KindBalance), 0)
	input.Backends[3].LiveSince = input.Now - time.Second
	assert.Assert(t, countKind(placement.Decide(input), placement.KindBalance) > 0)
}

func TestMinimumResidenceKeepsShardsInPlace(t *testing.T) {
	input := overloaded()
	for index := range input.Services[0].Shards {
		input.Services[0].Shards[index].LastMoved = input.Now - 9*time.Second
	}
	assert.Equal(t, countKind(placement.Decide(input), placement.KindBalance), 0)
	input.Now += time.Second
	assert.Assert(t, countKind(placement.Decide(input), placement.KindBalance) > 0)
}

func TestAnnouncedShiftMovesLoadInAdvance(t *testing.T) {
	input := cluster(4, 64, 0.25)
	hot := input.Services[0].Shards[9].Shard
	shift := placement.AnnouncedShift{
		From: input.Now + 4*time.Second, Until: input.Now + time.Minute,
		Keys: []topology.KeyHash{hot.Start + 1}, Load: 3,
	}
	input.Services[0].AnnouncedShifts = []placement.AnnouncedShift{shift}
	moves := placement.Decide(input)
	assert.Assert(t, countKind(moves, placement.KindBalance) > 0, "load is moved before the announced shift begins")
	for _, move := range moves {
		assert.Equal(t, move.From, hot.Owner)
	}
	input.Services[0].AnnouncedShifts[0].From = input.Now + 30*time.Second
	assert.Equal(t, len(placement.Decide(input)), 0, "the announced shift is too far ahead")
	input.Services[0].AnnouncedShifts[0].From, input.Services[0].AnnouncedShifts[0].Until = 0, input.Now-time.Second
	assert.Equal(t, len(placement.Decide(input)), 0, "the announced shift is over")
}

func TestUnannouncedShiftIsBalancedByObservedLoad(t *testing.T) {
	input := cluster(4, 64, 0.25)
	input.Services[0].Shards[9].Load = 3
	moves := placement.Decide(input)
	assert.Assert(t, countKind(moves, placement.KindBalance) > 0)
	for _, move := range moves {
		assert.Equal(t, move.From, input.Services[0].Shards[9].Shard.Owner)
	}
}

func TestColdNeighboursAreMergedWhenOldEnough(t *testing.T) {
	input := cluster(2, 8, 1)
	service := &input.Services[0]
	service.Service.InitialShards = 6
	for _, index := range []int{3, 4} {
		service.Shards[index].Shard.Owner = 1
		service.Shards[index].Load = 0.001
		service.Shards[index].CreatedAt = input.Now - 59*time.Second
	}
	for index := range service.Shards {
		service.Shards[index].LastMoved = input.Now
	}
	assert.Equal(t, countKind(placement.Decide(input), placement.KindMerge), 0, "the shards are too young")
	input.Now += 2 * time.Second
	merge := firstOf(placement.Decide(input), placement.KindMerge)
	assert.Equal(t, merge.Shard, service.Shards[3].Shard.ID)
	assert.Equal(t, merge.MergeWith, service.Shards[4].Shard.ID.Shard)
	service.Shards[4].Load = 1
	assert.Equal(t, countKind(placement.Decide(input), placement.KindMerge), 0, "one of the shards is not cold")
}

func TestInsufficientZoneHeadroomIsReported(t *testing.T) {
	input := cluster(6, 60, 1)
	assert.Assert(t, !hasFinding(placement.Evaluate(input), placement.FindingZoneHeadroom), "60 slots are busy, 80 would remain")
	for index := range input.Services[0].Shards {
		input.Services[0].Shards[index].Load = 1.5
	}
	assert.Assert(t, hasFinding(placement.Evaluate(input), placement.FindingZoneHeadroom), "90 slots are busy, 80 would remain")
}

func TestServiceInOneRackIsReported(t *testing.T) {
	input := cluster(4, 16, 0.1)
	assert.Assert(t, !hasFinding(placement.Evaluate(input), placement.FindingSingleRack))
	for index := range input.Backends {
		input.Backends[index].Backend.Location = topology.Location{Region: "test", Zone: "hall-1", Rack: "rack-1"}
	}
	assert.Assert(t, hasFinding(placement.Evaluate(input), placement.FindingSingleRack))
}

func TestFailingBackendReceivesNoShards(t *testing.T) {
	input := overloaded()
	input.Backends[3].FailureShare = 0.8
	for _, move := range placement.Decide(input) {
		assert.Assert(t, move.To != 4 || move.Kind == placement.KindSplit, "%+v", move)
	}
}

// For any sizes: when back ends join, at most their fair share of equally loaded
// shards moves, and a drain moves only shards of the draining back end.
func TestJoinAndDrainMoveOnlyNecessaryShards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before := rapid.IntRange(2, 8).Draw(t, "back ends")
		joined := rapid.IntRange(1, 4).Draw(t, "joined")
		perNode := rapid.IntRange(4, 16).Draw(t, "shards of each")
		input := cluster(before+joined, before*perNode, 0.3)
		for index := range input.Services[0].Shards {
			input.Services[0].Shards[index].Shard.Owner = topology.BackendID(1 + index%before)
		}
		input.Services[0].Service.Placement.MovesAtOnce = 1000
		input.Services[0].Service.Placement.MovesPerMinute = 1000
		moves := placement.Decide(input)
		fair := math.Ceil(float64(before*perNode) * float64(joined) / float64(before+joined))
		assert.Assert(t, countKind(moves, placement.KindBalance) <= int(fair), "%v; the fair share is %v", moves, fair)
		for _, move := range moves {
			assert.Assert(t, move.Kind == placement.KindSplit || move.To > topology.BackendID(before), "%+v", move)
		}
		leaving := cluster(before, before*perNode, 0.3)
		leaving.Services[0].Service.Placement.MovesAtOnce = 1000
		leaving.Backends[0].Backend.State = topology.BackendDraining
		for _, move := range placement.Decide(leaving) {
			assert.Assert(t, move.Kind == placement.KindSplit || move.From == 1 && move.Kind == placement.KindDrain, "%+v", move)
		}
	})
}
