package agent

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
	"github.com/quartzdock/quartzdock/lab/backend"
)

// benchSlots exceeds benchCallers, so that no request waits in a queue.
const (
	benchSlots   = 20
	benchCallers = 16
)

func benchConfig(config *Config) {
	shortClockBound(config)
	config.Log = slog.New(slog.DiscardHandler)
	config.WarmConnections = benchSlots
}

// processCPU returns the processor time that this process has used.
func processCPU() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// runBenchmark calls do b.N times from several callers and reports latency,
// processor time and requests per second. The processor time is that of caller,
// agent and back end together: the agent's own is the difference from a direct
// run.
func runBenchmark(b *testing.B, callers int, do func() error) {
	b.Helper()
	b.ReportAllocs()
	var next atomic.Int64
	var group sync.WaitGroup
	var mutex sync.Mutex
	var all []time.Duration
	before := processCPU()
	b.ResetTimer()
	for range callers {
		group.Go(func() {
			took := make([]time.Duration, 0, b.N/callers+1)
			for next.Add(1) <= int64(b.N) {
				began := time.Now()
				if err := do(); err != nil {
					b.Error(err)
					return
				}
				took = append(took, time.Since(began))
			}
			mutex.Lock()
			defer mutex.Unlock()
			all = append(all, took...)
		})
	}
	group.Wait()
	b.StopTimer()
	used := processCPU() - before
	slices.Sort(all)
	b.ReportMetric(float64(used.Microseconds())/float64(b.N), "cpu-µs/op")
	b.ReportMetric(float64(all[len(all)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(all[len(all)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

// lookup sends one request on a connection of the pool and reads the response.
func lookup(pool *upstream.Pool, request *http.Request) error {
	response, err := pool.Do(context.Background(), request)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d, %s", response.StatusCode, response.Header.Get(wire.HeaderReason))
	}
	return err
}

func newBenchPool(b *testing.B, address string) *upstream.Pool {
	b.Helper()
	pool, err := upstream.New(upstream.Config{Address: address, MinWarm: benchCallers})
	assert.NilError(b, err)
	b.Cleanup(pool.Close)
	return pool
}

// BenchmarkForward compares a look-up sent directly to a back end that does no
// work with the same look-up through the agent, in one process.
func BenchmarkForward(b *testing.B) {
	answer := []byte("gate 17 is to the left, 240 m, about three minutes on foot")
	r, fake := startFakeHarness(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }, benchConfig)
	r.agent.gate.SetSlots(benchSlots)
	r.agent.requests.SetMaxConnections(100)
	request := r.newRequest(testRequest{method: http.MethodGet, path: "/closures/route/k", epoch: 1,
		header: map[string]string{wire.HeaderDeadline: "1000", wire.HeaderCaller: "app"}})
	request.Body, request.ContentLength = nil, 0
	for _, callers := range []int{1, benchCallers} {
		direct := newBenchPool(b, fake.Listener.Addr().String())
		through := newBenchPool(b, r.agent.Address())
		b.Run(fmt.Sprintf("direct/callers=%d", callers), func(b *testing.B) {
			runBenchmark(b, callers, func() error { return lookup(direct, request) })
		})
		b.Run(fmt.Sprintf("agent/callers=%d", callers), func(b *testing.B) {
			runBenchmark(b, callers, func() error { return lookup(through, request) })
		})
	}
}

// BenchmarkNonRepeatable is the agent's part of BenchmarkForward with a
// non-repeatable request, which passes the request record.
func BenchmarkNonRepeatable(b *testing.B) {
	r, _ := startFakeHarness(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "posted") }, benchConfig)
	r.agent.gate.SetSlots(benchSlots)
	r.agent.requests.SetMaxConnections(100)
	time.Sleep(2 * r.agent.config.Record.ClockBound) // new ids are above the record's floor from here on
	for _, callers := range []int{1, benchCallers} {
		pool := newBenchPool(b, r.agent.Address())
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			before := r.agent.record.Stats()
			var number atomic.Uint64
			runBenchmark(b, callers, func() error {
				request := r.newRequest(testRequest{method: http.MethodPost, path: "/closures/edit/k", epoch: 1,
					id: benchID(number.Add(1)), body: "closed", header: map[string]string{wire.HeaderCaller: "desk"}})
				return lookup(pool, request)
			})
			after := r.agent.record.Stats()
			b.ReportMetric(float64(after.Syncs-before.Syncs)/float64(b.N), "syncs/op")
		})
	}
}

// benchID returns ids that also differ between runs of a benchmark.
func benchID(number uint64) string {
	return newIDOf(time.Now(), uint64(time.Now().UnixNano())^number<<40)
}

// slowListener delays each accepted connection, as real back ends do.
type slowListener struct {
	net.Listener
	cost time.Duration
}

func (listener slowListener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	time.Sleep(listener.cost)
	return connection, err
}

// BenchmarkConnections compares a request on a kept connection with one for
// which the agent must open a connection, at a back end that takes 1 ms to
// accept it.
func BenchmarkConnections(b *testing.B) {
	for _, kept := range []bool{true, false} {
		b.Run(fmt.Sprintf("kept=%t", kept), func(b *testing.B) {
			back := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if !kept {
					w.Header().Set("Connection", "close")
				}
			}))
			back.Listener = slowListener{Listener: back.Listener, cost: time.Millisecond}
			back.Start()
			b.Cleanup(back.Close)
			pool, err := upstream.New(upstream.Config{Address: back.Listener.Addr().String(), MinWarm: -1})
			assert.NilError(b, err)
			b.Cleanup(pool.Close)
			request, err := http.NewRequest(http.MethodGet, back.URL, nil)
			assert.NilError(b, err)
			runBenchmark(b, 1, func() error { return lookup(pool, request) })
		})
	}
}

// tableOf returns a table whose shards are spread evenly over the services. The
// agent's back end comes first and owns the first 75 shards of the first
// service.
func tableOf(b *testing.B, r *harness, revision topology.Revision, services, shards int) *routing.Table {
	const ownShards, otherBackends = 75, 1000
	snapshot := wire.RoutingSnapshot{Revision: revision, Backends: []topology.Backend{r.asBackend(topology.BackendActive)}}
	for id := range otherBackends {
		snapshot.Backends = append(snapshot.Backends, topology.Backend{ID: topology.BackendID(id + 2), Service: 1,
			Name: fmt.Sprintf("other-%d", id), AgentAddress: "127.0.0.1:1", Slots: 20, Connections: 100, State: topology.BackendActive})
	}
	each := shards / services
	for service := range services {
		routes := wire.ServiceRoutes{Service: topology.Service{ID: topology.ServiceID(service + 1), Name: fmt.Sprintf("service-%d", service)}}
		for number := range each {
			owner := topology.BackendID(2 + number%otherBackends)
			if service == 0 && number < ownShards {
				owner = self
			}
			routes.Shards = append(routes.Shards, topology.Shard{
				ID:    topology.ShardID{Service: routes.Service.ID, Shard: topology.ShardNumber(number + 1)},
				Start: topology.KeyHash(number) * (1 << 46), Phase: topology.ShardOwned, Owner: owner, Epoch: 1,
			})
		}
		snapshot.Services = append(snapshot.Services, routes)
	}
	table, err := routing.FromSnapshot(snapshot)
	assert.NilError(b, err)
	return table
}

// BenchmarkTableChange measures what a change of the routing table costs an
// agent, after the table was built, if a shard of other back ends has moved.
func BenchmarkTableChange(b *testing.B) {
	for _, size := range []struct{ services, shards int }{{1, 75}, {1, 75_000}, {100, 75_000}} {
		b.Run(fmt.Sprintf("services=%d/shards=%d", size.services, size.shards), func(b *testing.B) {
			r := startHarness(b, backend.Config{}, benchConfig)
			table := tableOf(b, r, 1, size.services, size.shards)
			handled := make(chan struct{})
			b.ReportAllocs()
			before := processCPU()
			for b.Loop() {
				r.agent.onTable(table)
				r.agent.post(func(*controlLoop) { handled <- struct{}{} })
				<-handled
			}
			b.ReportMetric(float64((processCPU()-before).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}

// BenchmarkIdle measures an agent that owns 75 shards and forwards no requests.
// One operation is one second.
func BenchmarkIdle(b *testing.B) {
	for _, size := range []struct{ services, shards int }{{1, 75}, {1, 75_000}} {
		b.Run(fmt.Sprintf("shards=%d", size.shards), func(b *testing.B) {
			r := startHarness(b, backend.Config{}, benchConfig)
			r.controller.renewInterval.Store(int64(125 * time.Millisecond))
			table := tableOf(b, r, 1, size.services, size.shards)
			r.agent.onTable(table)
			r.waitFor("shards", func() bool { return len(r.agent.view.Load().shards) == 75 })
			runtime.GC()
			var memory runtime.MemStats
			runtime.ReadMemStats(&memory)
			before := processCPU()
			b.ResetTimer()
			for range b.N {
				time.Sleep(time.Second)
			}
			used := processCPU() - before
			b.ReportMetric(100*used.Seconds()/float64(b.N), "%core")
			b.ReportMetric(float64(memory.HeapInuse+memory.StackInuse)/(1<<20), "MB-in-use")
			runtime.KeepAlive(table)
		})
	}
}
