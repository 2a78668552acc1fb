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

// redirect returns the redirect that controller i sends to a gateway while it doesn't lead.
func (g *group) redirect(i int) (redirect *fleetwire.Redirect) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		conn, err := transport.Dial(g.t.Context(), g.configs[i].SessionListen, transport.Options{WriteTimeout: waitTimeout, IdleTimeout: waitTimeout})
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
			return poll.Continue("the controller leads")
		}
		redirect = first.Redirect
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
	return redirect
}

// A redirect reports the configuration, the evacuations and the voters that the controller
// has, also while there is no leader.
func TestRedirectReportsOperatorState(t *testing.T) {
	g := startGroup(t)
	g.change(documentChange(3, 0, 1))
	_, leader := g.evacuate("a", true)
	other := (leader + 1) % members
	var reported *fleetwire.OperatorState
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		reported = g.redirect(other).Standing
		if reported == nil || reported.EvacuationsIndex == 0 {
			return poll.Continue("%+v", reported)
		}
		return poll.Success()
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
	assert.Equal(t, reported.Version, routeconfig.Version(3))
	assert.Equal(t, len(reported.Voters), members)
	assert.Equal(t, reported.For, configlease.DefaultApplyWithin)
	assert.Assert(t, reported.Member != topology.ReplicaID(0))
	g.stop(leader)
	g.stop((leader + 2) % members)
	again := g.redirect(other).Standing
	assert.DeepEqual(t, again, reported)
}

// A controller whose log holds an operator command that may have been accepted, or may still
// be, must not report that it has nothing newer.
func TestRedirectOmitsOperatorStateWhileACommandIsUnapplied(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(documentChange(3, 0, 1))
	for i := range members {
		if i != leader {
			g.stop(i)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	_, err := g.controllers[leader].Evacuate(ctx, fleetstate.ChangeEvacuation{Zone: "a", Evacuate: true})
	assert.ErrorIs(t, err, context.DeadlineExceeded, "the command is in the log without a majority")
	assert.Assert(t, g.redirect(leader).Standing == nil)
}
