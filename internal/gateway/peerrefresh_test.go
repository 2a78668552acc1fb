package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// relayedState is a leader's state of the given age, as another gateway relays it.
func relayedState(t *testing.T, age time.Duration) *fleetwire.RelayedState {
	t.Helper()
	packed, err := fleetwire.Pack(documentOf(7))
	assert.NilError(t, err)
	return &fleetwire.RelayedState{Age: age, For: 2 * time.Second, PackedDocument: packed, EvacuationsIndex: 9, Evacuated: []string{"b"}}
}

// Relayed state contains the configuration and the evacuated zones, and extends the lease from
// the time at which the leader confirmed it.
func TestRelayedStateUpdatesViewAndLease(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.session = newSessionClient(g)
	g.quotas = newQuotaKeeper(g)
	requestedAt := steady.Reading()
	assert.NilError(t, g.applyRelayedState(relayedState(t, time.Second), requestedAt, "peer"))
	assert.Equal(t, uint64(g.views.load().version()), uint64(7))
	assert.Assert(t, g.views.load().evacuated("b"))
	assert.Assert(t, g.session.configurationLease.valid(requestedAt.Add(800*time.Millisecond)))
	assert.Assert(t, !g.session.configurationLease.valid(requestedAt.Add(time.Second)))
}

// Relayed state must not be relayed again, since the ages and delays would add up.
func TestRelayedStateIsNotRelayedAgain(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.session = newSessionClient(g)
	g.quotas = newQuotaKeeper(g)
	assert.NilError(t, g.applyRelayedState(relayedState(t, 0), steady.Reading(), "peer"))
	assert.Assert(t, g.session.configurationLease.relay(steady.Reading()) == nil)
	request := httptest.NewRequest(http.MethodGet, "/", nil)
	request.Header.Set(fieldKnownVersion, "7")
	recorder := httptest.NewRecorder()
	g.serveRelayedState(recorder, request)
	assert.Equal(t, recorder.Code, http.StatusServiceUnavailable)
}

// State confirmed by the leader is relayed with its age. It is valid for the time within which
// the leader guarantees operators that a change is in force.
func TestLeaderStateIsRelayedWithItsAge(t *testing.T) {
	g := gatewayWithTwoZones(t)
	grantedAt := steady.Reading()
	g.session = newSessionClient(g)
	g.quotas = newQuotaKeeper(g)
	g.session.configurationLease.take(&fleetwire.Lease{ConfigurationFor: 3 * time.Second, PassedOnFor: 2 * time.Second}, grantedAt)
	relayed := g.session.configurationLease.relay(grantedAt.Add(time.Second))
	assert.Equal(t, relayed.Age, time.Second)
	assert.Equal(t, relayed.For, 2*time.Second)
	assert.Assert(t, g.session.configurationLease.relay(grantedAt.Add(2*time.Second)) == nil, "it would have expired already")
}

// Malformed state neither extends the lease nor changes the view.
func TestMalformedRelayedStateChangesNothing(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.session = newSessionClient(g)
	g.quotas = newQuotaKeeper(g)
	before := g.views.load()
	corrupted := relayedState(t, 0)
	corrupted.PackedDocument[len(corrupted.PackedDocument)/2] ^= 0xff
	corrupted.PackedDocument = corrupted.PackedDocument[:len(corrupted.PackedDocument)-3]
	assert.Assert(t, g.applyRelayedState(corrupted, steady.Reading(), "peer") != nil)
	assert.Equal(t, g.views.load(), before)
	assert.Assert(t, !g.session.configurationLease.valid(steady.Reading()))
}
