package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// gatewayWithBackends returns a gateway that knows a number of instances of its zone.
func gatewayWithBackends(t testing.TB, name string, count int) *Gateway {
	t.Helper()
	g := &Gateway{
		config:     Config{Name: name, Zone: "a"}.withDefaults(),
		views:      newViewStore(),
		peers:      newPeerSet(),
		candidates: newCandidateSets(),
		slots:      newSlotLimiter(),
		statements: newStatements(&HeaderNames{}),
	}
	g.session = newSessionClient(g)
	g.extendLease(time.Hour)
	instances := make([]fleetwire.Instance, count)
	for i := range instances {
		instances[i] = fleetwire.Instance{
			ID: fmt.Sprintf("i-%d", i), Service: "s", Node: fmt.Sprintf("node-%d", i), Zone: "a",
			Address: fmt.Sprintf("127.0.0.1:%d", i+1), State: fleetwire.InstanceReady,
		}
	}
	advance(t, g.views, viewOf(true, instances...))
	t.Cleanup(func() { g.peers.pruneConnections(&view{}) })
	return g
}

// However many back ends a service has, a gateway looks at a bounded number of them for a
// request, and keeps the state of no others.
func TestRequestLooksAtBoundedNumberOfBackEnds(t *testing.T) {
	for _, count := range []int{100, 400, 1600} {
		g := gatewayWithBackends(t, "g", count)
		for range 50 {
			assert.Assert(t, chosenInstance(g, routeconfig.Repeatable) != "")
		}
		assert.Assert(t, len(g.peers.byAddress) <= 24, "%d of %d looked at", len(g.peers.byAddress), count)
	}
}

// A gateway whose considered back ends have all failed uses others.
func TestRequestGoesBeyondConsideredBackEnds(t *testing.T) {
	g := gatewayWithBackends(t, "g", 100)
	for range 200 {
		chosen := g.views.load().byID[chosenInstance(g, routeconfig.Repeatable)]
		peer := g.peers.get(chosen.Address)
		peer.beginAttempt()
		peer.endAttempt(&forwardResult{Outcome: outcomeUnknown, Reason: reasonInterrupted}, steady.Reading())
	}
	assert.Assert(t, len(g.peers.byAddress) > 24, "%d", len(g.peers.byAddress))
}

// fastShare returns the share of requests that go to the fast third of a service's back ends. Each
// of many gateways sends few requests, so that it seldom visits the same back end twice.
func fastShare(t *testing.T, backends, gateways int, interval, length time.Duration) float64 {
	const fast, slow = 250 * time.Millisecond, 600 * time.Millisecond
	all, toFast := 0, 0
	for i := range gateways {
		g := gatewayWithBackends(t, fmt.Sprintf("g-%d", i), backends)
		for began := steady.Reading(); steady.Elapsed(began) < length; time.Sleep(interval) {
			chosen := g.views.load().byID[chosenInstance(g, routeconfig.Repeatable)]
			var number int
			_, err := fmt.Sscanf(chosen.ID, "i-%d", &number)
			assert.NilError(t, err)
			load := peerLoad{running: 2, slots: 14, serviceTime: slow, shortServiceTime: slow}
			if number%3 == 0 {
				load.serviceTime, load.shortServiceTime = fast, fast
			}
			if steady.Elapsed(began) > length/2 {
				all++
				if number%3 == 0 {
					toFast++
				}
			}
			peer := g.peers.get(chosen.Address)
			peer.beginAttempt()
			peer.endAttempt(&forwardResult{Outcome: outcomeAnswered, Status: 200, Load: load}, steady.Reading())
		}
	}
	return float64(toFast) / float64(all)
}

// Fast back ends get most requests at any size of the fleet, although each gateway sends few
// requests to each back end.
func TestFastBackEndsAreFoundAtEverySize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, backends := range []int{12, 100, 400, 1600} {
			share := fastShare(t, backends, 10, 400*time.Millisecond, 40*time.Second)
			assert.Check(t, share > 0.6, "%d back ends: %.2f of the requests went to the fast third", backends, share)
		}
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{100, 1000, 4000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			g := gatewayWithBackends(b, "g", count)
			b.ReportAllocs()
			for b.Loop() {
				chosenInstance(g, routeconfig.Repeatable)
			}
		})
	}
}
