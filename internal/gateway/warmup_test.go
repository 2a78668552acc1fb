package gateway

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

const (
	coldRate   = 13.0
	coldPeriod = 3 * time.Second
	// maxColdRequests is how many requests a cold back end may get in any second: one and a
	// half times the rate, plus 8.
	maxColdRequests = 1.5*coldRate + 8
)

// coldLimiter returns a slotLimiter with 18 slots whose back end is cold for the given time.
func coldLimiter(left time.Duration) *slotLimiter {
	g := newSlotLimiter()
	g.setCapacity(18)
	g.configureWarmUp(coldRate, coldPeriod)
	g.updateWarmUpFromHeartbeat(left, true)
	return g
}

// flood sends a slotLimiter one request a millisecond, each using a slot for 20 ms, and returns
// when each was admitted.
func flood(t *testing.T, g *slotLimiter, length time.Duration) []time.Time {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	admitted := make(chan time.Time, 100_000)
	for began := steady.Reading(); steady.Elapsed(began) < length; time.Sleep(time.Millisecond) {
		go func() {
			taken, err := g.acquire(ctx, demandFor(longTarget, 300*time.Millisecond))
			if err != nil {
				return
			}
			admitted <- steady.Reading()
			time.Sleep(20 * time.Millisecond)
			g.release(taken, 20*time.Millisecond)
		}()
	}
	cancel()
	time.Sleep(50 * time.Millisecond)
	synctest.Wait()
	times := make([]time.Time, len(admitted))
	for i := range times {
		times[i] = <-admitted
	}
	return times
}

// maxPerSecond returns the highest number of the given sorted times within one second.
func maxPerSecond(times []time.Time) int {
	highest, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > time.Second {
			first++
		}
		highest = max(highest, last-first+1)
	}
	return highest
}

// A cold back end that gets more requests than it can serve fails and restarts cold.
func TestColdBackendIsLimitedToWarmUpRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		times := flood(t, coldLimiter(coldPeriod), coldPeriod)
		highest := maxPerSecond(times)
		assert.Assert(t, float64(highest) <= maxColdRequests, "%d in a second", highest)
		assert.Assert(t, float64(len(times)) >= 0.9*coldRate*coldPeriod.Seconds(), "%d in all", len(times))
	})
}

// Once the back end is warm, only its slots limit the requests.
func TestWarmBackendIsNotRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := coldLimiter(coldPeriod)
		time.Sleep(coldPeriod)
		times := flood(t, g, time.Second)
		assert.Assert(t, len(times) > 700, "%d", len(times))
	})
}

// A request that would wait too long for the warm-up rate is refused at once.
func TestRequestBeyondWarmUpRateIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := coldLimiter(time.Minute)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for range 10 {
			go func() { _, _ = g.acquire(ctx, demandFor(longTarget, time.Second)) }()
			synctest.Wait()
		}
		began := steady.Reading()
		_, err := g.acquire(ctx, demandFor(longTarget, 500*time.Millisecond))
		assert.ErrorIs(t, err, errNoSlot)
		assert.Equal(t, steady.Elapsed(began), time.Duration(0))
		cancel()
		synctest.Wait()
	})
}

// A gateway that has just started does not know whether the back end is cold and probes it.
// Until then it applies the warm-up rate.
func TestRestartedGatewayProbesWarmUpState(t *testing.T) {
	responses := map[string]struct {
		response string
		cold     bool
	}{
		"cold":                 {"HTTP/1.1 200 OK\r\nAnswered-By: i-1\r\nCold-Ms: 2500\r\nContent-Length: 0\r\n\r\n", true},
		"warm":                 {"HTTP/1.1 200 OK\r\nAnswered-By: i-1\r\nCold-Ms: 0\r\nContent-Length: 0\r\n\r\n", false},
		"has no warm-up state": {"HTTP/1.1 200 OK\r\nAnswered-By: i-1\r\nContent-Length: 0\r\n\r\n", false},
		"another instance":     {"HTTP/1.1 200 OK\r\nAnswered-By: i-2\r\nCold-Ms: 0\r\nContent-Length: 0\r\n\r\n", true},
		"not a time":           {"HTTP/1.1 200 OK\r\nAnswered-By: i-1\r\nCold-Ms: soon\r\nContent-Length: 0\r\n\r\n", true},
		"two times":            {"HTTP/1.1 200 OK\r\nAnswered-By: i-1\r\nCold-Ms: 0\r\nCold-Ms: 2500\r\nContent-Length: 0\r\n\r\n", true},
		"two instances":        {"HTTP/1.1 200 OK\r\nAnswered-By: i-1\r\nAnswered-By: i-2\r\nCold-Ms: 0\r\nContent-Length: 0\r\n\r\n", true},
		"beyond its range":     {"HTTP/1.1 200 OK\r\nAnswered-By: i-1\r\nCold-Ms: 99999999999999999999\r\nContent-Length: 0\r\n\r\n", true},
		"below zero":           {"HTTP/1.1 200 OK\r\nAnswered-By: i-1\r\nCold-Ms: -1\r\nContent-Length: 0\r\n\r\n", true},
		"fails":                {"HTTP/1.1 503 X\r\nAnswered-By: i-1\r\nContent-Length: 0\r\n\r\n", true},
	}
	for name, test := range responses {
		t.Run(name, func(t *testing.T) {
			backend := startRawBackend(t, func(*http.Request) string { return test.response })
			g := gatewayToProbe(t, backend)
			cold, probe := g.slots.warmUpState()
			assert.Assert(t, cold && probe, "before the probe")
			g.checkWarmUp(t.Context())
			cold, _ = g.slots.warmUpState()
			assert.Equal(t, cold, test.cold)
			assert.Equal(t, g.registry.snapshot().Cold, test.cold)
		})
	}
}

// gatewayToProbe returns a gateway that does not know whether its back end is cold.
func gatewayToProbe(t *testing.T, backend *rawBackend) *Gateway {
	g := gatewayWithBackend(t, backend)
	g.config.Service = "s"
	g.config.Headers.WarmUpLeft, g.config.Headers.InstanceID = "Cold-Ms", "Answered-By"
	g.views.beforeSwap = g.prepareView
	advance(t, g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{
		{Name: "s", HealthPath: "/health", WarmupRate: coldRate, Warmup: time.Hour},
	}}})
	return g
}

// A surplus answer to a request came in the place of the answer to the next probe. As it states no
// warm-up, the back end was taken for warm. A surplus answer to a probe broke the next request off.
func TestSurplusAnswersOfProbesAndRequests(t *testing.T) {
	const health = "HTTP/1.1 200 OK\r\nAnswered-By: i-1\r\nCold-Ms: 2500\r\nContent-Length: 0\r\n\r\n"
	gatewayWithSurplusOf := func(path string) *Gateway {
		return gatewayToProbe(t, surplusBackend(t, func(r *http.Request) (text string, surplus bool) {
			if surplus = r.URL.Path == path; r.URL.Path == "/health" {
				return health, surplus
			}
			return responseText("200 OK", r.Header.Get("Try-Name"), seal, "done"), surplus
		}))
	}
	serve := func(g *Gateway) {
		assert.Equal(t, g.egress.serve(t.Context(), testRequest("r1")).Outcome, outcomeAnswered)
	}
	probe := func(g *Gateway) {
		g.checkWarmUp(t.Context())
		cold, again := g.slots.warmUpState()
		assert.Assert(t, cold && !again, "the probe's own answer says that it is cold")
	}
	afterRequest := gatewayWithSurplusOf("/a/b/c")
	serve(afterRequest)
	probe(afterRequest)
	afterProbe := gatewayWithSurplusOf("/health")
	probe(afterProbe)
	serve(afterProbe)
}

// The warm-up state in the first heartbeat of an incarnation applies before the
// incarnation's first request is admitted, and a new incarnation is not treated as warm
// because the previous one was.
func TestNewIncarnationIsColdFromFirstHeartbeat(t *testing.T) {
	g := newSlotLimiter()
	g.configureWarmUp(coldRate, coldPeriod)
	r := newRegistry(func() {})
	r.onWarmUp = g.updateWarmUpFromHeartbeat
	receive := func(id string, sequence uint64, left time.Duration) {
		r.heartbeat(Registration{ID: id, State: fleetwire.InstanceReady, Sequence: sequence, WarmUpLeft: left}, time.Second, steady.Reading())
	}
	receive("i-1", 1, 0)
	cold, _ := g.warmUpState()
	assert.Assert(t, !cold)
	receive("i-2", 1, coldPeriod)
	cold, _ = g.warmUpState()
	assert.Assert(t, cold && r.snapshot().Cold)
	receive("i-2", 2, 0)
	cold, _ = g.warmUpState()
	assert.Assert(t, cold, "a heartbeat may be older than the cause of the cold state")
}

// To every gateway a cold back end looks idle. Together they must send it about its warm-up
// rate.
func TestGatewaysShareWarmUpRate(t *testing.T) {
	const seconds = 10
	synctest.Test(t, func(t *testing.T) {
		var gateways []*Gateway
		for range 10 {
			g := gatewayWithTwoZones(t)
			instances := []fleetwire.Instance{
				{ID: "full", Service: "s", Node: "node-near", Zone: "a", Address: "127.0.0.1:1", State: fleetwire.InstanceReady},
				{ID: "cold", Service: "s", Node: "node-cold", Zone: "a", Address: "127.0.0.1:3", State: fleetwire.InstanceReady, Cold: true},
			}
			for i := range 8 {
				instances = append(instances, fleetwire.Instance{ID: string(rune('p' + i)), Service: "other", State: fleetwire.InstanceReady})
			}
			advance(t, g.views, viewOf(true, instances...))
			gateways = append(gateways, g)
		}
		service := &routeconfig.Service{Name: "s", WarmupRate: coldRate}
		route := &routeconfig.Route{TargetLatency: time.Second}
		sent := 0
		for range seconds * 100 {
			for _, g := range gateways {
				g.setPeerLoad("127.0.0.1:1", 60, time.Second)
				found, _, _ := g.choose(&call{service: service, route: route}, 0, false, nil)
				if found.ID == "cold" {
					sent++
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, float64(sent) <= 1.2*coldRate*seconds, "%d", sent)
		assert.Assert(t, float64(sent) >= 0.8*coldRate*seconds, "%d", sent)
	})
}
