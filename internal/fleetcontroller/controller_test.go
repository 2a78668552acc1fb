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

const (
	// members is the size of the group under test. Each member has its own IP address,
	// because all controllers of a group use the same two ports.
	members = 3
	// waitTimeout limits each wait for a condition.
	waitTimeout = 30 * time.Second
	// shortWait is how long tests wait for something that must not happen.
	shortWait = time.Second
)

// group is a group of controllers that run in the test process.
type group struct {
	t           *testing.T
	configs     []fleetcontroller.Config
	controllers []*fleetcontroller.Controller
}

// freePorts returns two ports that are free on all addresses of the group.
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
	return startGroupOf(t, members)
}

// startGroupOf starts a group of so many controllers.
func startGroupOf(t *testing.T, count int) *group {
	t.Helper()
	g := &group{t: t, controllers: make([]*fleetcontroller.Controller, count)}
	peer, session := freePorts(t)
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("127.78.0.%d:%s", i+1, session))
	}
	for i := range count {
		g.configs = append(g.configs, fleetcontroller.Config{
			Group: 1, Name: fmt.Sprint("c", i+1), DataDir: filepath.Join(t.TempDir(), "data"),
			PeerListen: fleetcontroller.WithPort(seeds[i], ":"+peer), SessionListen: seeds[i], Bootstrap: true, Seeds: seeds,
			Zones: []string{"a", "b"},
		})
	}
	for i := range count {
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

// change sends a change of the configuration to the controllers until one accepts it, and
// returns the result and the index of that controller, the leader.
func (g *group) change(sent *fleetstate.ChangeConfiguration) (result fleetstate.Result, leader int) {
	g.t.Helper()
	return g.sendToLeader(func(ctx context.Context, c *fleetcontroller.Controller) (fleetstate.Result, error) {
		return c.Change(ctx, sent)
	})
}

// sendToLeader sends a command to one controller after another until it succeeds at one, and
// returns the result and the index of that controller.
func (g *group) sendToLeader(
	send func(context.Context, *fleetcontroller.Controller) (fleetstate.Result, error),
) (result fleetstate.Result, leader int) {
	g.t.Helper()
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		for i, controller := range g.controllers {
			if controller == nil {
				continue
			}
			ctx, cancel := context.WithTimeout(g.t.Context(), time.Second)
			accepted, err := send(ctx, controller)
			cancel()
			if err == nil {
				result, leader = accepted, i
				return poll.Success()
			}
		}
		return poll.Continue("no controller accepts the command")
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
	return result, leader
}

// documentChange returns a change to a whole document, based on the given version.
func documentChange(version, base routeconfig.Version, routes int) *fleetstate.ChangeConfiguration {
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

// document returns the first document that a session receives, as a gateway does, following
// redirects.
func (g *group) document(address string) *routeconfig.Document {
	g.t.Helper()
	return g.firstView(address).Document
}

// firstView returns the first view with a document that a session receives.
func (g *group) firstView(address string) *fleetwire.View {
	g.t.Helper()
	var found *fleetwire.View
	target := address
	poll.WaitOn(g.t, func(poll.LogT) poll.Result {
		conn, err := transport.Dial(g.t.Context(), target, transport.Options{WriteTimeout: time.Second, IdleTimeout: time.Second})
		if err != nil {
			target = address // the controller that was named as the leader has stopped
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
					target = message.Redirect.Leader
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
	}, poll.WithTimeout(waitTimeout), poll.WithDelay(10*time.Millisecond))
	return found
}

// A change is accepted once, acknowledged again when it is repeated, also by another leader,
// and rejected if another change on the same base came first.
func TestChangesAreAcceptedOnceAcrossLeaders(t *testing.T) {
	g := startGroup(t)
	first := documentChange(3, 0, 1)
	result, leader := g.change(first)
	assert.Equal(t, result.Outcome, fleetstate.Accepted)
	g.stop(leader)
	again, next := g.change(first)
	assert.Equal(t, again.Outcome, fleetstate.Repeated)
	assert.Assert(t, next != leader)
	conflicting, _ := g.change(documentChange(4, 0, 2))
	assert.Equal(t, conflicting.Outcome, fleetstate.Conflict)
	sameVersion, _ := g.change(documentChange(3, 3, 2))
	assert.Equal(t, sameVersion.Outcome, fleetstate.Invalid)
	g.start(leader)
	accepted, _ := g.change(documentChange(9, 3, 2))
	assert.Equal(t, accepted.Outcome, fleetstate.Accepted)
}

// A follower rejects changes, and reads too, because its state might be old.
func TestFollowerRejectsChangesAndReads(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(documentChange(3, 0, 1))
	follower := g.controllers[(leader+1)%members]
	_, err := follower.Change(t.Context(), documentChange(4, 3, 1))
	assert.Assert(t, errors.Is(err, fleetcontroller.ErrNotLeader), "%v", err)
	_, err = follower.Read(t.Context())
	assert.Assert(t, errors.Is(err, fleetcontroller.ErrNotLeader), "%v", err)
	document, err := g.controllers[leader].Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, document.Version, routeconfig.Version(3))
}

func TestLeaderWithoutMajorityRejectsChangesAndReads(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(documentChange(3, 0, 1))
	g.stop((leader + 1) % members)
	g.stop((leader + 2) % members)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_, err := g.controllers[leader].Change(ctx, documentChange(4, 3, 1))
	assert.Assert(t, err != nil)
	_, err = g.controllers[leader].Read(ctx)
	assert.Assert(t, err != nil)
}

// A gateway that connects to any controller gets the newest document, also a large one.
func TestGatewayGetsTheDocumentFromTheCurrentLeader(t *testing.T) {
	g := startGroup(t)
	large := documentChange(3, 0, 2000)
	_, leader := g.change(large)
	for i := range members {
		assert.DeepEqual(t, g.document(g.configs[i].SessionListen), large.Document)
	}
	g.stop(leader)
	g.change(documentChange(5, 3, 1))
	assert.Equal(t, g.document(g.configs[(leader+1)%members].SessionListen).Version, routeconfig.Version(5))
}
