package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A request that the selected destination of its route can't serve is refused as not run. No
// attempt of it reaches another destination, even one with free slots.
func TestRequestStaysAtSelectedDestination(t *testing.T) {
	full := map[string]http.HandlerFunc{
		"without an instance": nil,
		"without room": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Try-Name", r.Header.Get("Try-Name"))
			w.Header().Set("Never-Ran", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		},
	}
	for name, refuse := range full {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int32
			hops := startTwoHops(t, twoHopsConfig{timeout: time.Second}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				serveComplete(w, r)
			}))
			instances := []fleetwire.Instance{hops.near.views.load().byID["i"]}
			if refuse != nil {
				instances = append(instances, startFullDestination(t, refuse))
			}
			split := viewOf(true, instances...)
			split.Document = splitDocument()
			advance(t, hops.near.views, split)
			v := hops.near.views.load()
			const draw = 0.75 // selects the second destination, which is full
			route := v.table.Find("h", "/a")
			assert.Equal(t, route.Pick(draw), "full")
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			began := steady.Reading()
			result := hops.near.serveWithRetries(ctx, &call{
				request: hops.request(ctx, t, "r1"), id: "r1", route: route, service: v.table.Service(route.Pick(draw)),
				began: began, deadline: began.Add(200 * time.Millisecond),
			})
			assert.Equal(t, result.Outcome, outcomeNotRun)
			assert.Equal(t, runs.Load(), int32(0), "the request reached the other destination")
		})
	}
}

// splitDocument splits a route between a destination with free slots and a full one.
func splitDocument() *routeconfig.Document {
	return &routeconfig.Document{
		Version: 2,
		Routes: []routeconfig.Route{{
			Name: "r", Host: "h", PathPrefix: "/", Repetition: routeconfig.Repeatable, Timeout: time.Second, TargetLatency: 300 * time.Millisecond,
			Attempts: 3, Destinations: []routeconfig.Destination{{Service: "s", Weight: 1}, {Service: "full", Weight: 1}},
		}},
		Services: []routeconfig.Service{{Name: "s"}, {Name: "full"}},
	}
}

// startFullDestination runs a gateway with a local back end that refuses all requests, and
// returns its instance for a view.
func startFullDestination(t *testing.T, refuse http.HandlerFunc) fleetwire.Instance {
	t.Helper()
	server := httptest.NewServer(refuse)
	t.Cleanup(server.Close)
	config := Config{
		Name: "full", Zone: "a", Service: "full", CallerListen: freeAddress(t), PeerListen: freeAddress(t),
		BackendAddress: server.Listener.Addr().String(), Headers: testHeaders(), StopWithin: time.Millisecond,
	}
	g, err := Start(config)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = g.Stop() })
	g.Heartbeat(t.Context(), Registration{ID: "f", Service: "full", Slots: 1, State: fleetwire.InstanceReady, Sequence: 1})
	return fleetwire.Instance{ID: "f", Service: "full", Node: "full", Zone: "a", Address: config.PeerListen, State: fleetwire.InstanceReady, Slots: 1}
}

// A back end that has just joined gets requests of other machines in its zone at once, even
// if the known back ends there have free slots.
func TestJoiningBackendIsChosen(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.setPeerLoad("127.0.0.1:1", 0, 20*time.Millisecond)
	g.setPeerLoad("127.0.0.1:2", 0, 20*time.Millisecond)
	advance(t, g.views, viewOf(false, fleetwire.Instance{
		ID: "joined", Service: "s", Node: "node-joined", Zone: "a", Address: "127.0.0.1:3", State: fleetwire.InstanceReady,
	}))
	assert.Equal(t, chosenInstance(g, routeconfig.NonRepeatable), "joined")
}
