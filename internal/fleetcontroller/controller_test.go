package fleetcontroller_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"net"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/fleetcontroller"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// members of the group under test, each at an address of its own, as controllers
// use the same two ports.
const (
	members = 3
	// patience bounds each wait for a condition.
	patience = 30 * time.Second
	// shortWait is for what must not come.
	shortWait = time.Second
)

// group is a group of controllers in this process.
type group struct {
	t           *testing.T
	configs     []fleetcontroller.Config
	controllers []*fleetcontroller.Controller
}

// freePorts returns two ports that are free at all addresses of the group.
func freePorts(t *testing.T) (peer, session string) {
	t.Helper()
	var ports []string
	for range 2 {
		listener, err := net.Listen("tcp", ":0")
		assert.NilError(t, err)
		defer listener.Close()
		_, port, err := net.SplitHostPort(listener.Addr().String())
		assert.NilError(t, err)
		ports = append(ports, port)
	}
	return ports[0], ports[1]
}

func startGroup(t *testing.T) *group {
	t.Helper()
	g := &group{t: t, controllers: make([]*fleetcontroller.Controller, members)}
	peer, session := freePorts(t)
	var seeds []string
	for i := range members {
		seeds = append(seeds, fmt.Sprintf("127.78.0.%d:%s", i+1, session))
	}
	for i := range members {
		g.configs = append(g.configs, fleetcontroller.Config{
			Group: 1, Name: fmt.Sprint("c", i+1), DataDir: filepath.Join(t.TempDir(), "data"),
			PeerListen: fleetcontroller.WithPort(seeds[i], ":"+peer), SessionListen: seeds[i], Founding: true, Seeds: seeds,
			Zones: []string{"a", "b"},
		})
	}
	for i := range members {
		g.start(i)
	}
	t.Cleanup(func() {
		for i := range g.controllers {
			g.stop(i)
		}
	})
	return g
}

func (g *group) start(i int) {
	g.t.Helper()
	controller, err := fleetcontroller.Start(g.configs[i])
	assert.NilError(g.t, err)
	g.controllers[i] = controller
}

func (g *group) stop(i int) {
	if g.controllers[i] != nil {
		assert.Check(g.t, g.controllers[i].Stop())
		g.controllers[i] = nil
	}
}

// change sends a change to all until one takes it, and returns its result and
// who gave it.
func (g *group) change(sent *fleetstate.ChangeConfiguration) (result fleetstate.Result, leader int) {
	g.t.Helper()
	return g.order(func(ctx context.Context, c *fleetcontroller.Controller) (fleetstate.Result, error) {
		return c.Change(ctx, sent)
	})
}

// order sends an order to all until one takes it, and returns its result and who
// gave it.
func (g *group) order(
	send func(context.Context, *fleetcontroller.Controller) (fleetstate.Result, error),
) (result fleetstate.Result, leader int) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for i, controller := range g.controllers {
			if controller == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
			taken, err := send(ctx, controller)
			cancel()
			if err == nil {
				result, leader = taken, i
				return poll.Success()
			}
		}
		return poll.Continue("no leader takes the order")
	}, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
	return result, leader
}

// changeTo is a whole document on top of a version.
func changeTo(version, base routeconfig.Version, routes int) *fleetstate.ChangeConfiguration {
	document := &routeconfig.Document{Version: version, Services: []routeconfig.Service{{Name: "s"}}}
	for i := range routes {
		document.Routes = append(document.Routes, routeconfig.Route{
			Name: fmt.Sprint("r", i), Host: "h", PathPrefix: fmt.Sprintf("/%d/", i), Timeout: time.Second, Attempts: 1,
			TargetLatency: time.Second, Destinations: []routeconfig.Destination{{Service: "s", Weight: 1}},
		})
	}
	return &fleetstate.ChangeConfiguration{
		Digest: sha256.Sum256(fmt.Appendf(nil, "%d on %d with %d", version, base, routes)), Base: base, Document: document,
	}
}

// view reads a session at an address until it has brought a document, as a
// gateway does, following redirects.
func (g *group) view(address string) *routeconfig.Document {
	g.t.Helper()
	return g.firstView(address).Document
}

// firstView is the first view with a document that a session brings.
func (g *group) firstView(address string) *fleetwire.View {
	g.t.Helper()
	var found *fleetwire.View
	asked := address
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		conn, err := transport.Dial(g.t.Context(), asked, transport.Options{WriteTimeout: time.Second, IdleTimeout: time.Second})
		if err != nil {
			asked = address // who was named as the leader has ended
			return poll.Continue("%v", err)
		}
		defer conn.Close()
		if err := conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "gateway", Boot: 1}}); err != nil {
			return poll.Continue("%v", err)
		}
		for {
			var message fleetwire.FromController
			if err := conn.Receive(&message); err != nil {
				return poll.Continue("%v", err)
			}
			if message.Redirect != nil {
				if message.Redirect.Leader != "" {
					asked = message.Redirect.Leader
				}
				return poll.Continue("redirected")
			}
			if message.View == nil || len(message.View.PackedDocument) == 0 {
				continue
			}
			if err := message.View.Unpack(); err != nil {
				return poll.Error(err)
			}
			found = message.View
			return poll.Success()
		}
	}, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
	return found
}

// A change is accepted once, acknowledged again when it comes again, also by
// another leader, and refused where another one was first.
func TestChangesOverALeadersStop(t *testing.T) {
	g := startGroup(t)
	first := changeTo(3, 0, 1)
	result, leader := g.change(first)
	assert.Equal(t, result.Outcome, fleetstate.Accepted)
	g.stop(leader)
	again, next := g.change(first)
	assert.Equal(t, again.Outcome, fleetstate.Repeated)
	assert.Assert(t, next != leader)
	lost, _ := g.change(changeTo(4, 0, 2))
	assert.Equal(t, lost.Outcome, fleetstate.Conflict)
	old, _ := g.change(changeTo(3, 3, 2))
	assert.Equal(t, old.Outcome, fleetstate.Invalid)
	g.start(leader)
	accepted, _ := g.change(changeTo(9, 3, 2))
	assert.Equal(t, accepted.Outcome, fleetstate.Accepted)
}

// A follower takes no change and reads nothing that might be old.
func TestAFollowerSaysThatItDoesNotLead(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(changeTo(3, 0, 1))
	follower := g.controllers[(leader+1)%members]
	_, err := follower.Change(t.Context(), changeTo(4, 3, 1))
	assert.Assert(t, errors.Is(err, fleetcontroller.ErrNotLeader), "%v", err)
	_, err = follower.Read(t.Context())
	assert.Assert(t, errors.Is(err, fleetcontroller.ErrNotLeader), "%v", err)
	document, err := g.controllers[leader].Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, document.Version, routeconfig.Version(3))
}

// Without a majority nothing is accepted and nothing is read.
func TestAMinorityAcceptsNothing(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(changeTo(3, 0, 1))
	g.stop((leader + 1) % members)
	g.stop((leader + 2) % members)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := g.controllers[leader].Change(ctx, changeTo(4, 3, 1))
	assert.Assert(t, err != nil)
	_, err = g.controllers[leader].Read(ctx)
	assert.Assert(t, err != nil)
}

// A gateway that asks any controller gets the newest document, large ones too.
func TestAGatewayGetsTheDocumentFromWhoeverLeads(t *testing.T) {
	g := startGroup(t)
	large := changeTo(3, 0, 2000)
	_, leader := g.change(large)
	for i := range members {
		assert.DeepEqual(t, g.view(g.configs[i].SessionListen), large.Document)
	}
	g.stop(leader)
	g.change(changeTo(5, 3, 1))
	assert.Equal(t, g.view(g.configs[(leader+1)%members].SessionListen).Version, routeconfig.Version(5))
}
