package hollow

import (
	"errors"
	"math"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

func TestFitLineFindsSlopeConstantAndError(t *testing.T) {
	line, err := FitLine([]Point{{1, 5}, {2, 7}, {3, 9}, {4, 11}})
	assert.NilError(t, err)
	assert.Assert(t, math.Abs(line.Slope-2) < 1e-9)
	assert.Assert(t, math.Abs(line.Constant-3) < 1e-9)
	assert.Assert(t, line.SlopeError < 1e-9)
	assert.Equal(t, line.From, 1.0)
	assert.Equal(t, line.To, 4.0)

	// Residuals are 0.1, -0.3, 0.3, -0.1: sum of squares 0.2, two degrees of
	// freedom, sum of squares of sizes 5.
	line, err = FitLine([]Point{{1, 5.1}, {2, 6.7}, {3, 9.3}, {4, 10.9}})
	assert.NilError(t, err)
	assert.Assert(t, math.Abs(line.Slope-2) < 1e-9)
	assert.Assert(t, math.Abs(line.SlopeError-math.Sqrt(0.2/2/5)) < 1e-9)
	assert.Assert(t, math.Abs(line.RootMeanSquare-math.Sqrt(0.2/4)) < 1e-9)
}

func TestFitLineRefusesWhatDeterminesNoLine(t *testing.T) {
	for _, points := range [][]Point{nil, {{1, 1}, {2, 2}}, {{1, 1}, {1, 2}, {1, 3}}} {
		_, err := FitLine(points)
		assert.ErrorIs(t, err, errFewSizes)
	}
}

func TestCheckClaimsTellsAChangeOfOwnerFromTwoOwners(t *testing.T) {
	shard := topology.ShardID{Service: 1, Shard: 1}
	at := func(backend topology.BackendID, epoch topology.Epoch, second int) claim {
		return claim{shard, epoch, backend, time.Unix(int64(second), 0)}
	}
	assert.NilError(t, checkClaims([]claim{at(1, 1, 1), at(2, 2, 2), at(2, 2, 3)}))

	var two *TwoOwnersError
	assert.Assert(t, errors.As(checkClaims([]claim{at(1, 1, 1), at(2, 1, 1)}), &two), "same epoch")
	assert.Assert(t, errors.As(checkClaims([]claim{at(2, 2, 2), at(1, 1, 3)}), &two), "old owner after the new one")
	assert.Equal(t, two.Later.Backend, topology.BackendID(1))
	assert.Assert(t, errors.As(checkClaims([]claim{at(1, 1, 3), at(2, 2, 2)}), &two), "the order of time counts")
}

func TestPlanSpreadsEveryServiceOverZonesAndLosesWholeRacks(t *testing.T) {
	plan := Plan{Controllers: 3, Agents: 1100, Routers: 10, Services: 20, Shards: 75000}
	assert.Equal(t, len(plan.validate()), 0)
	zonesOf := make(map[int]map[topology.ZoneName]bool)
	addresses := make(map[string]bool)
	for agent := range plan.Agents {
		service := plan.serviceOf(agent)
		if zonesOf[service] == nil {
			zonesOf[service] = make(map[topology.ZoneName]bool)
		}
		zonesOf[service][locationOf(agent).Zone] = true
		addresses[agentAddress(agent)] = true
	}
	assert.Equal(t, len(addresses), plan.Agents)
	assert.Equal(t, len(zonesOf), plan.Services)
	for service, in := range zonesOf {
		assert.Equal(t, len(in), zones, "service %d", service)
	}
	assert.Equal(t, len(plan.agentsOf(LossNode, 0)), 1)
	assert.Equal(t, len(plan.agentsOf(LossRack, 1)), nodesPerRack)
	assert.Equal(t, len(plan.agentsOf(LossZone, 2)), 58)
	shards := 0
	for service := range plan.Services {
		shards += plan.shardsOf(service)
	}
	assert.Equal(t, shards, plan.Shards)
	assert.Equal(t, len(Plan{}.validate()), 3, "controllers, routers and services")
}

// table has one service with shards owned by the given back ends.
func snapshotOwnedBy(revision topology.Revision, owners ...topology.BackendID) wire.RoutingSnapshot {
	routes := wire.ServiceRoutes{Service: topology.Service{ID: 1, Name: "one"}}
	for i, owner := range owners {
		routes.Shards = append(routes.Shards, topology.Shard{
			ID:    topology.ShardID{Service: 1, Shard: topology.ShardNumber(i + 1)},
			Start: topology.KeyHash(i << 32), Phase: topology.ShardOwned, Owner: owner, Epoch: 1,
		})
	}
	return wire.RoutingSnapshot{Revision: revision, Services: []wire.ServiceRoutes{routes}}
}

func ownerChange(from, to topology.Revision, table *routing.Table, number topology.ShardNumber, owner topology.BackendID) wire.RoutingDelta {
	shard, _ := table.Shard(topology.ShardID{Service: 1, Shard: number})
	changed := *shard
	changed.Owner = owner
	changed.Epoch++
	return wire.RoutingDelta{From: from, To: to, Shards: []topology.Shard{changed}}
}

func TestNodesShareEqualTablesAndTheEndOfALossIsSeen(t *testing.T) {
	tables := newSharedTables()
	first, err := tables.FromSnapshot(snapshotOwnedBy(5, 1, 1, 2))
	assert.NilError(t, err)
	second, err := tables.FromSnapshot(snapshotOwnedBy(5, 1, 1, 2))
	assert.NilError(t, err)
	assert.Assert(t, first == second)

	tables.startWatch([]topology.BackendID{1}, first)
	half, err := tables.Apply(first, ownerChange(5, 6, first, 1, 2))
	assert.NilError(t, err)
	again, err := tables.Apply(second, ownerChange(5, 6, first, 1, 2))
	assert.NilError(t, err)
	assert.Assert(t, half == again)
	seen := tables.watched()
	assert.Equal(t, seen.before, 2)
	assert.Equal(t, seen.first, topology.Revision(6))
	assert.Equal(t, seen.done, topology.Revision(0))

	_, err = tables.Apply(half, ownerChange(6, 7, half, 2, 2))
	assert.NilError(t, err)
	assert.Equal(t, tables.watched().done, topology.Revision(7))
}

func TestTablesOfOtherRevisionsAreNotShared(t *testing.T) {
	tables := newSharedTables()
	old, err := tables.FromSnapshot(snapshotOwnedBy(5, 1))
	assert.NilError(t, err)
	other, err := tables.FromSnapshot(snapshotOwnedBy(6, 2))
	assert.NilError(t, err)
	assert.Assert(t, old != other)
	_, err = tables.Apply(other, ownerChange(5, 6, other, 1, 1))
	var gap *routing.RevisionGapError
	assert.Assert(t, errors.As(err, &gap))
}

func TestUsageOfThisProcess(t *testing.T) {
	usage, err := UsageOf(os.Getpid())
	assert.NilError(t, err)
	assert.Assert(t, usage.Resident > 1<<20)
	assert.Assert(t, usage.ResidentPeak >= usage.Resident/2)
	assert.Assert(t, usage.Descriptors > 0)
	assert.Assert(t, readRuntime().Heap > 0)
	_, err = UsageOf(-1)
	assert.Assert(t, errors.Is(err, os.ErrNotExist))
}
