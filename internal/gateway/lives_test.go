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

// Lives under one id. The clock of the back end has jumped back between them: no order
// follows from the starts.
var (
	formerLife = incarnation.Incarnation{ID: "i-1", Born: 2000}.Name()
	nextLife   = incarnation.Incarnation{ID: "i-1", Born: 1000}.Name()
	otherLife  = incarnation.Incarnation{ID: "i-2", Born: 4000}.Name()
	thirdLife  = incarnation.Incarnation{ID: "i-1", Born: 3000}.Name()
)

// lifeEvent is one thing that a gateway hears, intervals after the one before.
type lifeEvent struct {
	after float64
	// life and sequence of a heartbeat; other events have sequence zero.
	life     string
	sequence uint64
	event    string
}

// Events without a heartbeat.
const (
	connectionRefused = "connection refused"
	deregistered      = "deregistered"
	gatewayRestarts   = "gateway restarts"
	leaderTells       = "leader tells"
)

func (e lifeEvent) happen(r *registry, now time.Time) *registry {
	switch e.event {
	case connectionRefused:
		r.lost(e.life)
	case deregistered:
		r.deregister(e.life, time.Second, now)
	case gatewayRestarts:
		r = newRegistry(func() {})
		r.interval = beatInterval
	case leaderTells:
		r.restore(fleetwire.Instance{ID: e.life, Service: "s", State: fleetwire.InstanceReady, Sequence: e.sequence}, time.Second, now)
	default:
		beat(r, e.life, e.sequence, now)
	}
	return r
}

// A back end starts again under its id, and its counts start anew. Heartbeats of its lives
// come late, twice and crossed; the present life is the one that goes on being heard.
func TestThePresentLifeIsTheOneThatIsHeard(t *testing.T) {
	for name, test := range map[string]struct {
		events []lifeEvent
		want   string
		gone   bool
	}{
		"the next life after a refused connection": {want: nextLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {life: formerLife, event: connectionRefused}, {after: 0.1, life: nextLife, sequence: 1},
		}},
		"the next life after silence": {want: nextLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {after: 2, life: nextLife, sequence: 1},
		}},
		"the next life after a start that nobody noticed": {want: nextLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {after: 0.3, life: nextLife, sequence: 1}, {after: 1, life: nextLife, sequence: 2},
		}},
		"not before it is heard alone": {want: formerLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {after: 0.3, life: nextLife, sequence: 1},
		}},
		"a late heartbeat of the former life": {want: nextLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {after: 2, life: nextLife, sequence: 1}, {after: 0.5, life: formerLife, sequence: 41},
			{after: 3, life: formerLife, sequence: 42},
		}},
		"a late heartbeat of the former life, to a gateway that restarted": {want: nextLife, events: []lifeEvent{
			{life: nextLife, sequence: 5}, {event: gatewayRestarts}, {life: nextLife, sequence: 5, event: leaderTells},
			{after: 0.2, life: formerLife, sequence: 40}, {after: 0.1, life: formerLife, sequence: 41},
			{after: 0.2, life: nextLife, sequence: 6}, {after: 0.8, life: formerLife, sequence: 42}, {after: 0.2, life: nextLife, sequence: 7},
		}},
		"a first heartbeat of the former life, late": {want: nextLife, events: []lifeEvent{
			{life: nextLife, sequence: 5}, {event: gatewayRestarts}, {life: nextLife, sequence: 5, event: leaderTells},
			{after: 0.2, life: formerLife, sequence: 1}, {after: 0.2, life: nextLife, sequence: 6},
		}},
		"a first heartbeat of an earlier life under another id, late, to a gateway that restarted": {want: nextLife, events: []lifeEvent{
			{life: nextLife, sequence: 5}, {event: gatewayRestarts}, {life: nextLife, sequence: 5, event: leaderTells},
			{after: 0.2, life: otherLife, sequence: 1}, {after: 0.7, life: nextLife, sequence: 6}, {after: 0.1, life: otherLife, sequence: 2},
			{after: 0.8, life: nextLife, sequence: 7},
		}},
		"a first heartbeat under another id after one that leaves": {want: otherLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {life: formerLife, event: deregistered}, {after: 0.2, life: otherLife, sequence: 1},
		}},
		"a first heartbeat under another id after a refused connection": {want: otherLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {life: formerLife, event: connectionRefused}, {after: 0.1, life: otherLife, sequence: 1},
		}},
		"first heartbeats under another id alone": {want: otherLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {after: 0.1, life: otherLife, sequence: 1}, {after: 1, life: otherLife, sequence: 2},
		}},
		"heartbeats of both, crossed": {want: nextLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {after: 0.2, life: nextLife, sequence: 2}, {after: 0.1, life: formerLife, sequence: 41},
			{after: 0.1, life: nextLife, sequence: 1}, {after: 0.9, life: nextLife, sequence: 3}, {after: 1, life: nextLife, sequence: 4},
		}},
		"a heartbeat twice": {want: formerLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {after: 0.4, life: nextLife, sequence: 1}, {after: 1, life: nextLife, sequence: 1},
		}},
		"a restarted gateway beside the next life": {want: nextLife, events: []lifeEvent{
			{event: gatewayRestarts}, {life: formerLife, sequence: 40, event: leaderTells},
			{after: 0.5, life: nextLife, sequence: 7}, {after: 1, life: nextLife, sequence: 8},
		}},
		"a late word of the former life that was told first": {want: nextLife, events: []lifeEvent{
			{event: gatewayRestarts}, {life: formerLife, sequence: 40}, {after: 0.3, life: nextLife, sequence: 7},
			{after: 1, life: nextLife, sequence: 8},
		}},
		"a third life": {want: thirdLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {after: 2, life: nextLife, sequence: 1}, {after: 2, life: thirdLife, sequence: 1},
			{after: 0.1, life: formerLife, sequence: 50}, {after: 0.1, life: nextLife, sequence: 9},
		}},
		"a deregistration of the former life, late": {want: nextLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {after: 2, life: nextLife, sequence: 1}, {life: formerLife, event: deregistered},
		}},
		"an end of the former life, late": {want: nextLife, events: []lifeEvent{
			{life: formerLife, sequence: 40}, {after: 2, life: nextLife, sequence: 1}, {life: formerLife, event: connectionRefused},
		}},
		"a deregistration without a start": {want: nextLife, gone: true, events: []lifeEvent{
			{life: nextLife, sequence: 1}, {life: "i-1", event: deregistered},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRegistry(func() {})
			r.interval = beatInterval
			now := steady.Reading()
			for _, each := range test.events {
				now = now.Add(time.Duration(each.after * float64(beatInterval)))
				r = each.happen(r, now)
			}
			present := r.snapshot()
			assert.Equal(t, present.ID, test.want)
			assert.Equal(t, present.State != fleetwire.InstanceReady, test.gone)
		})
	}
}

// followingLife is the next one of the rig's back end, "i-1".
var followingLife = incarnation.Incarnation{ID: "i-1", Born: 5}.Name()

// livesHold is for how long keys are granted in the rig: longer than a life is silent before
// the next one is heard.
const livesHold = 2 * time.Second

// newLivesRig is a key keeper whose back end may start again.
func newLivesRig(t *testing.T) *keyRig {
	rig := newKeyRig(t)
	rig.g.config.KeyHold = livesHold
	rig.g.registry.interval = beatInterval
	rig.g.registry.yields = rig.g.keys.yield
	return rig
}

// hearNext hears the next life after the present one has been silent.
func (r *keyRig) hearNext() {
	time.Sleep(2 * beatInterval)
	next := Registration{ID: followingLife, Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 1}
	r.g.registry.heartbeat(next, time.Second, steady.Reading())
}

// Another life at the address proves no end of the one before, which may have closed its
// listener alone, and no answer from there shortens its time: it takes renewals that were
// meant for the former one. The leader hears of it once that time is over.
func TestTheNextLifeIsToldOfOnceTheFormerOnesTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLivesRig(t)
		rig.lease(held(0, 9), nil)
		assert.Assert(t, rig.g.keys.holds("i-1", 4, steady.Reading()))
		rig.hearNext()
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1", "its predecessor's keys may be held")
		assert.Assert(t, !rig.g.keys.holds("i-1", 4, steady.Reading()))
		granted := rig.holder.granted()
		time.Sleep(livesHold - livesHold/renewals)
		synctest.Wait()
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
		assert.Equal(t, len(rig.holder.granted()), len(granted), "nothing more is granted")
		time.Sleep(livesHold/renewals + 2*keysInterval)
		synctest.Wait()
		assert.Equal(t, rig.g.registry.snapshot().ID, followingLife)
		assert.Assert(t, rig.g.session.build().EarlierOver)
	})
}

// The next life is believed though renewals were not answered. One may still be carried out
// by the former life, so that its keys are free only once it can't be any more.
func TestGrantsWithoutAnswerHoldTheFormerLifesKeysAndNotTheNextLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLivesRig(t)
		rig.lease(held(0, 9), nil)
		rig.holder.setRefuse(errNoAnswer)
		rig.hearNext()
		time.Sleep(2 * livesHold)
		synctest.Wait()
		assert.Equal(t, rig.g.registry.snapshot().ID, followingLife)
		assert.Assert(t, !rig.g.session.build().EarlierOver)
		time.Sleep(openKept)
		assert.Assert(t, rig.g.session.build().EarlierOver)
	})
}

// A present life that is heard again gets its keys back.
func TestAPresentLifeThatIsHeardAgainKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLivesRig(t)
		rig.lease(held(0, 9), nil)
		rig.holder.setRefuse(errNoAnswer)
		rig.hearNext()
		rig.holder.setRefuse(nil)
		_, err := rig.g.Heartbeat(Registration{ID: "i-1", Service: "s", Slots: 4, State: fleetwire.InstanceReady, Sequence: 2})
		assert.NilError(t, err)
		time.Sleep(2 * keysInterval)
		synctest.Wait()
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
		assert.Assert(t, rig.g.keys.holds("i-1", 4, steady.Reading()))
	})
}

// A life that the leader knew and that has not proved itself promises nothing: it may
// live, and hold what an earlier process has granted.
func TestALifeThatHasNotProvedItselfPromisesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newKeyRig(t)
		rig.g.registry.unproved = true
		rig.g.config.Service = "s"
		advance(t, rig.g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s", Keyed: true, WarmupRate: coldRate}}}})
		assert.Assert(t, rig.g.unproved())
		rig.lease(nil, held(0, 9))
		assert.Equal(t, len(rig.g.keys.promises(0)), 0)
	})
}

// The process of the gateway before this one may have granted, too: the time of that must be
// over though this one has granted nothing, and also where no lease has come yet.
func TestGrantsOfAnEarlierProcessHoldTheNextLifeUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLivesRig(t)
		rig.hearNext()
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
		assert.Assert(t, !rig.g.session.build().EarlierOver)
		time.Sleep(steady.Until(rig.g.keys.earlierProcessUntil().Add(2 * keysInterval)))
		synctest.Wait()
		assert.Equal(t, rig.g.registry.snapshot().ID, followingLife)
		assert.Assert(t, rig.g.session.build().EarlierOver)
	})
}

// slowHolder answers grants only when it is told to.
type slowHolder struct {
	fakeHolder
	asked, answer chan struct{}
}

func (h *slowHolder) Grant(context.Context, GrantOrder) error {
	h.asked <- struct{}{}
	<-h.answer
	return errNoAnswer
}

// A grant that is on its way as its life can't be reached any more may still be carried out.
// The leader is told that the keys are free once it can't.
func TestKeysOfALifeThatHasEndedAreFreeOnceNoGrantIsOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLivesRig(t)
		holder := &slowHolder{asked: make(chan struct{}, 1), answer: make(chan struct{})}
		rig.g.config.Keys = holder
		rig.lease(held(0, 9), nil)
		<-holder.asked
		rig.g.registry.lost("i-1")
		time.Sleep(2 * keysInterval)
		synctest.Wait()
		ended := rig.g.registry.snapshot()
		assert.Equal(t, ended.State, fleetwire.InstanceGone, "it gets nothing from now on")
		assert.Assert(t, !ended.Released)
		close(holder.answer)
		time.Sleep(openKept - keysInterval)
		synctest.Wait()
		assert.Assert(t, !rig.g.registry.snapshot().Released, "the grant had no answer")
		time.Sleep(3 * keysInterval)
		synctest.Wait()
		assert.Assert(t, rig.g.registry.snapshot().Released)
	})
}

// A gateway that has restarted beside a back end that has, too, knows the life that the
// leader knew, which has not proved itself and never will. The next one is held up for the
// time of one grant from the gateway's start, and no longer.
func TestTheNextLifeIsBelievedSoonWhereTheFormerOneNeverProvedItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLivesRig(t)
		rig.g.registry.unproved = true
		rig.g.config.Service = "s"
		advance(t, rig.g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s", Keyed: true, WarmupRate: coldRate}}}})
		rig.lease(held(0, 9), nil)
		rig.hearNext()
		assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
		time.Sleep(steady.Until(rig.g.keys.earlierProcessUntil().Add(2 * keysInterval)))
		synctest.Wait()
		assert.Equal(t, len(rig.holder.granted()), 0)
		assert.Equal(t, rig.g.registry.snapshot().ID, followingLife)
	})
}

// A back end whose service is not divided by key holds nothing: its next life waits for
// nothing.
func TestTheNextLifeOfAServiceWithoutKeysIsBelievedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rig := newLivesRig(t)
		advance(t, rig.g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s"}}}})
		rig.hearNext()
		assert.Equal(t, rig.g.registry.snapshot().ID, followingLife)
	})
}

// A gateway that had restarted took the word of another writer for its back end's, before
// it knew any life or configuration. The leader gave the keys of the life that it knew to
// others while that held them: "side-7-0 and side-12-0 both hold keys of 16384 to 17671".
// So it waits for the leader to tell the life that it knew, unless a life has just begun.
func TestAGatewayThatKnowsNoLifeWaitsForTheLeaderToTellOne(t *testing.T) {
	for name, test := range map[string]struct {
		known, want string
	}{
		"the life that was heard":     {known: formerLife, want: formerLife},
		"another one":                 {known: nextLife, want: nextLife},
		"none, so that it is a start": {want: formerLife},
	} {
		t.Run(name, func(t *testing.T) {
			answered := false
			r := newRegistry(func() {})
			r.interval = beatInterval
			r.leaderAnswered = func() bool { return answered }
			now := steady.Reading()
			beat(r, formerLife, 40, now)
			assert.Equal(t, r.snapshot().ID, "")
			if test.known != "" {
				r.restore(fleetwire.Instance{ID: test.known, Service: "s", State: fleetwire.InstanceReady, Sequence: 5}, time.Second, now)
			}
			answered = true
			r.retry(now)
			assert.Equal(t, r.snapshot().ID, test.want)
		})
	}
	r := newRegistry(func() {})
	r.leaderAnswered = func() bool { return false }
	beat(r, nextLife, 1, steady.Reading())
	assert.Equal(t, r.snapshot().ID, nextLife, "a life that has just begun")
}

// A gateway stands beside one service; a heartbeat of another tells nothing, whatever is
// known of the configuration.
func TestAHeartbeatOfAnotherServiceTellsNothing(t *testing.T) {
	rig := newKeyRig(t)
	rig.g.config.Service = "s"
	_, err := rig.g.Heartbeat(Registration{ID: "i-2", Service: "unheard-of", Slots: 4, State: fleetwire.InstanceDraining, Sequence: 1})
	assert.ErrorIs(t, err, ErrOtherService)
	assert.Equal(t, refusalReason(err), "other-service")
	assert.Equal(t, rig.g.registry.snapshot().ID, "i-1")
}
