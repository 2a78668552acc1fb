package gateway

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

const heartbeatInterval = 870 * time.Millisecond

// sendHeartbeat sends a heartbeat of an incarnation to a registry.
func sendHeartbeat(r *registry, id string, sequence uint64, now time.Time) {
	r.heartbeat(Registration{ID: id, Service: "s", State: fleetwire.InstanceReady, Sequence: sequence}, time.Second, now)
}

// A heartbeat that was delayed by a network partition may arrive after its sender has crashed,
// the next incarnation has registered, and the gateway has restarted, so that it remembers
// neither.
func TestALateHeartbeatOfAnEarlierIncarnationIsNotItsSuccessors(t *testing.T) {
	r := newRegistry(func() {})
	r.heartbeatInterval = heartbeatInterval
	now := steady.Reading()
	sendHeartbeat(r, "live", 5, now)
	sendHeartbeat(r, "dead", 40, now.Add(100*time.Millisecond))
	assert.Equal(t, r.snapshot().ID, "live")
	sendHeartbeat(r, "live", 6, now.Add(heartbeatInterval))
	assert.Equal(t, r.snapshot().Sequence, uint64(6), "heartbeats of the current incarnation are still accepted")
}

// A gateway that has restarted knows the incarnation that the leader knew. The process at the
// back end's address may be the next one, which must not get the former one's keys.
func TestARestoredIncarnationIsUnverifiedUntilItResponds(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.config.Service = "s"
	g.registry = newRegistry(func() {})
	document := &routeconfig.Document{Version: 1, Services: []routeconfig.Service{{Name: "s", WarmupRate: coldRate}}}
	advance(t, g.views, &fleetwire.View{Document: document})
	known := fleetwire.Instance{ID: "i-1", Service: "s", State: fleetwire.InstanceReady, Sequence: 9}
	g.registry.restore(known, time.Second, steady.Reading())
	assert.Assert(t, g.identityUnconfirmed())
	g.registry.verify("i-2")
	assert.Assert(t, g.identityUnconfirmed(), "another back end has responded")
	sendHeartbeat(g.registry, "i-1", 10, steady.Reading())
	assert.Assert(t, !g.identityUnconfirmed())
	g.registry = newRegistry(func() {})
	g.registry.restore(known, time.Second, steady.Reading())
	g.registry.verify("i-1")
	assert.Assert(t, !g.identityUnconfirmed())
}

// A new incarnation whose first heartbeats were lost is accepted after a moment.
func TestANewIncarnationIsAcceptedThoughItsFirstHeartbeatsWereLost(t *testing.T) {
	r := newRegistry(func() {})
	r.heartbeatInterval = heartbeatInterval
	now := steady.Reading()
	sendHeartbeat(r, "last", 40, now)
	sendHeartbeat(r, "next", 7, now.Add(2*heartbeatInterval))
	assert.Equal(t, r.snapshot().ID, "next")
	sendHeartbeat(r, "after", 1, now.Add(2*heartbeatInterval+time.Millisecond))
	assert.Equal(t, r.snapshot().ID, "next", "a first heartbeat may be late, too")
	sendHeartbeat(r, "after", 2, now.Add(3*heartbeatInterval))
	assert.Equal(t, r.snapshot().ID, "after", "it alone sends heartbeats")
	r.markUnreachable("after")
	sendHeartbeat(r, "last but one", 1, now.Add(3*heartbeatInterval))
	assert.Equal(t, r.snapshot().ID, "last but one", "the former one is unreachable")
}
