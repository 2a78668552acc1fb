package replica

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"gotest.tools/v3/assert"
)

// The commands of docs/MEASUREMENTS.md run these benchmarks.

// slowSyncFS is a file system whose syncs only sleep for a fixed time.
type slowSyncFS struct {
	vfs.FS
	delay time.Duration
}

type slowSyncFile struct {
	vfs.File
	delay time.Duration
}

func (f slowSyncFile) Sync() error {
	time.Sleep(f.delay)
	return nil
}

func (s slowSyncFS) Create(name string) (vfs.File, error) {
	file, err := s.FS.Create(name)
	return slowSyncFile{file, s.delay}, err
}

func (s slowSyncFS) Open(name string) (vfs.File, error) {
	file, err := s.FS.Open(name)
	return slowSyncFile{file, s.delay}, err
}

// countingMachine only counts the applied commands, so that applying them costs
// almost nothing.
type countingMachine struct{ applied int }

func (m *countingMachine) Apply(topology.Revision, []byte) any { m.applied++; return m.applied }
func (m *countingMachine) Snapshot() ([]byte, error)           { return []byte{1}, nil }
func (m *countingMachine) Restore([]byte) error                { return nil }

// benchGroup is a group of replicas connected over TCP on the loopback interface.
type benchGroup struct {
	b        *testing.B
	configs  []Config
	replicas []*Replica
}

func newBenchGroup(b *testing.B, size int, change func(*Config)) *benchGroup {
	b.Helper()
	g := &benchGroup{b: b}
	var peers []Peer
	for position := range size {
		listener, err := transport.Listen("127.0.0.1:0", transport.Options{})
		assert.NilError(b, err)
		config := Config{
			Group: 1, ID: topology.ReplicaID(position + 1), DataDir: b.TempDir(), Listener: listener,
			Listen: listener.Address(), Machine: &countingMachine{}, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		}
		change(&config)
		g.configs = append(g.configs, config)
		peers = append(peers, Peer{ID: config.ID, Address: listener.Address()})
	}
	for position := range g.configs {
		g.configs[position].Peers = peers
		replica, err := Start(g.configs[position])
		assert.NilError(b, err)
		g.replicas = append(g.replicas, replica)
	}
	b.Cleanup(g.stop)
	return g
}

func (g *benchGroup) stop() {
	for position, replica := range g.replicas {
		if replica != nil {
			assert.Check(g.b, replica.Stop())
			g.replicas[position] = nil
		}
	}
}

func (g *benchGroup) leader() int {
	for {
		for position, replica := range g.replicas {
			if replica != nil && replica.IsLeader() {
				return position
			}
		}
		time.Sleep(time.Millisecond)
	}
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func reportLatencies(b *testing.B, latencies []time.Duration) {
	slices.Sort(latencies)
	b.ReportMetric(quantile(latencies, 0.5).Seconds()*1e3, "p50-ms")
	b.ReportMetric(quantile(latencies, 0.99).Seconds()*1e3, "p99-ms")
}

// BenchmarkCommit commits 200-byte commands in a group of three, with 1 and with
// 64 concurrent proposers.
func BenchmarkCommit(b *testing.B) {
	for _, disk := range []string{"0ms", "500µs", "2ms", "8ms", "disk"} {
		for _, proposers := range []int{1, 64} {
			b.Run(fmt.Sprintf("sync=%s/proposers=%d", disk, proposers), func(b *testing.B) {
				delay, _ := time.ParseDuration(disk)
				g := newBenchGroup(b, 3, func(config *Config) {
					if disk != "disk" {
						config.FS, config.DataDir = slowSyncFS{vfs.NewMemory(1), delay}, "data"
						config.WAL.SegmentBytes = 256 << 10
					}
				})
				benchCommit(b, g.replicas[g.leader()], proposers)
			})
		}
	}
}

func benchCommit(b *testing.B, leader *Replica, proposers int) {
	command := make([]byte, 200)
	latencies := make([][]time.Duration, proposers)
	b.ResetTimer()
	var running sync.WaitGroup
	for proposer := range proposers {
		running.Go(func() {
			for i := proposer; i < b.N; i += proposers {
				began := time.Now()
				if _, err := leader.Propose(context.Background(), command); err != nil {
					b.Error(err)
					return
				}
				latencies[proposer] = append(latencies[proposer], time.Since(began))
			}
		})
	}
	running.Wait()
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
	reportLatencies(b, slices.Concat(latencies...))
}

// BenchmarkLeaderLoss measures the time from the stop of a leader, without a
// leadership transfer, until the next leader holds its lease.
func BenchmarkLeaderLoss(b *testing.B) {
	g := newBenchGroup(b, 3, func(*Config) {})
	var latencies []time.Duration
	for b.Loop() {
		previous := g.leader()
		assert.NilError(b, g.replicas[previous].Stop())
		g.replicas[previous] = nil
		began := time.Now()
		g.leader()
		latencies = append(latencies, time.Since(began))
		g.configs[previous].Listener = nil
		replica, err := Start(g.configs[previous])
		assert.NilError(b, err)
		g.replicas[previous] = replica
		time.Sleep(2 * consensus.DefaultElectionTimeout)
	}
	reportLatencies(b, latencies)
}

// stateMachine applies commands to the real control state.
type stateMachine struct{ state *controlstate.State }

func (m stateMachine) Apply(index topology.Revision, data []byte) any {
	command, err := controlstate.DecodeCommand(data)
	if err != nil {
		return err
	}
	result, _ := m.state.Apply(index, command)
	return result
}
func (m stateMachine) Snapshot() ([]byte, error)      { return m.state.Encode() }
func (m stateMachine) Freeze() func() ([]byte, error) { return m.state.Freeze() }
func (m stateMachine) Restore(data []byte) error      { return m.state.Decode(data) }

// fleetState returns a control state whose shards are spread over the back ends.
// Each shard has a full history.
func fleetState(b *testing.B, shards, backends int) *controlstate.State {
	b.Helper()
	state := controlstate.New(1)
	revision := topology.Revision(0)
	apply := func(command controlstate.Command) {
		configured, _ := state.Configuration()
		command.RequestID, command.Author, command.ExpectedRevision = fmt.Sprint(revision), "bench", configured
		assert.NilError(b, command.SetDigest())
		revision++
		result, _ := state.Apply(revision, command)
		assert.NilError(b, result.Err())
	}
	const services = 2
	for service := range services {
		name := fmt.Sprint("service-", service)
		apply(controlstate.Command{CreateService: &controlstate.CreateService{Service: topology.Service{Name: name, InitialShards: uint32(shards / services)}}})
		for number := range backends / services {
			apply(controlstate.Command{CreateBackend: &controlstate.CreateBackend{Service: name, Backend: topology.Backend{
				Name:         fmt.Sprintf("backend-%d-%d", service, number),
				Location:     topology.Location{Region: "se-west", Zone: topology.ZoneName(fmt.Sprint("hall-", number%19))},
				AgentAddress: fmt.Sprintf("127.%d.%d.%d:7201", service+1, number/250, number%250+1), Slots: 20, Connections: 100,
			}}})
		}
	}
	for epoch := range topology.Epoch(fleetEpoch) {
		revision++
		result, _ := state.Apply(revision, reassign(shards, 0, shards, epoch, backends))
		assert.Equal(b, result.OwnershipApplied, shards)
	}
	return state
}

// reassign returns one command that assigns the shards [from, to) to back ends.
func reassign(shards, from, to int, epoch topology.Epoch, backends int) controlstate.Command {
	batch := &controlstate.ChangeOwnership{}
	half := shards / 2
	for number := from; number < to; number++ {
		service := number / half
		batch.Changes = append(batch.Changes, controlstate.OwnershipChange{
			Shard: topology.ShardID{Service: topology.ServiceID(service + 1), Shard: topology.ShardNumber(number%half + 1)},
			Epoch: epoch, Event: ownership.EventAssign,
			To:     topology.BackendID(service*(backends/2) + (number+int(epoch))%(backends/2) + 1),
			Reason: "lease of the owner ended",
		})
	}
	return controlstate.Command{ChangeOwnership: batch}
}

const (
	fleetShards   = 75_000
	fleetBackends = 1_000
	zoneShards    = 4_000
	// fleetEpoch is the epoch of the shards of fleetState.
	fleetEpoch = controlstate.MaximumHistory
)

// BenchmarkZoneLoss reassigns 4,000 of 75,000 shards in one log entry, in a group
// of three that writes to the disk.
func BenchmarkZoneLoss(b *testing.B) {
	g := newBenchGroup(b, 3, func(config *Config) {
		config.Machine = stateMachine{fleetState(b, fleetShards, fleetBackends)}
		// Take no snapshots, because this state was not built from the log.
		config.SnapshotEntries, config.SnapshotBytes = 1<<40, 1<<60
	})
	leader := g.replicas[g.leader()]
	var latencies []time.Duration
	var encoding time.Duration
	bytes := 0
	epoch := topology.Epoch(fleetEpoch)
	for b.Loop() {
		began := time.Now()
		data, err := controlstate.EncodeCommand(reassign(fleetShards, 0, zoneShards, epoch, fleetBackends))
		assert.NilError(b, err)
		encoding += time.Since(began)
		result, err := leader.Propose(context.Background(), data)
		assert.NilError(b, err)
		latencies = append(latencies, time.Since(began))
		assert.Equal(b, result.(controlstate.Result).OwnershipApplied, zoneShards)
		bytes = len(data)
		epoch++
	}
	b.ReportMetric(float64(bytes), "entry-bytes")
	b.ReportMetric(encoding.Seconds()*1e3/float64(b.N), "encode-ms")
	reportLatencies(b, latencies)
}

// BenchmarkApply applies the log entry of a lost zone to states of up to 75,000
// shards.
func BenchmarkApply(b *testing.B) {
	for _, shards := range []int{1_000, 10_000, fleetShards} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			machine := stateMachine{fleetState(b, shards, fleetBackends)}
			revision := machine.state.Revision()
			epoch := topology.Epoch(fleetEpoch)
			for b.Loop() {
				b.StopTimer()
				data, err := controlstate.EncodeCommand(reassign(shards, 0, min(shards, zoneShards), epoch, fleetBackends))
				assert.NilError(b, err)
				b.StartTimer()
				revision++
				epoch++
				machine.Apply(revision, data)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(min(shards, zoneShards)), "ns/change")
		})
	}
}

// BenchmarkSnapshot measures three steps separately: to encode the state, to
// freeze it, which runs on the control goroutine, and to restore it.
func BenchmarkSnapshot(b *testing.B) {
	for _, shards := range []int{1_000, 10_000, fleetShards} {
		machine := stateMachine{fleetState(b, shards, fleetBackends)}
		data, err := machine.Snapshot()
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("shards=%d/encode", shards), func(b *testing.B) {
			for b.Loop() {
				_, err := machine.Snapshot()
				assert.NilError(b, err)
			}
			b.ReportMetric(float64(len(data)), "snapshot-bytes")
			b.ReportMetric(float64(len(data))/float64(shards), "bytes/shard")
		})
		b.Run(fmt.Sprintf("shards=%d/freeze", shards), func(b *testing.B) {
			for b.Loop() {
				machine.Freeze()
			}
		})
		b.Run(fmt.Sprintf("shards=%d/restore", shards), func(b *testing.B) {
			for b.Loop() {
				assert.NilError(b, machine.Restore(data))
			}
			b.ReportMetric(stateHeapBytes(b, data)/float64(shards), "heap-bytes/shard")
		})
	}
}

// stateHeapBytes returns the heap use of a restored state.
func stateHeapBytes(b *testing.B, data []byte) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	state := controlstate.New(1)
	assert.NilError(b, state.Decode(data))
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(state)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkRecovery measures the restart of a single replica whose log has
// entries after its snapshot, until all of them are applied.
func BenchmarkRecovery(b *testing.B) {
	for _, entries := range []int{1_000, 10_000, 75_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			g := newBenchGroup(b, 1, func(config *Config) { config.SnapshotEntries, config.SnapshotBytes = 1<<40, 1<<60 })
			g.leader()
			var proposing sync.WaitGroup
			for range entries / 100 {
				proposing.Add(100)
				g.replicas[0].Post(func() {
					for range 100 {
						g.replicas[0].ProposeAsync(make([]byte, 200), func(any, error) { proposing.Done() })
					}
				})
				proposing.Wait()
			}
			var opening, applying []time.Duration
			var heap uint64
			for b.Loop() {
				assert.NilError(b, g.replicas[0].Stop())
				g.configs[0].Listener = nil
				g.configs[0].Machine = &countingMachine{}
				began := time.Now()
				replica, err := Start(g.configs[0])
				assert.NilError(b, err)
				opening = append(opening, time.Since(began))
				g.replicas[0] = replica
				for replica.Status().Applied < uint64(entries) {
					time.Sleep(time.Millisecond)
				}
				applying = append(applying, time.Since(began))
				var memory runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&memory)
				heap = memory.HeapAlloc
			}
			slices.Sort(opening)
			slices.Sort(applying)
			b.ReportMetric(quantile(opening, 0.5).Seconds()*1e3, "open-ms")
			b.ReportMetric(quantile(applying, 0.5).Seconds()*1e3, "applied-ms")
			b.ReportMetric(float64(heap)/(1<<20), "heap-MB")
		})
	}
}

// BenchmarkCatchUp restarts a follower that missed a number of changes, each of
// 100 shards, and counts the bytes that the leader sends until it has caught up.
func BenchmarkCatchUp(b *testing.B) {
	for _, missed := range []int{10, 300, 3_000} {
		b.Run(fmt.Sprintf("missed=%d", missed), func(b *testing.B) {
			var bytes []uint64
			var took []time.Duration
			for b.Loop() {
				sent, duration := catchUp(b, missed)
				bytes, took = append(bytes, sent), append(took, duration)
			}
			slices.Sort(bytes)
			b.ReportMetric(float64(bytes[len(bytes)/2]), "sent-bytes")
			b.ReportMetric(float64(bytes[len(bytes)/2])/float64(missed), "sent-bytes/change")
			reportLatencies(b, took)
		})
	}
}

func catchUp(b *testing.B, missed int) (uint64, time.Duration) {
	g := newBenchGroup(b, 3, func(config *Config) {
		config.Machine = stateMachine{controlstate.New(1)}
		config.FS, config.DataDir = vfs.NewMemory(1), "data"
		config.WAL.SegmentBytes = 1 << 20
	})
	defer g.stop()
	leader := g.leader()
	populated := populate(b, g.replicas[leader], fleetShards)
	stopped := (leader + 1) % len(g.replicas)
	waitApplied(g.replicas[stopped], uint64(populated))
	assert.NilError(b, g.replicas[stopped].Stop())
	g.replicas[stopped] = nil
	const changedShards = 100
	var last uint64
	for change := range missed {
		from := change * changedShards % fleetShards
		epoch := topology.Epoch(1 + change*changedShards/fleetShards)
		last = uint64(propose(b, g.replicas[leader], reassign(fleetShards, from, from+changedShards, epoch, 2)))
	}
	before := g.replicas[leader].BytesSent()
	g.configs[stopped].Listener = nil
	g.configs[stopped].Machine = stateMachine{controlstate.New(1)}
	began := time.Now()
	replica, err := Start(g.configs[stopped])
	assert.NilError(b, err)
	g.replicas[stopped] = replica
	waitApplied(replica, last)
	return g.replicas[leader].BytesSent() - before, time.Since(began)
}

func waitApplied(replica *Replica, index uint64) {
	for replica.Status().Applied < index {
		time.Sleep(time.Millisecond)
	}
}

func propose(b *testing.B, leader *Replica, command controlstate.Command) topology.Revision {
	b.Helper()
	data, err := controlstate.EncodeCommand(command)
	assert.NilError(b, err)
	result, err := leader.Propose(context.Background(), data)
	assert.NilError(b, err)
	assert.NilError(b, result.(controlstate.Result).Err())
	if command.ChangeOwnership != nil {
		assert.Equal(b, result.(controlstate.Result).OwnershipApplied, len(command.ChangeOwnership.Changes))
	}
	return result.(controlstate.Result).Revision
}

// populate proposes commands that create two services with shards and one back
// end each.
func populate(b *testing.B, leader *Replica, shards int) topology.Revision {
	b.Helper()
	revision := topology.Revision(0)
	operator := func(command controlstate.Command) {
		command.RequestID, command.Author, command.ExpectedRevision = fmt.Sprint("populate-", revision), "bench", revision
		assert.NilError(b, command.SetDigest())
		revision = propose(b, leader, command)
	}
	for service := range 2 {
		name := fmt.Sprint("service-", service)
		operator(controlstate.Command{CreateService: &controlstate.CreateService{Service: topology.Service{Name: name, InitialShards: uint32(shards / 2)}}})
		operator(controlstate.Command{CreateBackend: &controlstate.CreateBackend{Service: name, Backend: topology.Backend{
			Name: "backend", Location: topology.Location{Region: "se-west", Zone: "hall-1"},
			AgentAddress: fmt.Sprintf("127.%d.0.1:7201", service+1), Slots: 20, Connections: 100,
		}}})
	}
	return propose(b, leader, reassign(shards, 0, shards, 0, 2))
}
