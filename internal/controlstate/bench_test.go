package controlstate_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Size of the fleet that the design supports.
const (
	fleetShards   = 75_000
	fleetBackends = 1_100
	fleetServices = 10
)

// newFleetLog returns a log with services whose shards are all assigned.
func newFleetLog(shards, backends int) *log {
	l := newLog()
	for service := range fleetServices {
		l.apply(l.operator(fmt.Sprint("s", service), createService(fmt.Sprint("service-", service), uint32(shards/fleetServices))))
	}
	for number := range backends {
		service := fmt.Sprint("service-", number%fleetServices)
		l.apply(l.operator(fmt.Sprint("b", number), func(command *controlstate.Command) {
			createBackend(service, number)(command)
			command.CreateBackend.Backend.AgentAddress = fmt.Sprintf("127.%d.%d.1:7201", 1+number/250, number%250)
		}))
	}
	l.apply(l.assignAll(shards, backends))
	return l
}

// assignAll assigns every shard to a back end of its service, round robin.
func (l *log) assignAll(shards, backends int) controlstate.Command {
	batch := &controlstate.ChangeOwnership{}
	backendsPerService := backends / fleetServices
	for service := range fleetServices {
		for number := range shards / fleetServices {
			batch.Changes = append(batch.Changes, controlstate.OwnershipChange{
				Shard:  topology.ShardID{Service: topology.ServiceID(service + 1), Shard: topology.ShardNumber(number + 1)},
				Event:  ownership.EventAssign,
				To:     topology.BackendID(service + 1 + fleetServices*(number%backendsPerService)),
				Reason: "no owner; back end 1042 is the least utilised",
			})
		}
	}
	return controlstate.Command{ChangeOwnership: batch}
}

func BenchmarkApplyOperatorsChange(b *testing.B) {
	l := newFleetLog(fleetShards, fleetBackends)
	b.ResetTimer()
	for number := range b.N {
		result, _ := l.apply(l.operator(fmt.Sprint("u", number), func(command *controlstate.Command) {
			command.UpdateService = &controlstate.UpdateService{
				Service: topology.Service{Name: "service-0", InitialShards: fleetShards / fleetServices},
			}
		}))
		if result.Err() != nil {
			b.Fatal(result.Err())
		}
	}
}

// BenchmarkApplyZoneLoss reassigns 4,000 shards to new owners in one batch.
func BenchmarkApplyZoneLoss(b *testing.B) {
	l := newFleetLog(fleetShards, fleetBackends)
	const lost = 4_000
	b.ResetTimer()
	for round := range b.N {
		batch := &controlstate.ChangeOwnership{}
		for number := range lost {
			id := topology.ShardID{Service: topology.ServiceID(number%fleetServices + 1), Shard: topology.ShardNumber(number/fleetServices + 1)}
			batch.Changes = append(batch.Changes, controlstate.OwnershipChange{
				Shard: id, Epoch: topology.Epoch(round + 1), Event: ownership.EventAssign,
				To:     topology.BackendID(number%fleetServices + 1 + fleetServices*((round+number)%100)),
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
	l := newFleetLog(fleetShards, fleetBackends)
	command := l.assignAll(4_000, fleetBackends)
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
	for _, shards := range []int{1_000, 10_000, fleetShards} {
		l := newFleetLog(shards, fleetBackends)
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

// BenchmarkMemory measures the heap use of a state that has one history entry
// per shard.
func BenchmarkMemory(b *testing.B) {
	for _, shards := range []int{1_000, 10_000, fleetShards} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			var used uint64
			for b.Loop() {
				before := heapBytes()
				l := newFleetLog(shards, fleetBackends)
				used = heapBytes() - before
				runtime.KeepAlive(l)
			}
			b.ReportMetric(float64(used)/float64(shards), "B/shard")
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
