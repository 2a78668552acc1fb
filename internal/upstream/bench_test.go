package upstream

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"
)

// BenchmarkRoundTrip compares a small request and response on a warm connection
// of the pool with the same through http.Transport.
func BenchmarkRoundTrip(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	}))
	defer server.Close()
	request, err := http.NewRequest(http.MethodGet, server.URL, nil)
	if err != nil {
		b.Fatal(err)
	}
	pool, err := New(Config{Address: server.Listener.Addr().String()})
	if err != nil {
		b.Fatal(err)
	}
	defer pool.Close()
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	b.Run("pool", func(b *testing.B) {
		benchmarkRoundTrip(b, func() (*http.Response, error) { return pool.Do(context.Background(), request) })
	})
	b.Run("transport", func(b *testing.B) {
		benchmarkRoundTrip(b, func() (*http.Response, error) { return transport.RoundTrip(request) })
	})
}

func benchmarkRoundTrip(b *testing.B, do func() (*http.Response, error)) {
	b.ReportAllocs()
	for b.Loop() {
		response, err := do()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			b.Fatal(err)
		}
		_ = response.Body.Close()
	}
}

// BenchmarkIdlePools measures the processor time per second and the memory of
// idle pools: 300 of them, as a gateway among as many others has, with four
// connections each.
func BenchmarkIdlePools(b *testing.B) {
	const pools, connections = 300, 4
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	for range pools {
		pool, err := New(Config{Address: server.Listener.Addr().String(), MinWarm: -1})
		if err != nil {
			b.Fatal(err)
		}
		defer pool.Close()
		var busy []*conn
		for range connections {
			connection, err := pool.acquire(b.Context())
			if err != nil {
				b.Fatal(err)
			}
			busy = append(busy, connection)
		}
		for _, connection := range busy {
			connection.acquireBuffers()
			pool.release(connection)
		}
	}
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	before := processorTime(b)
	for b.Loop() {
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "µs-processor/s")
	b.ReportMetric(float64(memory.HeapInuse)/(pools*connections), "heap-B/connection")
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
