package gateway

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

// gatewayWithTwoZones returns a gateway that knows one instance in its own zone and one in
// another.
func gatewayWithTwoZones(t *testing.T) *Gateway {
	t.Helper()
	g := &Gateway{
		config:     Config{Name: "chooser", Zone: "a"}.withDefaults(),
		views:      newViewStore(),
		peers:      newPeerSet(),
		candidates: newCandidateSets(),
		slots:      newSlotLimiter(),
		statements: newStatements(&HeaderNames{}),
	}
	g.session = newSessionClient(g)
	g.quotas = newQuotaKeeper(g)
	g.extendLease(time.Hour)
	advance(t, g.views, viewOf(true,
		fleetwire.Instance{ID: "near", Service: "s", Node: "node-near", Zone: "a", Address: "127.0.0.1:1", State: fleetwire.InstanceReady},
		fleetwire.Instance{ID: "far", Service: "s", Node: "node-far", Zone: "b", Address: "127.0.0.1:2", State: fleetwire.InstanceReady},
	))
	t.Cleanup(func() { g.peers.pruneConnections(&view{}) })
	return g
}

// setPeerLoad sets the load that the gateway knows of the instance at an address.
func (g *Gateway) setPeerLoad(address string, running int, serviceTime time.Duration) {
	load := peerLoad{running: running, slots: 10, serviceTime: serviceTime, shortServiceTime: serviceTime}
	known := g.peers.get(address)
	known.mutex.Lock()
	defer known.mutex.Unlock()
	known.load, known.loadReportedAt = load, steady.Reading()
}

// chosenInstance returns the ID of the instance that the gateway chooses for a request of a route
// with the given repetition.
func chosenInstance(g *Gateway, repetition routeconfig.Repetition) string {
	return chosenForBody(g, repetition, nil)
}

// chosenForBody is chosenInstance for a request with a body.
func chosenForBody(g *Gateway, repetition routeconfig.Repetition, body []byte) string {
	route := &routeconfig.Route{Repetition: repetition, TargetLatency: 500 * time.Millisecond}
	found, _, _ := g.choose(&call{service: &routeconfig.Service{Name: "s"}, route: route, body: body}, 0, false, nil)
	return found.ID
}

// A somewhat faster back end in another zone does not justify cross-zone traffic while the near
// one responds well within the target.
func TestRequestStaysInZoneThatMeetsTarget(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.setPeerLoad("127.0.0.1:1", 2, 180*time.Millisecond)
	g.setPeerLoad("127.0.0.1:2", 2, 100*time.Millisecond)
	for range 50 {
		assert.Equal(t, chosenInstance(g, routeconfig.NonRepeatable), "near")
	}
}

// A request goes to another zone if the back end in its own zone is too loaded to respond in
// time.
func TestRequestLeavesOverloadedZone(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.setPeerLoad("127.0.0.1:1", 10, 180*time.Millisecond)
	g.setPeerLoad("127.0.0.1:2", 2, 100*time.Millisecond)
	for range 50 {
		assert.Equal(t, chosenInstance(g, routeconfig.NonRepeatable), "far")
	}
}

// A large body stays in its region as long as an instance there can be used, also one that is
// slower, while small requests leave an overloaded region. Without regions nothing changes.
func TestLargeBodyStaysInRegion(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.setPeerLoad("127.0.0.1:1", 10, 250*time.Millisecond)
	g.setPeerLoad("127.0.0.1:2", 2, 100*time.Millisecond)
	upload := make([]byte, 60_000)
	assert.Equal(t, chosenForBody(g, routeconfig.NonRepeatable, upload), "far", "the same region")
	g.config.Regions = map[string]string{"a": "north", "b": "south"}
	assert.Equal(t, chosenForBody(g, routeconfig.NonRepeatable, upload), "near")
	assert.Equal(t, chosenForBody(g, routeconfig.NonRepeatable, nil), "far")
}

// A large body is not sent on to another region after an instance of its own has refused it, nor
// when that one is avoided; it is if the region has no usable instance.
func TestRefusedLargeBodyStaysInRegion(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.config.Regions = map[string]string{"a": "north", "b": "south"}
	upload := make([]byte, 60_000)
	c := &call{service: &routeconfig.Service{Name: "s"}, route: &routeconfig.Route{TargetLatency: 500 * time.Millisecond}, body: upload}
	_, _, found := g.choose(c, 0, false, map[string]bool{"near": true})
	assert.Assert(t, !found)
	near := g.peers.get("127.0.0.1:1")
	near.beginAttempt()
	near.endAttempt(&forwardResult{Outcome: outcomeUnknown, Reason: reasonTimeout}, steady.Reading())
	assert.Equal(t, chosenForBody(g, routeconfig.NonRepeatable, upload), "near")
	assert.Equal(t, chosenForBody(g, routeconfig.NonRepeatable, nil), "far")
	advance(t, g.views, evacuationView(1, "a"))
	assert.Equal(t, chosenForBody(g, routeconfig.NonRepeatable, upload), "far")
}

// A back end whose rate limit is used up gets no request while another one has room, and gets one
// again as soon as it has room itself.
func TestInstanceWithUsedUpRateLimitIsAvoided(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.setPeerLoad("127.0.0.1:1", 0, 50*time.Millisecond)
	g.setPeerLoad("127.0.0.1:2", 9, 200*time.Millisecond)
	assert.Equal(t, chosenInstance(g, routeconfig.NonRepeatable), "near")
	near := g.peers.get("127.0.0.1:1")
	near.mutex.Lock()
	near.load.admitsAfter = time.Minute
	near.mutex.Unlock()
	assert.Equal(t, chosenInstance(g, routeconfig.NonRepeatable), "far")
	near.mutex.Lock()
	near.loadReportedAt = near.loadReportedAt.Add(-time.Minute)
	near.mutex.Unlock()
	assert.Equal(t, chosenInstance(g, routeconfig.NonRepeatable), "near")
}
