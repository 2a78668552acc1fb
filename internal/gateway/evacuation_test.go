package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/steady"
	"gotest.tools/v3/assert"
)

func evacuationView(index uint64, zones ...string) *fleetwire.View {
	return &fleetwire.View{EvacuationsIndex: index, Evacuated: zones}
}

func TestEvacuatedZoneIsNotSelected(t *testing.T) {
	g := gatewayWithTwoZones(t)
	advance(t, g.views, evacuationView(7, "a"))
	for range 50 {
		assert.Equal(t, chosenInstance(g, routeconfig.NonRepeatable), "far")
	}
	advance(t, g.views, evacuationView(8, "a", "b"))
	assert.Equal(t, chosenInstance(g, routeconfig.NonRepeatable), "", "all zones are evacuated")
	advance(t, g.views, evacuationView(9))
	assert.Equal(t, chosenInstance(g, routeconfig.NonRepeatable), "near")
}

// A late message of an earlier leader must not undo a newer evacuation order.
func TestOlderEvacuationSetIsIgnored(t *testing.T) {
	g := gatewayWithTwoZones(t)
	advance(t, g.views, evacuationView(7, "a"))
	advance(t, g.views, evacuationView(6))
	assert.Assert(t, g.views.load().evacuated("a"))
}

// EvacuateWithin counts from the acknowledgement to the operator. It may have been given right
// after the last message of a leader that did not have the order yet.
func TestEvacuatedBackEndIsRefusedRequestsAfterGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gatewayWithTwoZones(t)
		g.config.EvacuateWithin = 5 * time.Second
		assert.NilError(t, g.views.apply(evacuationView(7, "a"), steady.Reading()))
		assert.Assert(t, !g.evacuated(steady.Reading()), "requests in transit are still admitted")
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, g.evacuated(steady.Reading()))
	})
}

// A gateway that has just started cannot know the age of the order.
func TestRestartedGatewayInEvacuatedZoneAdmitsNothing(t *testing.T) {
	g := gatewayWithTwoZones(t)
	advance(t, g.views, evacuationView(7, "a"))
	assert.Assert(t, g.evacuated(steady.Reading()))
}

// The back ends of a zone may have become cold while they were idle.
func TestBackEndCountsAsColdAfterEvacuation(t *testing.T) {
	g := gatewayWithTwoZones(t)
	g.config.Service = "s"
	g.views.beforeSwap = g.prepareView
	advance(t, g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{
		{Name: "s", WarmupRate: coldRate, Warmup: coldPeriod},
	}}})
	advance(t, g.views, evacuationView(7, "a"))
	g.slots.updateWarmUpFromProbe(0)
	advance(t, g.views, evacuationView(8))
	cold, ask := g.slots.warmUpState()
	assert.Assert(t, cold && ask)
}
