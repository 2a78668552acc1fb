package fleetcontroller_test

import (
	"context"
	"errors"
	"testing"

	"github.com/quartzdock/quartzdock/internal/fleetcontroller"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"gotest.tools/v3/assert"
)

func (g *group) evacuate(zone string, evacuate bool) (fleetstate.Outcome, int) {
	g.t.Helper()
	result, leader := g.sendToLeader(func(ctx context.Context, c *fleetcontroller.Controller) (fleetstate.Result, error) {
		return c.Evacuate(ctx, fleetstate.ChangeEvacuation{Zone: zone, Evacuate: evacuate})
	})
	return result.Outcome, leader
}

// An acknowledged evacuation is on the disks of a quorum, and every gateway that opens a
// session receives it with the configuration.
func TestEvacuationIsKeptOverARestartOfAllControllers(t *testing.T) {
	g := startGroup(t)
	g.change(documentChange(3, 0, 1))
	outcome, leader := g.evacuate("a", true)
	assert.Equal(t, outcome, fleetstate.Accepted)
	assert.DeepEqual(t, g.firstView(g.configs[leader].SessionListen).Evacuated, []string{"a"})
	for i := range members {
		g.stop(i)
	}
	for i := range members {
		g.start(i)
	}
	for i := range members {
		assert.DeepEqual(t, g.firstView(g.configs[i].SessionListen).Evacuated, []string{"a"})
	}
	outcome, _ = g.evacuate("a", true)
	assert.Equal(t, outcome, fleetstate.Repeated, "a repeated command is acknowledged")
}

// The end of an evacuation is published with a higher index, by which gateways that know the
// evacuation recognize the change.
func TestEndOfAnEvacuationIsPublished(t *testing.T) {
	g := startGroup(t)
	g.change(documentChange(3, 0, 1))
	_, leader := g.evacuate("a", true)
	before := g.firstView(g.configs[leader].SessionListen).EvacuationsIndex
	outcome, _ := g.evacuate("a", false)
	assert.Equal(t, outcome, fleetstate.Accepted)
	after := g.firstView(g.configs[leader].SessionListen)
	assert.Equal(t, len(after.Evacuated), 0)
	assert.Assert(t, after.EvacuationsIndex > before)
}

func TestEvacuateRejectsUnknownZonesAndFollowers(t *testing.T) {
	g := startGroup(t)
	_, leader := g.evacuate("a", true)
	for _, zone := range []string{"", "A", "a ", "elsewhere"} {
		_, err := g.controllers[leader].Evacuate(t.Context(), fleetstate.ChangeEvacuation{Zone: zone, Evacuate: true})
		assert.Assert(t, errors.Is(err, fleetcontroller.ErrUnknownZone), "%q: %v", zone, err)
	}
	follower := g.controllers[(leader+1)%members]
	_, err := follower.Evacuate(t.Context(), fleetstate.ChangeEvacuation{Zone: "b", Evacuate: true})
	assert.Assert(t, errors.Is(err, fleetcontroller.ErrNotLeader), "%v", err)
}

func TestLeaderWithoutMajorityRejectsEvacuations(t *testing.T) {
	g := startGroup(t)
	_, leader := g.evacuate("a", true)
	g.stop((leader + 1) % members)
	g.stop((leader + 2) % members)
	ctx, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	_, err := g.controllers[leader].Evacuate(ctx, fleetstate.ChangeEvacuation{Zone: "a"})
	assert.Assert(t, err != nil)
}
