package router

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/upstream"
)

// This benchmark compares two transports between router and agent; see
// docs/decisions/011-request-transport.md. The gob streams are a prototype
// without cancellation, flow control, limits or proof of what was sent.

type gobRequest struct {
	ID            uint64
	Method, Path  string
	Header        map[string][]string
	Body          []byte
	WantedInBytes int
}

type gobResponse struct {
	ID     uint64
	Status int
	Header map[string][]string
	Body   []byte
	Last   bool
}

// gobChunkBytes limits how long one response blocks others on the same stream.
const gobChunkBytes = 16 * kibibyte

// gobClient multiplexes requests on one connection.
type gobClient struct {
	connection net.Conn
	sending    sync.Mutex
	encoder    *gob.Encoder
	mutex      sync.Mutex
	next       uint64
	waiting    map[uint64]chan gobResponse
}

func dialGob(address string) (*gobClient, error) {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &gobClient{connection: connection, encoder: gob.NewEncoder(connection), waiting: make(map[uint64]chan gobResponse)}
	go c.receive()
	return c, nil
}

func (c *gobClient) receive() {
	decoder := gob.NewDecoder(c.connection)
	for {
		var response gobResponse
		if decoder.Decode(&response) != nil {
			return
		}
		c.mutex.Lock()
		waiting := c.waiting[response.ID]
		if response.Last {
			delete(c.waiting, response.ID)
		}
		c.mutex.Unlock()
		waiting <- response
	}
}

func (c *gobClient) do(request gobRequest) (int, error) {
	responses := make(chan gobResponse, 4)
	c.mutex.Lock()
	c.next++
	request.ID = c.next
	c.waiting[request.ID] = responses
	c.mutex.Unlock()
	c.sending.Lock()
	err := c.encoder.Encode(&request)
	c.sending.Unlock()
	if err != nil {
		return 0, err
	}
	received := 0
	for {
		response := <-responses
		received += len(response.Body)
		if response.Last {
			return received, nil
		}
	}
}

func serveGob(listener net.Listener) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		go serveGobConnection(connection)
	}
}

func serveGobConnection(connection net.Conn) {
	decoder, encoder := gob.NewDecoder(connection), gob.NewEncoder(connection)
	var sending sync.Mutex
	for {
		var request gobRequest
		if decoder.Decode(&request) != nil {
			return
		}
		go func() {
			header := map[string][]string{"Content-Type": {"text/plain"}, "Quartzdock-Outcome": {"answered"}}
			for left := request.WantedInBytes; ; header = nil {
				part := min(left, gobChunkBytes)
				left -= part
				sending.Lock()
				_ = encoder.Encode(&gobResponse{ID: request.ID, Status: http.StatusOK, Header: header, Body: make([]byte, part), Last: left == 0})
				sending.Unlock()
				if left == 0 {
					return
				}
			}
		}()
	}
}

// exchangeFunc sends one request for a response of the given size.
type exchangeFunc func(size int) error

func overGob(b *testing.B, connections int) exchangeFunc {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go serveGob(listener)
	clients := make(chan *gobClient, connections)
	for range connections {
		client, err := dialGob(listener.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { _ = client.connection.Close() })
		clients <- client
	}
	header := benchmarkHeader()
	return func(size int) error {
		client := <-clients // round robin
		clients <- client
		_, err := client.do(gobRequest{Method: "GET", Path: "/keyed/plans/gate-7", Header: header, WantedInBytes: size})
		return err
	}
}

func overHTTP(b *testing.B) exchangeFunc {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		size, _ := strconv.Atoi(r.URL.Query().Get("size"))
		w.Header().Set("Quartzdock-Outcome", "answered")
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_, _ = w.Write(make([]byte, size))
	}))
	b.Cleanup(server.Close)
	pool, err := upstream.New(upstream.Config{Address: server.Listener.Addr().String()})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(pool.Close)
	header := benchmarkHeader()
	return func(size int) error {
		request, err := http.NewRequest(http.MethodGet, server.URL+"/keyed/plans/gate-7?size="+strconv.Itoa(size), nil)
		if err != nil {
			return err
		}
		request.Header = header
		response, err := pool.Do(context.Background(), request)
		if err != nil {
			return err
		}
		defer response.Body.Close()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
}

func benchmarkHeader() http.Header {
	return http.Header{
		"Quartzdock-Deadline-Ms": {"9999"}, "Quartzdock-Caller": {"app/1"}, "Quartzdock-Class": {"lookup"},
		"Quartzdock-Revision": {"1234"}, "Quartzdock-Shard": {"1/4711"}, "Quartzdock-Epoch": {"17"},
		"Accept": {"*/*"}, "X-Forwarded-For": {"127.0.0.1"},
	}
}

// BenchmarkTransport measures the CPU time of both ends together, and the
// latency of lookups with and without bulk responses on the same transport.
func BenchmarkTransport(b *testing.B) {
	transports := []struct {
		name string
		open func() exchangeFunc
	}{
		{"http, up to 100 connections", func() exchangeFunc { return overHTTP(b) }},
		{"gob, 1 connection", func() exchangeFunc { return overGob(b, 1) }},
		{"gob, 4 connections", func() exchangeFunc { return overGob(b, 4) }},
	}
	for _, transport := range transports {
		exchange := transport.open()
		b.Run(transport.name+"/look-ups", func(b *testing.B) { measureTransport(b, exchange, false) })
		b.Run(transport.name+"/look-ups beside packs", func(b *testing.B) { measureTransport(b, exchange, true) })
	}
}

func measureTransport(b *testing.B, exchange exchangeFunc, packs bool) {
	const lookupLoops, packLoops, packBytes = 16, 4, 4 * mebibyte
	var latencies []time.Duration
	var cpu time.Duration
	for b.Loop() {
		var mutex sync.Mutex
		var group, lookups sync.WaitGroup
		end := time.Now().Add(500 * time.Millisecond)
		before := currentUsage()
		for range packLoops {
			if packs {
				group.Go(func() {
					for time.Now().Before(end) {
						if err := exchange(packBytes); err != nil {
							b.Error(err)
						}
					}
				})
			}
		}
		for range lookupLoops {
			lookups.Go(func() {
				var own []time.Duration
				for time.Now().Before(end) {
					started := time.Now()
					if err := exchange(200); err != nil {
						b.Error(err)
					}
					own = append(own, time.Since(started))
				}
				mutex.Lock()
				defer mutex.Unlock()
				latencies = append(latencies, own...)
			})
		}
		lookups.Wait()
		cpu += currentUsage().since(before).CPU
		group.Wait()
	}
	slices.Sort(latencies)
	b.ReportMetric(0, "ns/op")
	if !packs {
		b.ReportMetric(micros(cpu)/float64(len(latencies)), "µs-cpu/req")
	}
	b.ReportMetric(micros(latencies[len(latencies)/2]), "p50-µs")
	b.ReportMetric(micros(latencies[len(latencies)*99/100]), "p99-µs")
}

// BenchmarkCodec measures the encoding and decoding of a request alone.
func BenchmarkCodec(b *testing.B) {
	b.Run("gob", func(b *testing.B) {
		var stream bytes.Buffer
		encoder, decoder := gob.NewEncoder(&stream), gob.NewDecoder(&stream)
		request := gobRequest{Method: "GET", Path: "/keyed/plans/gate-7", Header: benchmarkHeader()}
		b.ReportAllocs()
		for b.Loop() {
			var got gobRequest
			if encoder.Encode(&request) != nil || decoder.Decode(&got) != nil {
				b.Fatal("codec failed")
			}
		}
	})
}
