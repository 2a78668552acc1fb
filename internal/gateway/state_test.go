package gateway

import (
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

func documentOf(version routeconfig.Version) *routeconfig.Document {
	return &routeconfig.Document{Version: version}
}

// Neither a leader elected with an older state nor a late message may revert the view.
func TestViewNeverReverts(t *testing.T) {
	v := newViewStore()
	advance(t, v, &fleetwire.View{Document: documentOf(7)})
	advance(t, v, &fleetwire.View{Document: documentOf(5)})
	assert.Equal(t, v.load().version(), routeconfig.Version(7))
	advance(t, v, viewOfOwners(9, allKeysOf("new")))
	assert.ErrorIs(t, v.apply(viewOfOwners(8, allKeysOf("old")), time.Time{}), errViewMismatch)
	assert.Equal(t, v.load().owners["s"].Find(1).Owner, "new")
}

// A new leader has not received reports from all gateways yet, so the known instances stay in
// use.
func TestIncompleteViewKeepsOtherInstances(t *testing.T) {
	v := newViewStore()
	listing := func(complete bool, ids ...string) *fleetwire.View {
		var instances []fleetwire.Instance
		for _, id := range ids {
			instances = append(instances, fleetwire.Instance{ID: id, Node: "node-" + id, Service: "s"})
		}
		return viewOf(complete, instances...)
	}
	advance(t, v, listing(true, "a", "b"))
	advance(t, v, listing(false, "b"))
	assert.Equal(t, len(v.load().instances["s"]), 2)
	advance(t, v, listing(true, "b"))
	assert.Equal(t, len(v.load().instances["s"]), 1)
}

func registration(id string, sequence uint64, state fleetwire.InstanceState) Registration {
	return Registration{ID: id, Service: "s", Slots: 4, State: state, Sequence: sequence}
}

func TestLateHeartbeatIsIgnored(t *testing.T) {
	now := steady.Reading()
	r := newRegistry(func() {})
	r.heartbeat(registration("a", 1, fleetwire.InstanceReady), time.Second, now)
	r.heartbeat(registration("a", 3, fleetwire.InstanceDraining), time.Second, now)
	r.heartbeat(registration("a", 2, fleetwire.InstanceReady), time.Second, now)
	assert.Equal(t, r.snapshot().State, fleetwire.InstanceDraining)
	assert.Assert(t, r.admits("a", now))
	assert.Assert(t, !r.admits("a", now.Add(time.Second)), "refused after the drain")
	r.heartbeat(registration("b", 1, fleetwire.InstanceReady), time.Second, now)
	r.heartbeat(registration("a", 9, fleetwire.InstanceReady), time.Second, now)
	assert.Equal(t, r.snapshot().ID, "b", "the earlier incarnation has been replaced")
	assert.Assert(t, r.admits("b", now.Add(time.Hour)))
}

func TestDeregisteredBackEndStaysDraining(t *testing.T) {
	now := steady.Reading()
	r := newRegistry(func() {})
	r.heartbeat(registration("a", 1, fleetwire.InstanceReady), time.Second, now)
	r.deregister("a", time.Second, now)
	r.heartbeat(registration("a", 2, fleetwire.InstanceReady), time.Second, now)
	assert.Equal(t, r.snapshot().State, fleetwire.InstanceDraining)
	assert.Assert(t, !r.admits("a", now.Add(time.Second)))
}

// The gateway may have acknowledged a drain before it was restarted.
func TestRestartedGatewayRestoresDrain(t *testing.T) {
	now := steady.Reading()
	r := newRegistry(func() {})
	r.restore(fleetwire.Instance{ID: "a", Service: "s", Slots: 4, State: fleetwire.InstanceDraining, Sequence: 4}, time.Second, now)
	assert.Assert(t, !r.admits("a", now.Add(time.Millisecond)))
	r.heartbeat(registration("a", 3, fleetwire.InstanceReady), time.Second, now)
	assert.Assert(t, !r.admits("a", now.Add(time.Millisecond)))
}

// roundingDown returns budgets whose fractions are always rounded down.
func roundingDown(config RetryBudget) *retryBudgets {
	b := newRetryBudgets(config)
	b.draw = func() float64 { return 0 }
	return b
}

// Where a gateway's part of the budget is less than a few retries, the parts of all gateways still
// add up to the fleet's budget: not above it, and not far below what they may use.
func TestPartsOfSmallBudgetsAddUp(t *testing.T) {
	const ratio, slack, requests = 0.2, 602, 30_000
	for _, gateways := range []int{12, 100, 400, 1600} {
		random := rand.New(rand.NewPCG(1, uint64(gateways)))
		now, resends, reruns := steady.Now(), 0, 0
		for range gateways {
			b := newRetryBudgets(RetryBudget{Ratio: ratio, Slack: slack, Window: 10 * time.Second})
			b.draw = random.Float64
			for range requests / gateways {
				b.countRequest("resent", now)
				b.countRequest("rerun", now)
			}
			for b.allowRetry("resent", resend, gateways, now) {
				resends++
			}
			for b.allowRetry("rerun", rerun, gateways, now) {
				reruns++
			}
		}
		meant := ratio * requests * gatewayRatioFraction
		assert.Check(t, float64(resends) >= 0.9*meant && resends <= ratio*requests+slack, "%d gateways: %d resends", gateways, resends)
		assert.Check(t, float64(reruns) >= 0.9*meant*rerunFraction && float64(reruns) <= (meant+slack)*rerunFraction*1.1, "%d gateways: %d reruns", gateways, reruns)
	}
}

func TestRetriesStayWithinBudgetOfEachWindow(t *testing.T) {
	b := roundingDown(RetryBudget{Ratio: 0.2, Slack: 58, Window: 10 * time.Second})
	now := steady.Now()
	for range 1000 {
		b.countRequest("s", now)
	}
	allowed := 0
	for b.allowRetry("s", resend, 12, now) {
		allowed++
	}
	assert.Assert(t, allowed > 0 && float64(allowed) <= 0.2*1000*gatewayRatioFraction+maxGatewaySlack, "%d", allowed)
	assert.Assert(t, !b.allowRetry("s", resend, 12, now.Add(9*time.Second)))
	assert.Assert(t, b.allowRetry("s", resend, 12, now.Add(11*time.Second)), "the slack of a new window")
	assert.Assert(t, !b.allowRetry("s", resend, 12, now.Add(12*time.Second)), "no further retries without requests")
}

// The calls that reruns make again are retries at the services that they call, so that a called
// service whose own retries use up this gateway's part stays within its ratio.
func TestRerunsLeaveBudgetForTheirCalls(t *testing.T) {
	const requests, callsPerRun = 10_000.0, 2.0
	b := newRetryBudgets(RetryBudget{Ratio: 0.2, Slack: 200, Window: 10 * time.Second})
	now := steady.Now()
	for range int(requests) {
		b.countRequest("calling", now)
		b.countRequest("called", now)
	}
	reruns, resends := 0.0, 0.0
	for b.allowRetry("calling", rerun, 1, now) {
		reruns++
	}
	for b.allowRetry("called", resend, 1, now) {
		resends++
	}
	assert.Assert(t, reruns > 0 && reruns*callsPerRun+resends <= 0.2*requests, "%v reruns with %v calls each, %v resends", reruns, callsPerRun, resends)
	assert.Assert(t, b.allowRetry("calling", resend, 1, now), "resends are not bounded by the reruns")
}

// The budget applies to the whole fleet: the slacks of all gateways together must stay within
// it, whatever their number.
func TestRetrySlackIsSharedByAllGateways(t *testing.T) {
	const slack = 602
	for _, gateways := range []int{1, 12, 280, 1100} {
		b := roundingDown(RetryBudget{Ratio: 0.2, Slack: slack, Window: 10 * time.Second})
		perGateway := 0
		for b.allowRetry("s", resend, gateways, steady.Now()) {
			perGateway++
		}
		assert.Assert(t, perGateway*gateways <= slack, "%d gateways with %d retries each", gateways, perGateway)
	}
}

func TestOnlyEndToEndHeadersAreForwarded(t *testing.T) {
	header := http.Header{
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"3"}, "Try-Name": {"r"}, "Quartzdock-Instance": {"forged"},
	}
	assert.DeepEqual(t, forwardable(header), http.Header{"Try-Name": {"r"}})
}

func TestLoadRoundTrip(t *testing.T) {
	load := peerLoad{running: 3, waiting: 1, slots: 18, serviceTime: 90 * time.Millisecond, shortServiceTime: 20 * time.Millisecond, shortMaxTarget: 150 * time.Millisecond, linkBacklog: time.Second}
	read, ok := parseLoad(formatLoad(load))
	assert.Assert(t, ok)
	assert.Equal(t, read, load)
	_, ok = parseLoad("1,2,x")
	assert.Assert(t, !ok)
}
