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

const (
	targetShards   = 75_000
	targetBackends = 1_100
	targetServices = 10
	targetZones    = 19
)

// bigFleet is a leader of the target fleet whose back ends all hold leases.
type bigFleet struct {
	b           *testing.B
	now         time.Duration
	state       *controlstate.State
	coordinator *coordinator.Coordinator
	index       topology.Revision
}

func newBigFleet(b *testing.B) *bigFleet {
	f := &bigFleet{b: b, now: time.Minute, state: controlstate.New(1)}
	f.coordinator = coordinator.New(coordinator.Config{}, f.state)
	for service := range targetServices {
		f.configure(controlstate.Command{CreateService: &controlstate.CreateService{Service: topology.Service{
			Name: serviceOf(service), InitialShards: targetShards / targetServices,
		}}})
	}
	for number := range targetBackends {
		f.configure(controlstate.Command{CreateBackend: &controlstate.CreateBackend{
			Service: serviceOf(number % targetServices),
			Backend: topology.Backend{
				Name: fmt.Sprint("b", number), Location: topology.Location{Region: "r", Zone: zoneOf(number)},
				AgentAddress: fmt.Sprintf("127.%d.%d.1:1", 1+number/250, number%250), Slots: 20, Connections: 100,
			},
		}})
	}
	f.apply(controlstate.Command{ChangeOwnership: assignAll()})
	f.coordinator.BecomeLeader(f.now)
	for number := range targetBackends {
		f.coordinator.Attach(topology.BackendID(number+1), &wire.Hello{Boot: 1, Applied: f.index}, f.now)
	}
	f.now += lease
	f.renewAll(func(int) bool { return true })
	return f
}

func serviceOf(number int) string { return fmt.Sprint("service-", number) }

func zoneOf(number int) topology.ZoneName {
	return topology.ZoneName(fmt.Sprint("zone-", number/targetServices%targetZones))
}

func assignAll() *controlstate.ChangeOwnership {
	batch := &controlstate.ChangeOwnership{}
	for number := range targetShards {
		service := number % targetServices
		batch.Changes = append(batch.Changes, controlstate.OwnershipChange{
			Shard: topology.ShardID{Service: topology.ServiceID(service + 1), Shard: topology.ShardNumber(number/targetServices + 1)},
			Event: ownership.EventAssign,
			To:    topology.BackendID(service + 1 + targetServices*(number/targetServices%(targetBackends/targetServices))),
		})
	}
	return batch
}

func (f *bigFleet) configure(command controlstate.Command) {
	command.RequestID, command.Author = fmt.Sprint("r", f.index), "anna"
	command.ExpectedRevision, _ = f.state.Configuration()
	f.apply(command)
}

func (f *bigFleet) apply(command controlstate.Command) {
	f.index++
	result, delta := f.state.Apply(f.index, command)
	if result.Err() != nil {
		f.b.Fatal(result.Err())
	}
	f.coordinator.ShardsChanged(delta.Shards, f.now)
}

// renewAll renews the leases of the back ends chosen by their number.
func (f *bigFleet) renewAll(chosen func(number int) bool) {
	for number := range targetBackends {
		if chosen(number) {
			f.coordinator.Renew(topology.BackendID(number+1), 1, &wire.Renew{Applied: f.index}, f.now)
		}
	}
}

// settle lets first decisions pass.
func (f *bigFleet) settle() {
	for range 5 {
		if command, ok := f.coordinator.Tick(f.now, 0); ok {
			f.apply(command)
			f.coordinator.BatchDone(f.now)
		}
		f.now += tick
	}
}

// BenchmarkTickBetweenDecisions is what the leader does each 10 ms.
func BenchmarkTickBetweenDecisions(b *testing.B) {
	f := newBigFleet(b)
	f.settle()
	b.ReportAllocs()
	for b.Loop() {
		f.coordinator.Tick(f.now, 0)
	}
}

// BenchmarkDecision is what it does each second.
func BenchmarkDecision(b *testing.B) {
	f := newBigFleet(b)
	f.settle()
	for b.Loop() {
		f.now += time.Second
		f.renewAll(func(int) bool { return true })
		f.coordinator.Tick(f.now, 0)
		f.coordinator.BatchDone(f.now)
	}
}

func BenchmarkRenew(b *testing.B) {
	f := newBigFleet(b)
	message := &wire.Renew{Applied: f.index}
	number := 0
	for b.Loop() {
		number++
		f.coordinator.Renew(topology.BackendID(number%targetBackends+1), 1, message, f.now)
	}
}

// BenchmarkZoneLoss loses one zone of 19 and finds owners for its shards: the
// tick that decides, the command's way through the codec, and its application.
func BenchmarkZoneLoss(b *testing.B) {
	var decide, codec, apply time.Duration
	shards := 0
	for range b.N {
		b.StopTimer()
		f := newBigFleet(b)
		f.settle()
		f.now += lease / 2
		f.renewAll(func(number int) bool { return zoneOf(number) != "zone-3" })
		f.now += lease/2 + tick
		b.StartTimer()
		begun := time.Now()
		command, ok := f.coordinator.Tick(f.now, 0)
		decided := time.Now()
		if !ok {
			b.Fatal("nothing decided")
		}
		data, err := controlstate.EncodeCommand(command)
		if err != nil {
			b.Fatal(err)
		}
		decoded, err := controlstate.DecodeCommand(data)
		if err != nil {
			b.Fatal(err)
		}
		coded := time.Now()
		f.apply(decoded)
		f.coordinator.BatchDone(f.now)
		decide += decided.Sub(begun)
		codec += coded.Sub(decided)
		apply += time.Since(coded)
		shards = len(command.ChangeOwnership.Changes)
		b.ReportMetric(float64(len(data)), "bytes")
	}
	b.ReportMetric(float64(shards), "shards")
	b.ReportMetric(float64(decide.Microseconds())/1000/float64(b.N), "ms-decide")
	b.ReportMetric(float64(codec.Microseconds())/1000/float64(b.N), "ms-codec")
	b.ReportMetric(float64(apply.Microseconds())/1000/float64(b.N), "ms-apply")
}
