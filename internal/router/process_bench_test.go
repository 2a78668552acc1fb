package router

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// The benchmarks run the router and a fake back end as separate processes of
// this test binary, each with its own GOMAXPROCS, so that their CPU time can be
// measured separately.
const (
	roleVariable          = "QUARTZDOCK_BENCHMARK_ROLE"
	agentVariable         = "QUARTZDOCK_BENCHMARK_AGENT"
	responseSizeVariable  = "QUARTZDOCK_BENCHMARK_ANSWER_BYTES"
	usagePath             = "/usage"
	saturatingConnections = 64
	latencyConnections    = 4
	latencySamples        = 2000
)

func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case "stand-in":
		serveBackend()
	case "router":
		serveRouter(os.Getenv(agentVariable))
	default:
		os.Exit(m.Run())
	}
}

// usage is a process's resource usage since its start.
type usage struct {
	CPU         time.Duration
	Allocations uint64
	Bytes       uint64
	Heap        uint64
	Resident    int64 // bytes
}

// since returns the usage since an earlier measurement, without memory in use.
func (u usage) since(earlier usage) usage {
	return usage{CPU: u.CPU - earlier.CPU, Allocations: u.Allocations - earlier.Allocations, Bytes: u.Bytes - earlier.Bytes}
}

func currentUsage() usage {
	var times syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &times); err != nil {
		panic(err)
	}
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return usage{
		CPU:         time.Duration(times.Utime.Nano() + times.Stime.Nano()),
		Allocations: memory.Mallocs, Bytes: memory.TotalAlloc, Heap: memory.HeapInuse + memory.StackInuse,
		Resident: residentBytes(),
	}
}

func residentBytes() int64 {
	content, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	var total, resident int64
	_, _ = fmt.Sscan(string(content), &total, &resident)
	return resident * int64(os.Getpagesize())
}

// serveUsage serves the process's resource usage over HTTP. It prints the given
// address and its own, and exits the process when the parent closes standard
// input.
func serveUsage(address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Printf("%s %s\n", address, listener.Addr())
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Query().Has("collect") {
				runtime.GC()
			}
			_ = json.NewEncoder(w).Encode(currentUsage())
		}))
	}()
	_, _ = io.Copy(io.Discard, os.Stdin) // until the parent exits or closes the pipe
	os.Exit(0)
}

// serveBackend runs the fake back end.
func serveBackend() {
	size := 200
	_, _ = fmt.Sscan(os.Getenv(responseSizeVariable), &size)
	content := []byte(strings.Repeat("x", size))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header()[wire.HeaderOutcome] = []string{string(wire.OutcomeAnswered)}
			_, _ = w.Write(content)
		}))
	}()
	serveUsage(listener.Addr().String())
}

// fixedSource is a Source whose table never changes.
type fixedSource struct{}

func (fixedSource) Freshness(time.Duration) time.Duration { return 0 }
func (fixedSource) Send(wire.ToController) error          { return nil }
func (fixedSource) Stop()                                 {}

// serveRouter runs a router with the agent as its only back end.
func serveRouter(agent string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	r, err := New(Config{
		Name: "benchmark", Listener: listener.(*net.TCPListener),
		Source: func(onTable func(*routing.Table)) (Source, error) {
			table, err := routing.FromSnapshot(benchmarkSnapshot(agent))
			onTable(table)
			return fixedSource{}, err
		},
	})
	if err != nil {
		panic(err)
	}
	go func() { _ = r.Serve(context.Background()) }()
	serveUsage(listener.Addr().String())
}

// benchmarkSnapshot returns a table with 75,000 shards, all owned by one back
// end.
func benchmarkSnapshot(agent string) wire.RoutingSnapshot {
	const shards = 75_000
	service := topology.Service{ID: keyedService, Name: "keyed", Rules: []topology.RequestRule{
		{Key: topology.KeySource{Kind: topology.KeyFromPathSegment, Index: 1}},
	}}
	routes := wire.ServiceRoutes{Service: service}
	for i := range shards {
		routes.Shards = append(routes.Shards, topology.Shard{
			ID:    topology.ShardID{Service: keyedService, Shard: topology.ShardNumber(i + 1)},
			Start: topology.KeyHash(i) * (^topology.KeyHash(0)/shards + 1),
			Phase: topology.ShardOwned, Owner: 1, Epoch: 1,
		})
	}
	return wire.RoutingSnapshot{
		Revision: 1, Services: []wire.ServiceRoutes{routes},
		Backends: []topology.Backend{{ID: 1, Service: keyedService, State: topology.BackendActive, AgentAddress: agent}},
	}
}

// process is a running child process.
type process struct {
	address      string
	usageAddress string
}

func startProcess(b *testing.B, role string, processors int, extra ...string) process {
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), append(extra, roleVariable+"="+role, fmt.Sprintf("GOMAXPROCS=%d", processors))...)
	command.Stderr = os.Stderr
	stdin, err := command.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	stdout, err := command.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := command.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	var p process
	_, _ = fmt.Sscan(line, &p.address, &p.usageAddress)
	return p
}

func (p process) usage(b *testing.B) usage {
	response, err := http.Get("http://" + p.usageAddress + usagePath + "?collect")
	if err != nil {
		b.Fatal(err)
	}
	defer response.Body.Close()
	var u usage
	if err := json.NewDecoder(response.Body).Decode(&u); err != nil {
		b.Fatal(err)
	}
	return u
}

// sendLookups sends lookups on one connection while more returns true, and
// returns their latencies.
func sendLookups(address string, more func(sent int) bool) ([]time.Duration, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	defer connection.Close()
	reader := bufio.NewReader(connection)
	var latencies []time.Duration
	for sent := 0; more(sent); sent++ {
		started := time.Now()
		if _, err := fmt.Fprintf(connection, "GET /keyed/plans/gate-%d HTTP/1.1\r\nHost: a\r\n\r\n", sent); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, err
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			return nil, fmt.Errorf("status %d: %w", response.StatusCode, err)
		}
		latencies = append(latencies, time.Since(started))
	}
	return latencies, nil
}

// sendInParallel sends lookups on several connections concurrently.
func sendInParallel(b *testing.B, connections int, address string, more func(sent int) bool) []time.Duration {
	var mutex sync.Mutex
	var all []time.Duration
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			latencies, err := sendLookups(address, more)
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil {
				b.Error(err)
			}
			all = append(all, latencies...)
		})
	}
	group.Wait()
	return all
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// BenchmarkSaturated saturates a fake back end directly, then a router in front
// of another one. The ratio of CPU times is the rate that a core running the
// router can forward, relative to the rate that the same core can serve
// directly.
func BenchmarkSaturated(b *testing.B) {
	direct := startProcess(b, "stand-in", 1)
	backend := startProcess(b, "stand-in", 4)
	router := startProcess(b, "router", 1, agentVariable+"="+backend.address)
	measure := func(to process) (perSecond, cpu, allocations, bytes float64) {
		before, started := to.usage(b), time.Now()
		end := started.Add(700 * time.Millisecond)
		count := float64(len(sendInParallel(b, saturatingConnections, to.address, func(int) bool { return time.Now().Before(end) })))
		elapsed := time.Since(started)
		consumed := to.usage(b).since(before)
		return count / elapsed.Seconds(), micros(consumed.CPU) / count, float64(consumed.Allocations) / count, float64(consumed.Bytes) / count
	}
	measure(router)
	var directRates, routedRates, directCPU, routedCPU, allocations, bytes []float64
	for b.Loop() {
		perSecond, cpu, _, _ := measure(direct)
		directRates, directCPU = append(directRates, perSecond), append(directCPU, cpu)
		perSecond, cpu, count, size := measure(router)
		routedRates, routedCPU = append(routedRates, perSecond), append(routedCPU, cpu)
		allocations, bytes = append(allocations, count), append(bytes, size)
	}
	b.ReportMetric(median(directRates), "direct-req/s")
	b.ReportMetric(median(routedRates), "routed-req/s")
	b.ReportMetric(median(directCPU), "direct-µs-cpu/req")
	b.ReportMetric(median(routedCPU), "router-µs-cpu/req")
	b.ReportMetric(median(directCPU)/median(routedCPU), "cpu-ratio")
	b.ReportMetric(median(routedRates)/median(directRates), "rate-ratio")
	b.ReportMetric(median(allocations), "router-allocs/req")
	b.ReportMetric(median(bytes), "router-B/req")
}

func median(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// BenchmarkAddedLatency alternates between sending trivial lookups directly to
// the fake back end and through the router.
func BenchmarkAddedLatency(b *testing.B) {
	backend := startProcess(b, "stand-in", 2)
	router := startProcess(b, "router", 2, agentVariable+"="+backend.address)
	var direct, routed []time.Duration
	for b.Loop() {
		for range 10 {
			count := func(sent int) bool { return sent < latencySamples/10/latencyConnections }
			direct = append(direct, sendInParallel(b, latencyConnections, backend.address, count)...)
			routed = append(routed, sendInParallel(b, latencyConnections, router.address, count)...)
		}
	}
	slices.Sort(direct)
	slices.Sort(routed)
	quantile := func(all []time.Duration, part float64) float64 { return micros(all[int(part*float64(len(all)-1))]) }
	for name, part := range map[string]float64{"p50": 0.5, "p99": 0.99} {
		b.ReportMetric(quantile(direct, part), "direct-"+name+"-µs")
		b.ReportMetric(quantile(routed, part), "routed-"+name+"-µs")
		b.ReportMetric(quantile(routed, part)-quantile(direct, part), "added-"+name+"-µs")
	}
}

// BenchmarkIdleConnections measures the router's memory for connections that
// are idle after one request.
func BenchmarkIdleConnections(b *testing.B) {
	const connections = 2000
	backend := startProcess(b, "stand-in", 4)
	router := startProcess(b, "router", 1, agentVariable+"="+backend.address)
	for b.Loop() {
		before := router.usage(b)
		release := make(chan struct{})
		var opened, closed sync.WaitGroup
		requestSlots := make(chan struct{}, latencyConnections) // so that no request is shed
		for range connections {
			opened.Add(1)
			closed.Go(func() {
				requestSlots <- struct{}{}
				releaseSlot := sync.OnceFunc(func() {
					<-requestSlots
					opened.Done()
				})
				_, err := sendLookups(router.address, func(sent int) bool {
					if sent == 1 {
						releaseSlot()
						<-release
					}
					return sent < 1
				})
				releaseSlot()
				if err != nil {
					b.Error(err)
				}
			})
		}
		opened.Wait()
		after := router.usage(b)
		close(release)
		closed.Wait()
		b.ReportMetric(float64(int64(after.Heap)-int64(before.Heap))/connections, "heap-B/conn")
		b.ReportMetric(float64(after.Resident-before.Resident)/connections, "resident-B/conn")
	}
}
