package controlstate_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// The fleet that the design is built for.
const (
	targetShards   = 75_000
	targetBackends = 1_100
	targetServices = 10
)

// fleetOf returns a log with services whose shards all have an owner.
func fleetOf(shards, backends int) *log {
	l := newLog()
	for service := range targetServices {
		l.apply(l.operator(fmt.Sprint("s", service), createService(fmt.Sprint("service-", service), uint32(shards/targetServices))))
	}
	for number := range backends {
		service := fmt.Sprint("service-", number%targetServices)
		l.apply(l.operator(fmt.Sprint("b", number), func(command *controlstate.Command) {
			createBackend(service, number)(command)
			command.CreateBackend.Backend.AgentAddress = fmt.Sprintf("127.%d.%d.1:7201", 1+number/250, number%250)
		}))
	}
	l.apply(l.assignAll(shards, backends))
	return l
}

// assignAll gives every shard to a back end of its service, in turn.
func (l *log) assignAll(shards, backends int) controlstate.Command {
	batch := &controlstate.ChangeOwnership{}
	each := backends / targetServices
	for service := range targetServices {
		for number := range shards / targetServices {
			batch.Changes = append(batch.Changes, controlstate.OwnershipChange{
				Shard:  topology.ShardID{Service: topology.ServiceID(service + 1), Shard: topology.ShardNumber(number + 1)},
				Event:  ownership.EventAssign,
				To:     topology.BackendID(service + 1 + targetServices*(number%each)),
				Reason: "no owner; back end 1042 is the least utilised",
			})
		}
	}
	return controlstate.Command{ChangeOwnership: batch}
}

func BenchmarkApplyOperatorsChange(b *testing.B) {
	l := fleetOf(targetShards, targetBackends)
	b.ResetTimer()
	for number := range b.N {
		result, _ := l.apply(l.operator(fmt.Sprint("u", number), func(command *controlstate.Command) {
			command.UpdateService = &controlstate.UpdateService{
				Service: topology.Service{Name: "service-0", InitialShards: targetShards / targetServices},
			}
		}))
		if result.Err() != nil {
			b.Fatal(result.Err())
		}
	}
}

// BenchmarkApplyZoneLoss takes 4,000 shards from their owners in one batch.
func BenchmarkApplyZoneLoss(b *testing.B) {
	l := fleetOf(targetShards, targetBackends)
	const lost = 4_000
	b.ResetTimer()
	for round := range b.N {
		batch := &controlstate.ChangeOwnership{}
		for number := range lost {
			id := topology.ShardID{Service: topology.ServiceID(number%targetServices + 1), Shard: topology.ShardNumber(number/targetServices + 1)}
			batch.Changes = append(batch.Changes, controlstate.OwnershipChange{
				Shard: id, Epoch: topology.Epoch(round + 1), Event: ownership.EventAssign,
				To:     topology.BackendID(number%targetServices + 1 + targetServices*((round+number)%100)),
				Reason: "owner 17 is lost; back end 1042 is the least utilised",
			})
		}
		result, _ := l.apply(controlstate.Command{ChangeOwnership: batch})
		if result.OwnershipApplied != lost {
			b.Fatalf("applied %d", result.OwnershipApplied)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/lost, "µs/shard")
}

func BenchmarkZoneLossCommandCodec(b *testing.B) {
	l := fleetOf(targetShards, targetBackends)
	command := l.assignAll(4_000, targetBackends)
	data, err := controlstate.EncodeCommand(command)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := controlstate.EncodeCommand(command); err != nil {
			b.Fatal(err)
		}
		if _, err := controlstate.DecodeCommand(data); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "bytes")
}

func BenchmarkSnapshotAndRestore(b *testing.B) {
	for _, shards := range []int{1_000, 10_000, targetShards} {
		l := fleetOf(shards, targetBackends)
		data, err := l.state.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("encode/", shards), func(b *testing.B) {
			for b.Loop() {
				if _, err := l.state.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
		b.Run(fmt.Sprint("decode/", shards), func(b *testing.B) {
			for b.Loop() {
				if err := controlstate.New(1).Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkMemory reports the heap that a state holds, with one entry of history
// per shard.
func BenchmarkMemory(b *testing.B) {
	for _, shards := range []int{1_000, 10_000, targetShards} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			var held uint64
			for b.Loop() {
				before := heap()
				l := fleetOf(shards, targetBackends)
				held = heap() - before
				runtime.KeepAlive(l)
			}
			b.ReportMetric(float64(held)/float64(shards), "B/shard")
		})
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
