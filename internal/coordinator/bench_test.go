package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/coordinator"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const benchServices = 20

// benchState returns services whose shards are spread over back ends that have
// renewed their leases and reported their load.
func benchState(b *testing.B, shards, backends int) (*controlstate.State, *coordinator.Coordinator, time.Duration) {
	state := controlstate.New(1)
	var index topology.Revision
	apply := func(command controlstate.Command) {
		index++
		if result, _ := state.Apply(index, command); result.Err() != nil {
			b.Fatal(result.Err())
		}
	}
	configure := func(edit func(c *controlstate.Command)) {
		configured, _ := state.Configuration()
		command := controlstate.Command{RequestID: fmt.Sprint("r", index), Author: "anna", ExpectedRevision: configured}
		edit(&command)
		apply(command)
	}
	for service := range benchServices {
		configure(func(c *controlstate.Command) {
			c.CreateService = &controlstate.CreateService{Service: topology.Service{
				Name: fmt.Sprint("service-", service), InitialShards: uint32(shards / benchServices),
			}}
		})
	}
	for backend := range backends {
		configure(func(c *controlstate.Command) {
			c.CreateBackend = &controlstate.CreateBackend{Service: fmt.Sprint("service-", backend%benchServices), Backend: topology.Backend{
				Name: fmt.Sprint("backend-", backend), AgentAddress: fmt.Sprintf("127.0.%d.%d:7201", backend/250+1, backend%250+1),
				Location: topology.Location{Region: "r", Zone: topology.ZoneName(fmt.Sprint("zone-", backend%19))}, Slots: 20, Connections: 100,
			}}
		})
	}
	c := coordinator.New(coordinator.Config{}, state)
	now := time.Minute
	c.BecomeLeader(now)
	batch := &controlstate.ChangeOwnership{}
	for _, service := range state.Services() {
		for shard := range state.Shards(service.ID) {
			// Back end IDs begin at one, and every 20th belongs to this service.
			owner := int(service.ID) + benchServices*(int(shard.ID.Shard)%(backends/benchServices))
			batch.Changes = append(batch.Changes, controlstate.OwnershipChange{
				Shard: shard.ID, Event: ownership.EventAssign, To: topology.BackendID(owner),
			})
		}
	}
	apply(controlstate.Command{ChangeOwnership: batch})
	if owned := len(state.Unassigned()); owned > 0 {
		b.Fatalf("%d shards have no owner", owned)
	}
	now += time.Second
	for range 3 {
		now += coordinator.DefaultDecisionInterval
		renewAll(state, c, now)
	}
	return state, c, now
}

// renewAll renews the leases of all back ends and reports their load.
func renewAll(state *controlstate.State, c *coordinator.Coordinator, now time.Duration) {
	for _, backend := range state.Backends() {
		renew := wire.Renew{Applied: state.Revision()}
		for _, shard := range state.OwnedBy(backend.ID) {
			renew.Load = append(renew.Load, wire.ShardLoad{Shard: shard.Shard, Requests: 133, BusyMicros: 133_000})
		}
		c.Attach(backend.ID, &wire.Hello{Boot: uint64(backend.ID), Applied: state.Revision()}, now)
		c.Renew(backend.ID, uint64(backend.ID), &renew, now)
	}
}

// BenchmarkDecision measures one placement decision over all shards. It runs on
// the goroutine that also renews leases, so renewals wait for that long.
func BenchmarkDecision(b *testing.B) {
	for _, shards := range []int{2_000, 10_000, 30_000, 75_000} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			_, c, now := benchState(b, shards, 1100)
			b.ReportAllocs()
			for b.Loop() {
				now += time.Millisecond // leases stay valid; ConfigurationChanged triggers a decision
				c.ConfigurationChanged(now)
				c.Tick(now, 0)
				c.BatchDone(now)
			}
		})
	}
}

// BenchmarkIdleTick measures a tick that has nothing to do; there are 100 a second.
func BenchmarkIdleTick(b *testing.B) {
	_, c, now := benchState(b, 75_000, 1100)
	c.Tick(now, 0)
	c.BatchDone(now)
	for b.Loop() {
		c.Tick(now, 0)
	}
}

// BenchmarkRenewal measures the leader's part of one renewal, without the network.
func BenchmarkRenewal(b *testing.B) {
	state, c, now := benchState(b, 75_000, 1100)
	renew := wire.Renew{Applied: state.Revision(), LoadOmitted: true}
	for b.Loop() {
		c.Renew(1, 1, &renew, now)
	}
}

// BenchmarkApplyBatch applies a batch that reassigns all shards of one service.
func BenchmarkApplyBatch(b *testing.B) {
	state, _, _ := benchState(b, 75_000, 1100)
	index := state.Revision()
	b.ReportAllocs()
	for b.Loop() {
		batch := &controlstate.ChangeOwnership{}
		for shard := range state.Shards(1) {
			batch.Changes = append(batch.Changes, controlstate.OwnershipChange{
				Shard: shard.ID, Epoch: shard.Epoch, Event: ownership.EventAssign, To: topology.BackendID(1 + benchServices*(int(shard.Epoch)%50)),
				Reason: "owner 1001 is lost; back end 1021 is the least utilised",
			})
		}
		index++
		if result, _ := state.Apply(index, controlstate.Command{ChangeOwnership: batch}); result.OwnershipApplied != len(batch.Changes) {
			b.Fatal(result)
		}
	}
	b.ReportMetric(float64(state.ShardCount(1)), "changes/op")
}
