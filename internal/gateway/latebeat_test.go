package gateway

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

const beatInterval = 870 * time.Millisecond

// beat sends a heartbeat of a life to a registry.
func beat(r *registry, id string, sequence uint64, now time.Time) {
	r.heartbeat(Registration{ID: id, Service: "s", State: fleetwire.InstanceReady, Sequence: sequence}, time.Second, now)
}

// A heartbeat that was held up by a cut may arrive after its sender has crashed, the
// next life has registered, and the gateway has restarted, so that it remembers neither.
func TestALateHeartbeatOfAnEarlierLifeIsNotTheNextLife(t *testing.T) {
	r := newRegistry(func() {})
	r.interval = beatInterval
	now := steady.Reading()
	beat(r, "live", 5, now)
	beat(r, "dead", 40, now.Add(100*time.Millisecond))
	assert.Equal(t, r.snapshot().ID, "live")
	beat(r, "live", 6, now.Add(beatInterval))
	assert.Equal(t, r.snapshot().Sequence, uint64(6), "the present life is heard on")
}

// A gateway that has restarted knows the life that the leader knew. What is at the back
// end's address may be the next one, which must not get that one's keys.
func TestARestoredLifeGetsNoKeysBeforeItHasProvedItself(t *testing.T) {
	g := choosingGateway(t)
	g.config.Service = "s"
	g.registry = newRegistry(func() {})
	document := &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s", WarmupRate: coldRate}}}
	advance(t, g.views, &fleetwire.View{Document: document})
	known := fleetwire.Instance{ID: "i-1", Service: "s", State: fleetwire.InstanceReady, Sequence: 9}
	g.registry.restore(known, time.Second, steady.Reading())
	assert.Assert(t, g.unproved())
	g.registry.prove("i-2")
	assert.Assert(t, g.unproved(), "another one has answered")
	beat(g.registry, "i-1", 10, steady.Reading())
	assert.Assert(t, !g.unproved())
	g.registry = newRegistry(func() {})
	g.registry.restore(known, time.Second, steady.Reading())
	g.registry.prove("i-1")
	assert.Assert(t, !g.unproved())
}

// A new life whose first heartbeats were lost is known after a moment.
func TestANewLifeIsKnownThoughItsFirstHeartbeatsWereLost(t *testing.T) {
	r := newRegistry(func() {})
	r.interval = beatInterval
	now := steady.Reading()
	beat(r, "last", 40, now)
	beat(r, "next", 7, now.Add(2*beatInterval))
	assert.Equal(t, r.snapshot().ID, "next")
	beat(r, "after", 1, now.Add(2*beatInterval+time.Millisecond))
	assert.Equal(t, r.snapshot().ID, "next", "a first heartbeat may be late, too")
	beat(r, "after", 2, now.Add(3*beatInterval))
	assert.Equal(t, r.snapshot().ID, "after", "it is heard alone")
	r.lost("after")
	beat(r, "last but one", 1, now.Add(3*beatInterval))
	assert.Equal(t, r.snapshot().ID, "last but one", "the one before can't be reached")
}
