package fleetcontroller_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// redirect is what the controller at an address answers to a gateway while it does not
// lead.
func (g *group) redirect(i int) (redirect *fleetwire.Redirect) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		conn, err := transport.Dial(g.t.Context(), g.configs[i].SessionListen, transport.Options{WriteTimeout: patience, IdleTimeout: patience})
		if err != nil {
			return poll.Error(err)
		}
		defer conn.Close()
		if err := conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "gateway", Boot: 7}}); err != nil {
			return poll.Error(err)
		}
		var first fleetwire.FromController
		if err := conn.Receive(&first); err != nil {
			return poll.Continue("%v", err)
		}
		if first.Redirect == nil {
			return poll.Continue("it leads")
		}
		redirect = first.Redirect
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
	return redirect
}

// One that does not lead tells what it has: the configuration, the evacuations and who
// votes; also while nobody leads.
func TestAControllerThatDoesNotLeadTellsWhatItHas(t *testing.T) {
	g := startGroup(t)
	g.change(changeTo(3, 0, 1))
	_, leader := g.evacuate("a", true)
	other := (leader + 1) % members
	var told *fleetwire.Standing
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		told = g.redirect(other).Standing
		if told == nil || told.EvacuationsIndex == 0 {
			return poll.Continue("%+v", told)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, told.Version, routeconfig.Version(3))
	assert.Equal(t, len(told.Voters), members)
	assert.Equal(t, told.For, configlease.DefaultApplyWithin)
	assert.Assert(t, told.Member != topology.ReplicaID(0))
	g.stop(leader)
	g.stop((leader + 2) % members)
	again := g.redirect(other).Standing
	assert.DeepEqual(t, again, told)
}

// One that has an order in its log which may be accepted, or may yet be, does not say that
// it has nothing newer.
func TestAControllerWithAnOrderThatMayBeAcceptedTellsNothing(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(changeTo(3, 0, 1))
	for i := range members {
		if i != leader {
			g.stop(i)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	_, err := g.controllers[leader].Evacuate(ctx, fleetstate.ChangeEvacuation{Zone: "a", Evacuate: true})
	assert.ErrorIs(t, err, context.DeadlineExceeded, "it is in the log")
	assert.Assert(t, g.redirect(leader).Standing == nil)
}
