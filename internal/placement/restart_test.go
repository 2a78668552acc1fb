package placement_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// restarting returns a cluster whose back end 2 announced a restart.
func restarting(weights topology.PlacementWeights) placement.Input {
	input := cluster(4, 64, 0.5)
	input.Services[0].Service.Placement.Weights = weights
	input.Backends[1].Leaving = true
	input.Backends[1].LeavingAt = input.Now
	return input
}

func TestAnnouncedRestartDrainsOnlyHotShards(t *testing.T) {
	input := restarting(topology.PlacementWeights{Imbalance: 1, Churn: 3, Unavailable: 2})
	assert.Equal(t, len(placement.Decide(input)), 0, "every shard waits for the restart")
	hot := &input.Services[0].Shards[1]
	assert.Equal(t, hot.Shard.Owner, topology.BackendID(2))
	hot.Load = 5
	moves := placement.Decide(input)
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].Kind, placement.KindDrain)
	assert.Equal(t, moves[0].Shard, hot.Shard.ID)
}

func TestWeightsChooseBetweenWaitingAndHandover(t *testing.T) {
	waiting := restarting(topology.PlacementWeights{Imbalance: 1, Churn: 3, Unavailable: 2})
	leaving := restarting(topology.PlacementWeights{Imbalance: 1, Churn: 1, Unavailable: 3})
	leaving.Services[0].Service.Placement.MovesAtOnce = 16
	assert.Equal(t, len(placement.Decide(waiting)), 0)
	assert.Equal(t, len(placement.Decide(leaving)), 16)
}

func TestRestartGraceExpires(t *testing.T) {
	input := restarting(topology.PlacementWeights{Imbalance: 1, Churn: 3, Unavailable: 2})
	input.Backends[1].Live = false
	input.Backends[1].LostAt = input.Now
	grace := placement.EffectiveGrace(input.Services[0].Service.Placement)
	input.Now += grace - time.Millisecond
	assert.Equal(t, len(placement.Decide(input)), 0)
	input.Now += time.Millisecond
	assert.Equal(t, len(placement.Decide(input)), 16)
}

// Guards against counting the time that running requests take to end as part of
// the restart grace period.
func TestRestartGraceBeginsWhenLeaseEnds(t *testing.T) {
	input := restarting(topology.PlacementWeights{Imbalance: 1, Churn: 3, Unavailable: 2})
	input.Now += 15 * time.Second
	input.Backends[1].Live = false
	input.Backends[1].LostAt = input.Now
	assert.Equal(t, len(placement.Decide(input)), 0)
}
