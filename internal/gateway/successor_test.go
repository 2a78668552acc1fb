package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/incarnation"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// Incarnations under one id. The clock of the back end has jumped back between them, so that
// their start times do not show their order.
var (
	formerIncarnation = incarnation.Incarnation{ID: "i-1", Born: 2000}.Name()
	nextIncarnation   = incarnation.Incarnation{ID: "i-1", Born: 1000}.Name()
	otherIncarnation  = incarnation.Incarnation{ID: "i-2", Born: 4000}.Name()
	thirdIncarnation  = incarnation.Incarnation{ID: "i-1", Born: 3000}.Name()
)

// incarnationEvent is an event at a gateway, a number of intervals after the previous one.
type incarnationEvent struct {
	after float64
	// incarnation and sequence are those of a heartbeat; event is empty for heartbeats.
	incarnation string
	sequence    uint64
	event       string
}

// Events other than heartbeats.
const (
	connectionRefused = "connection refused"
	deregistered      = "deregistered"
	gatewayRestarts   = "gateway restarts"
	leaderResponds    = "leader responds"
)

func (e incarnationEvent) apply(r *registry, now time.Time) *registry {
	switch e.event {
	case connectionRefused:
		r.markUnreachable(e.incarnation)
	case deregistered:
		r.deregister(e.incarnation, time.Second, now)
	case gatewayRestarts:
		r = newRegistry(func() {})
		r.heartbeatInterval = heartbeatInterval
	case leaderResponds:
		r.restore(fleetwire.Instance{ID: e.incarnation, Service: "s", State: fleetwire.InstanceReady, Sequence: e.sequence}, time.Second, now)
	default:
		sendHeartbeat(r, e.incarnation, e.sequence, now)
	}
	return r
}

// A back end restarts under its id, and its sequence numbers start again. Heartbeats of its
// incarnations arrive late, twice and out of order; the current incarnation is the one that
// continues to send heartbeats.
func TestTheCurrentIncarnationIsTheOneThatSendsHeartbeats(t *testing.T) {
	for name, test := range map[string]struct {
		events []incarnationEvent
		want   string
		gone   bool
	}{
		"the next incarnation after a refused connection": {want: nextIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {incarnation: formerIncarnation, event: connectionRefused}, {after: 0.1, incarnation: nextIncarnation, sequence: 1},
		}},
		"the next incarnation after silence": {want: nextIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {after: 2, incarnation: nextIncarnation, sequence: 1},
		}},
		"the next incarnation after an unnoticed restart": {want: nextIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {after: 0.3, incarnation: nextIncarnation, sequence: 1}, {after: 1, incarnation: nextIncarnation, sequence: 2},
		}},
		"not before it alone sends heartbeats": {want: formerIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {after: 0.3, incarnation: nextIncarnation, sequence: 1},
		}},
		"a late heartbeat of the former incarnation": {want: nextIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {after: 2, incarnation: nextIncarnation, sequence: 1}, {after: 0.5, incarnation: formerIncarnation, sequence: 41},
			{after: 3, incarnation: formerIncarnation, sequence: 42},
		}},
		"a late heartbeat of the former incarnation, to a gateway that restarted": {want: nextIncarnation, events: []incarnationEvent{
			{incarnation: nextIncarnation, sequence: 5}, {event: gatewayRestarts}, {incarnation: nextIncarnation, sequence: 5, event: leaderResponds},
			{after: 0.2, incarnation: formerIncarnation, sequence: 40}, {after: 0.1, incarnation: formerIncarnation, sequence: 41},
			{after: 0.2, incarnation: nextIncarnation, sequence: 6}, {after: 0.8, incarnation: formerIncarnation, sequence: 42}, {after: 0.2, incarnation: nextIncarnation, sequence: 7},
		}},
		"a first heartbeat of the former incarnation, late": {want: nextIncarnation, events: []incarnationEvent{
			{incarnation: nextIncarnation, sequence: 5}, {event: gatewayRestarts}, {incarnation: nextIncarnation, sequence: 5, event: leaderResponds},
			{after: 0.2, incarnation: formerIncarnation, sequence: 1}, {after: 0.2, incarnation: nextIncarnation, sequence: 6},
		}},
		"a first heartbeat of an earlier incarnation under another id, late, to a gateway that restarted": {want: nextIncarnation, events: []incarnationEvent{
			{incarnation: nextIncarnation, sequence: 5}, {event: gatewayRestarts}, {incarnation: nextIncarnation, sequence: 5, event: leaderResponds},
			{after: 0.2, incarnation: otherIncarnation, sequence: 1}, {after: 0.7, incarnation: nextIncarnation, sequence: 6}, {after: 0.1, incarnation: otherIncarnation, sequence: 2},
			{after: 0.8, incarnation: nextIncarnation, sequence: 7},
		}},
		"a first heartbeat under another id after a deregistration": {want: otherIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {incarnation: formerIncarnation, event: deregistered}, {after: 0.2, incarnation: otherIncarnation, sequence: 1},
		}},
		"a first heartbeat under another id after a refused connection": {want: otherIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {incarnation: formerIncarnation, event: connectionRefused}, {after: 0.1, incarnation: otherIncarnation, sequence: 1},
		}},
		"only first heartbeats under another id": {want: otherIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {after: 0.1, incarnation: otherIncarnation, sequence: 1}, {after: 1, incarnation: otherIncarnation, sequence: 2},
		}},
		"heartbeats of both, out of order": {want: nextIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {after: 0.2, incarnation: nextIncarnation, sequence: 2}, {after: 0.1, incarnation: formerIncarnation, sequence: 41},
			{after: 0.1, incarnation: nextIncarnation, sequence: 1}, {after: 0.9, incarnation: nextIncarnation, sequence: 3}, {after: 1, incarnation: nextIncarnation, sequence: 4},
		}},
		"a heartbeat twice": {want: formerIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {after: 0.4, incarnation: nextIncarnation, sequence: 1}, {after: 1, incarnation: nextIncarnation, sequence: 1},
		}},
		"a restarted gateway and the next incarnation": {want: nextIncarnation, events: []incarnationEvent{
			{event: gatewayRestarts}, {incarnation: formerIncarnation, sequence: 40, event: leaderResponds},
			{after: 0.5, incarnation: nextIncarnation, sequence: 7}, {after: 1, incarnation: nextIncarnation, sequence: 8},
		}},
		"a late heartbeat of the former incarnation that arrives first": {want: nextIncarnation, events: []incarnationEvent{
			{event: gatewayRestarts}, {incarnation: formerIncarnation, sequence: 40}, {after: 0.3, incarnation: nextIncarnation, sequence: 7},
			{after: 1, incarnation: nextIncarnation, sequence: 8},
		}},
		"a third incarnation": {want: thirdIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {after: 2, incarnation: nextIncarnation, sequence: 1}, {after: 2, incarnation: thirdIncarnation, sequence: 1},
			{after: 0.1, incarnation: formerIncarnation, sequence: 50}, {after: 0.1, incarnation: nextIncarnation, sequence: 9},
		}},
		"a deregistration of the former incarnation, late": {want: nextIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {after: 2, incarnation: nextIncarnation, sequence: 1}, {incarnation: formerIncarnation, event: deregistered},
		}},
		"a refused connection to the former incarnation, late": {want: nextIncarnation, events: []incarnationEvent{
			{incarnation: formerIncarnation, sequence: 40}, {after: 2, incarnation: nextIncarnation, sequence: 1}, {incarnation: formerIncarnation, event: connectionRefused},
		}},
		"a deregistration without a start time": {want: nextIncarnation, gone: true, events: []incarnationEvent{
			{incarnation: nextIncarnation, sequence: 1}, {incarnation: "i-1", event: deregistered},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(func() {})
			r.heartbeatInterval = heartbeatInterval
			now := steady.Reading()
			for _, event := range test.events {
				now = now.Add(time.Duration(event.after * float64(heartbeatInterval)))
				r = event.apply(r, now)
			}
			current := r.snapshot()
			assert.Equal(t, current.ID, test.want)
			assert.Equal(t, current.State != fleetwire.InstanceReady, test.gone)
		})
	}
}

// successorIncarnation is the next incarnation of the rig's back end, "i-1".
var successorIncarnation = incarnation.Incarnation{ID: "i-1", Born: 5}.Name()

// incarnationKeyHold is how long keys are granted in the rig: longer than an incarnation is
// silent before the next one's first heartbeat.
const incarnationKeyHold = 2 * time.Second

// newIncarnationRig returns a rig whose back end may restart.
func newIncarnationRig(t *testing.T) *grantRig {
	rig := newGrantRig(t)
	rig.g.config.KeyHold = incarnationKeyHold
	rig.g.registry.heartbeatInterval = heartbeatInterval
	rig.g.registry.stopGrants = rig.g.keys.stopGrants
	return rig
}

// nextHeartbeat delivers the first heartbeat of the next incarnation after the current one has
// been silent.
func (r *grantRig) nextHeartbeat() {
	time.Sleep(2 * heartbeatInterval)
	next := Registration{ID: successorIncarnation, Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}
	r.g.registry.heartbeat(next, time.Second, steady.Reading())
}

// Another incarnation at the address does not prove the end of the former one, which may only
// have closed its listener, and no response from there shortens the time of the former one's
// grants: the other one also receives renewals meant for the former one. The other one is
// reported to the leader once those grants have expired.
func TestTheNextIncarnationIsReportedOnceTheFormerOnesGrantsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newIncarnationRig(t)
		rig.lease(leasedRange(0, 9), nil)
		assert.Assert(t, rig.g.keys.holds("i-1", 4, steady.Reading()))
		rig.nextHeartbeat()
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1", "the former incarnation may hold its keys")
		assert.Assert(t, !rig.g.keys.holds("i-1", 4, steady.Reading()))
		granted := rig.holder.granted()
		time.Sleep(incarnationKeyHold - incarnationKeyHold/renewalsPerGrant)
		synctest.Wait()
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
		assert.Equal(t, len(rig.holder.granted()), len(granted), "nothing more is granted")
		time.Sleep(incarnationKeyHold/renewalsPerGrant + 2*grantCheckInterval)
		synctest.Wait()
		assert.Equal(t, rig.g.registry.snapshot().ID, successorIncarnation)
		assert.Assert(t, rig.g.session.buildReport().EarlierOver)
	})
}

// The next incarnation is accepted although renewals got no response. The former one may still
// apply such a renewal, so that its keys are free only once it can't any more.
func TestUnansweredGrantsDelayTheFormerIncarnationsKeysButNotTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newIncarnationRig(t)
		rig.lease(leasedRange(0, 9), nil)
		rig.holder.setError(errInvalidResponse)
		rig.nextHeartbeat()
		time.Sleep(2 * incarnationKeyHold)
		synctest.Wait()
		assert.Equal(t, rig.g.registry.snapshot().ID, successorIncarnation)
		assert.Assert(t, !rig.g.session.buildReport().EarlierOver)
		time.Sleep(maxGrantDelay)
		assert.Assert(t, rig.g.session.buildReport().EarlierOver)
	})
}

// A current incarnation that sends a heartbeat again gets its keys back.
func TestACurrentIncarnationThatSendsAHeartbeatAgainStaysCurrent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newIncarnationRig(t)
		rig.lease(leasedRange(0, 9), nil)
		rig.holder.setError(errInvalidResponse)
		rig.nextHeartbeat()
		rig.holder.setError(nil)
		_, err := rig.g.Heartbeat(context.Background(), Registration{ID: "i-1", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 2})
		assert.NilError(t, err)
		time.Sleep(2 * grantCheckInterval)
		synctest.Wait()
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
		assert.Assert(t, rig.g.keys.holds("i-1", 4, steady.Reading()))
	})
}

// An incarnation that the leader knew and that has not been verified reports no releases: it
// may be running, and hold what an earlier process has granted.
func TestAnUnverifiedIncarnationReportsNoReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newGrantRig(t)
		rig.g.registry.unverified = true
		rig.g.config.Service = "s"
		advance(t, rig.g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s", Keyed: true, WarmupRate: coldRate}}}})
		assert.Assert(t, rig.g.identityUnconfirmed())
		rig.lease(nil, leasedRange(0, 9))
		assert.Equal(t, len(rig.g.keys.reportReleases(0)), 0)
	})
}

// The previous gateway process may have sent grants, too: they must have expired even if this
// process has granted nothing, and even if no lease has arrived yet.
func TestGrantsOfAnEarlierProcessDelayTheNextIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newIncarnationRig(t)
		rig.nextHeartbeat()
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
		assert.Assert(t, !rig.g.session.buildReport().EarlierOver)
		time.Sleep(steady.Until(rig.g.keys.earlierProcessExpiresAt().Add(2 * grantCheckInterval)))
		synctest.Wait()
		assert.Equal(t, rig.g.registry.snapshot().ID, successorIncarnation)
		assert.Assert(t, rig.g.session.buildReport().EarlierOver)
	})
}

// slowHolder responds to grants only when the test lets it.
type slowHolder struct {
	fakeHolder
	called, respond chan struct{}
}

func (h *slowHolder) Grant(context.Context, GrantOrder) error {
	h.called <- struct{}{}
	<-h.respond
	return errInvalidResponse
}

// A grant in flight when its incarnation becomes unreachable may still be applied. The keys are
// reported to the leader as free once it can't be any more.
func TestKeysOfAnUnreachableIncarnationAreFreeOnceNoGrantIsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newIncarnationRig(t)
		holder := &slowHolder{called: make(chan struct{}, 1), respond: make(chan struct{})}
		rig.g.config.Keys = holder
		rig.lease(leasedRange(0, 9), nil)
		<-holder.called
		rig.g.registry.markUnreachable("i-1")
		time.Sleep(2 * grantCheckInterval)
		synctest.Wait()
		ended := rig.g.registry.snapshot()
		assert.Equal(t, ended.State, fleetwire.InstanceGone, "it gets no new requests")
		assert.Assert(t, !ended.Released)
		close(holder.respond)
		time.Sleep(maxGrantDelay - grantCheckInterval)
		synctest.Wait()
		assert.Assert(t, !rig.g.registry.snapshot().Released, "the grant had no response")
		time.Sleep(3 * grantCheckInterval)
		synctest.Wait()
		assert.Assert(t, rig.g.registry.snapshot().Released)
	})
}

// A gateway that restarted together with its back end knows the incarnation that the leader
// knew, which will never be verified. The next one is delayed by the duration of one grant
// from the gateway's start, and no longer.
func TestTheSuccessorOfAnUnverifiedIncarnationIsAcceptedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newIncarnationRig(t)
		rig.g.registry.unverified = true
		rig.g.config.Service = "s"
		advance(t, rig.g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s", Keyed: true, WarmupRate: coldRate}}}})
		rig.lease(leasedRange(0, 9), nil)
		rig.nextHeartbeat()
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
		time.Sleep(steady.Until(rig.g.keys.earlierProcessExpiresAt().Add(2 * grantCheckInterval)))
		synctest.Wait()
		assert.Equal(t, len(rig.holder.granted()), 0)
		assert.Equal(t, rig.g.registry.snapshot().ID, successorIncarnation)
	})
}

// A back end whose service is not divided by key holds nothing: its next incarnation need not
// wait.
func TestTheNextIncarnationOfAServiceWithoutKeysIsAcceptedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newIncarnationRig(t)
		advance(t, rig.g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s"}}}})
		rig.nextHeartbeat()
		assert.Equal(t, rig.g.registry.snapshot().ID, successorIncarnation)
	})
}

// A gateway that had restarted accepted a heartbeat of another sender as its back end's, before
// it knew any incarnation or configuration. The leader reassigned the keys of the incarnation
// that it knew while that one held them: "side-7-0 and side-12-0 both hold keys of 16384 to
// 17671". So the gateway waits for the leader to report the incarnation that it knew, unless an
// incarnation has just started.
func TestAGatewayThatKnowsNoIncarnationWaitsForTheLeader(t *testing.T) {
	for name, test := range map[string]struct {
		known, want string
	}{
		"the incarnation that sent the heartbeat": {known: formerIncarnation, want: formerIncarnation},
		"another one":                     {known: nextIncarnation, want: nextIncarnation},
		"none, so that the sender is new": {want: formerIncarnation},
	} {
		t.Run(name, func(t *testing.T) {
			answered := false
			r := newRegistry(func() {})
			r.heartbeatInterval = heartbeatInterval
			r.leaderResponded = func() bool { return answered }
			now := steady.Reading()
			sendHeartbeat(r, formerIncarnation, 40, now)
			assert.Equal(t, r.snapshot().ID, "")
			if test.known != "" {
				r.restore(fleetwire.Instance{ID: test.known, Service: "s", State: fleetwire.InstanceReady, Sequence: 5}, time.Second, now)
			}
			answered = true
			r.retryCandidate(now)
			assert.Equal(t, r.snapshot().ID, test.want)
		})
	}
	r := newRegistry(func() {})
	r.leaderResponded = func() bool { return false }
	sendHeartbeat(r, nextIncarnation, 1, steady.Reading())
	assert.Equal(t, r.snapshot().ID, nextIncarnation, "an incarnation that has just started")
}

// A gateway serves the back end of one service; a heartbeat of another service is refused,
// whatever is known of the configuration.
func TestAHeartbeatOfAnotherServiceIsRefused(t *testing.T) {
	rig := newGrantRig(t)
	rig.g.config.Service = "s"
	_, err := rig.g.Heartbeat(context.Background(), Registration{ID: "i-2", Service: "unheard-of", Slots: 4, State: fleetwire.InstanceDraining, Sequence: 1})
	assert.ErrorIs(t, err, ErrOtherService)
	assert.Equal(t, heartbeatRefusalReason(err), "other-service")
	assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
}
