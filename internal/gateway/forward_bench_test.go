package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"gotest.tools/v3/assert"
)

// benchPort returns a free address of loopback.
func benchPort(b *testing.B) string {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer listener.Close()
	return listener.Addr().String()
}

// benchGateways starts a gateway beside a back end and one beside the caller,
// which know each other without a controller.
func benchGateways(b *testing.B) (caller string) {
	b.Helper()
	backend, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Seal", "x")
		w.Header().Set("Server-Load", "3,0,18")
		w.Header().Set("Content-Length", strconv.Itoa(1500))
		_, _ = w.Write(make([]byte, 1500))
	})}
	go func() { _ = server.Serve(backend) }()
	b.Cleanup(func() { _ = server.Close() })

	view := &fleetwire.View{
		Document: &routeconfig.Document{
			Version:  1,
			Routes:   []routeconfig.Route{{Name: "r", Host: "h", PathPrefix: "/", Repetition: routeconfig.Repeatable, Timeout: time.Second, TargetLatency: 300 * time.Millisecond, Attempts: 2, Destinations: []routeconfig.Destination{{Service: "s", Weight: 1}}}},
			Services: []routeconfig.Service{{Name: "s"}},
		},
		HasInstances: true, Complete: true,
	}
	far := Config{Name: "far", Zone: "a", Service: "s", CallerListen: benchPort(b), PeerListen: benchPort(b), BackendAddress: backend.Addr().String(), Headers: testHeaders(), StopWithin: 10 * time.Millisecond}
	near := Config{Name: "near", Zone: "a", Service: "t", CallerListen: benchPort(b), PeerListen: benchPort(b), BackendAddress: "127.0.0.1:1", Headers: testHeaders(), StopWithin: 10 * time.Millisecond}
	view.Instances = []fleetwire.Instance{{ID: "i", Service: "s", Node: "far", Zone: "a", Address: far.PeerListen, State: fleetwire.InstanceReady, Slots: 64}}
	for _, config := range []Config{far, near} {
		g, err := Start(config)
		assert.NilError(b, err)
		b.Cleanup(func() { _ = g.Stop() })
		g.views.advance(view)
		if config.Name == "far" {
			g.Heartbeat(Registration{ID: "i", Service: "s", Slots: 64, State: fleetwire.InstanceReady, Sequence: 1})
		}
	}
	return near.CallerListen
}

// BenchmarkForward is a request over two gateways, with caller and back end in
// the same process; BenchmarkForward/direct is what those take alone.
func BenchmarkForward(b *testing.B) {
	caller := benchGateways(b)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	number := 0
	b.ReportAllocs()
	for b.Loop() {
		number++
		request, err := http.NewRequest(http.MethodGet, "http://"+caller+"/leny950/2f", nil)
		assert.NilError(b, err)
		request.Host = "h"
		request.Header.Set("Request-Id", fmt.Sprintf("%016x", number))
		request.Header.Set("Deadline-Ms", "2500")
		response, err := client.Do(request)
		assert.NilError(b, err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		assert.Equal(b, response.StatusCode, http.StatusOK)
	}
}
