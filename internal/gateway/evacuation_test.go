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

func evacuating(index uint64, zones ...string) *fleetwire.View {
	return &fleetwire.View{EvacuationsIndex: index, Evacuated: zones}
}

func TestAnEvacuatedZoneIsNotChosen(t *testing.T) {
	g := choosingGateway(t)
	advance(t, g.views, evacuating(7, "a"))
	for range 50 {
		assert.Equal(t, chosen(g, routeconfig.NonRepeatable), "far")
	}
	advance(t, g.views, evacuating(8, "a", "b"))
	assert.Equal(t, chosen(g, routeconfig.NonRepeatable), "", "all zones are evacuated")
	advance(t, g.views, evacuating(9))
	assert.Equal(t, chosen(g, routeconfig.NonRepeatable), "near")
}

// What an earlier leader said does not undo a later order.
func TestAnEvacuationDoesNotGoBack(t *testing.T) {
	g := choosingGateway(t)
	advance(t, g.views, evacuating(7, "a"))
	advance(t, g.views, evacuating(6))
	assert.Assert(t, g.views.load().evacuated("a"))
}

// The bound counts from the operator's acknowledgement, which may be as old as the
// last word of a leader that did not know of it.
func TestABackEndInAnEvacuatedZoneGetsNothingAfterTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := choosingGateway(t)
		g.config.EvacuateWithin = 5 * time.Second
		assert.NilError(t, g.views.advance(evacuating(7, "a"), steady.Reading()))
		assert.Assert(t, !g.evacuated(steady.Reading()), "what is on its way still gets there")
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, g.evacuated(steady.Reading()))
	})
}

// A gateway that has just started can't know how old the order is.
func TestARestartedGatewayInAnEvacuatedZoneAdmitsNothing(t *testing.T) {
	g := choosingGateway(t)
	advance(t, g.views, evacuating(7, "a"))
	assert.Assert(t, g.evacuated(steady.Reading()))
}

// The back ends of a zone may have turned cold while they stood empty.
func TestABackEndIsTakenForColdWhenAnEvacuationEnds(t *testing.T) {
	g := choosingGateway(t)
	g.config.Service = "s"
	g.views.prepare = g.prepare
	advance(t, g.views, &fleetwire.View{Document: &routeconfig.Document{Version: 1, Services: []routeconfig.Service{
		{Name: "s", WarmupRate: coldRate, Warmup: coldLength},
	}}})
	advance(t, g.views, evacuating(7, "a"))
	g.slots.tellWarmth(0)
	advance(t, g.views, evacuating(8))
	cold, ask := g.slots.coldness()
	assert.Assert(t, cold && ask)
}
