package gateway

import (
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

// A leader that was elected with less, or a late message, must not bring an
// older state back.
func TestAViewNeverGoesBack(t *testing.T) {
	v := newViews()
	advance(t, v, &fleetwire.View{Document: documentOf(7)})
	advance(t, v, &fleetwire.View{Document: documentOf(5)})
	assert.Equal(t, v.load().version(), routeconfig.Version(7))
	advance(t, v, viewOfOwners(9, owned("new")))
	assert.ErrorIs(t, v.advance(viewOfOwners(8, owned("old")), time.Time{}), errOtherView)
	assert.Equal(t, v.load().owners["s"].Find(1).Owner, "new")
}

// A new leader has not heard all gateways yet; what is known stays in use.
func TestAnIncompleteViewKeepsTheOtherInstances(t *testing.T) {
	v := newViews()
	told := func(complete bool, ids ...string) *fleetwire.View {
		var instances []fleetwire.Instance
		for _, id := range ids {
			instances = append(instances, fleetwire.Instance{ID: id, Node: "node-" + id, Service: "s"})
		}
		return viewOf(complete, instances...)
	}
	advance(t, v, told(true, "a", "b"))
	advance(t, v, told(false, "b"))
	assert.Equal(t, len(v.load().instances["s"]), 2)
	advance(t, v, told(true, "b"))
	assert.Equal(t, len(v.load().instances["s"]), 1)
}

func registration(id string, sequence uint64, state fleetwire.InstanceState) Registration {
	return Registration{ID: id, Service: "s", Slots: 4, State: state, Sequence: sequence}
}

func TestALateHeartbeatChangesNothing(t *testing.T) {
	now := steady.Reading()
	r := newRegistry(func() {})
	r.heartbeat(registration("a", 1, fleetwire.InstanceReady), time.Second, now)
	r.heartbeat(registration("a", 3, fleetwire.InstanceDraining), time.Second, now)
	r.heartbeat(registration("a", 2, fleetwire.InstanceReady), time.Second, now)
	assert.Equal(t, r.snapshot().State, fleetwire.InstanceDraining)
	assert.Assert(t, r.admits("a", now))
	assert.Assert(t, !r.admits("a", now.Add(time.Second)), "nothing new after the drain")
	r.heartbeat(registration("b", 1, fleetwire.InstanceReady), time.Second, now)
	r.heartbeat(registration("a", 9, fleetwire.InstanceReady), time.Second, now)
	assert.Equal(t, r.snapshot().ID, "b", "the earlier life is over")
	assert.Assert(t, r.admits("b", now.Add(time.Hour)))
}

func TestADeregisteredBackEndIsNotTakenBack(t *testing.T) {
	now := steady.Reading()
	r := newRegistry(func() {})
	r.heartbeat(registration("a", 1, fleetwire.InstanceReady), time.Second, now)
	r.deregister("a", time.Second, now)
	r.heartbeat(registration("a", 2, fleetwire.InstanceReady), time.Second, now)
	assert.Equal(t, r.snapshot().State, fleetwire.InstanceDraining)
	assert.Assert(t, !r.admits("a", now.Add(time.Second)))
}

// A gateway that was restarted may have acknowledged a drain before.
func TestARestartedGatewayKeepsTheDrainThatTheLeaderKnows(t *testing.T) {
	now := steady.Reading()
	r := newRegistry(func() {})
	r.restore(fleetwire.Instance{ID: "a", Service: "s", Slots: 4, State: fleetwire.InstanceDraining, Sequence: 4}, time.Second, now)
	assert.Assert(t, !r.admits("a", now.Add(time.Millisecond)))
	r.heartbeat(registration("a", 3, fleetwire.InstanceReady), time.Second, now)
	assert.Assert(t, !r.admits("a", now.Add(time.Millisecond)))
}

func TestRepeatsStayWithinTheBudgetOfEachWindow(t *testing.T) {
	b := newRetryBudgets(RetryBudget{Ratio: 0.2, Slack: 58, Window: 10 * time.Second})
	now := steady.Now()
	for range 1000 {
		b.request("s", now)
	}
	granted := 0
	for b.repeat("s", 12, now) {
		granted++
	}
	assert.Assert(t, granted > 0 && float64(granted) <= 0.2*1000*ownShare+ownSlack, "%d", granted)
	assert.Assert(t, !b.repeat("s", 12, now.Add(9*time.Second)))
	assert.Assert(t, b.repeat("s", 12, now.Add(11*time.Second)), "the slack of a new window")
	assert.Assert(t, !b.repeat("s", 12, now.Add(12*time.Second)), "without requests there is no more")
}

// The budget is the fleet's: however many gateways there are, their slacks stay
// within it.
func TestTheSlackIsSharedByAllGateways(t *testing.T) {
	const slack = 602
	for _, gateways := range []int{1, 12, 280, 1100} {
		b := newRetryBudgets(RetryBudget{Ratio: 0.2, Slack: slack, Window: 10 * time.Second})
		own := 0
		for b.repeat("s", gateways, steady.Now()) {
			own++
		}
		assert.Assert(t, own*gateways <= slack, "%d gateways make %d each", gateways, own)
	}
}

func TestOnlyEndToEndFieldsGoOn(t *testing.T) {
	header := http.Header{
		"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "Transfer-Encoding": {"chunked"},
		"Content-Length": {"3"}, "Try-Name": {"r"}, "Quartzdock-Instance": {"forged"},
	}
	assert.DeepEqual(t, forwardable(header), http.Header{"Try-Name": {"r"}})
}

func TestLoadsSurviveTheWay(t *testing.T) {
	load := peerLoad{running: 3, waiting: 1, slots: 18, serviceTime: 90 * time.Millisecond, shortService: 20 * time.Millisecond, shortUpTo: 150 * time.Millisecond, linkBacklog: time.Second}
	read, ok := parseLoad(formatLoad(load))
	assert.Assert(t, ok)
	assert.Equal(t, read, load)
	_, ok = parseLoad("1,2,x")
	assert.Assert(t, !ok)
}
