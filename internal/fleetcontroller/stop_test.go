package fleetcontroller

import (
	"net"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// stopTimeout is how long Stop may take before a test considers it hanging.
const stopTimeout = 20 * time.Second

// requireStop stops a controller and fails if Stop hangs.
func requireStop(t *testing.T, c *Controller) {
	t.Helper()
	finished := make(chan error, 1)
	go func() { finished <- c.Stop() }()
	select {
	case err := <-finished:
		assert.Check(t, err)
	case <-time.After(stopTimeout):
		t.Error("Stop has not returned in time")
	}
}

// disableSessionTimeouts disables the sessions' timeouts for a test, so that only Stop ends
// them.
func disableSessionTimeouts(t *testing.T) {
	t.Helper()
	before := sessionOptions
	sessionOptions = transport.Options{WriteTimeout: -1, IdleTimeout: -1}
	t.Cleanup(func() { sessionOptions = before })
}

// startSingle starts a group of one controller and waits until it leads.
func startSingle(t *testing.T) *Controller {
	t.Helper()
	c, err := Start(Config{
		Group: 1, Name: "c1", DataDir: filepath.Join(t.TempDir(), "data"), Bootstrap: true,
		PeerListen: "127.0.0.1:0", SessionListen: "127.0.0.1:0", Seeds: []string{"127.0.0.1:0"},
	})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.leads() {
			return poll.Success()
		}
		return poll.Continue("no leader yet")
	}, poll.WithTimeout(stopTimeout), poll.WithDelay(time.Millisecond))
	return c
}

// serveConnection passes one end of a pipe to a controller, as accept does with a connection,
// and returns the other end. The pipe is unbuffered: writes wait for a reader.
func serveConnection(t *testing.T, c *Controller) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	c.ended.Add(1)
	go c.serve(transport.NewConn(near, sessionOptions), 1)
	return far
}

// A connection without a Hello, for example of a gateway that was cut off, doesn't delay Stop.
func TestStopClosesAConnectionWithoutAHello(t *testing.T) {
	disableSessionTimeouts(t)
	c := startSingle(t)
	silent, err := net.Dial("tcp", c.listener.Address())
	assert.NilError(t, err)
	defer silent.Close()
	// The response over a later connection shows that the first one was accepted.
	later, err := transport.Dial(t.Context(), c.listener.Address(), transport.Options{})
	assert.NilError(t, err)
	defer later.Close()
	assert.NilError(t, later.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "g", Boot: 1}}))
	var message fleetwire.FromController
	assert.NilError(t, later.Receive(&message))
	requireStop(t, c)
}

// A gateway that doesn't read its connection, and so not the redirect either, doesn't delay
// Stop.
func TestStopEndsASessionOfAGatewayThatDoesNotRead(t *testing.T) {
	disableSessionTimeouts(t)
	c := startSingle(t)
	gateway := transport.NewConn(serveConnection(t, c), transport.Options{WriteTimeout: -1, IdleTimeout: -1})
	assert.NilError(t, gateway.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "g", Boot: 1}}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.sessionsMutex.Lock()
		defer c.sessionsMutex.Unlock()
		if len(c.sessions) == 1 {
			return poll.Success()
		}
		return poll.Continue("no session")
	}, poll.WithTimeout(stopTimeout), poll.WithDelay(time.Millisecond))
	requireStop(t, c)
}

// Admissions run one at a time, and each of these waits for a member that never catches up.
// Stop cancels the running one and those that wait.
func TestStopCancelsAdmissions(t *testing.T) {
	c := startSingle(t)
	// joining is the number of concurrent requests. One after the other, they would take far
	// longer than stopTimeout.
	const joining = 20
	for i := range joining {
		far := serveConnection(t, c)
		conn := transport.NewConn(far, transport.Options{WriteTimeout: -1, IdleTimeout: -1})
		join := &fleetwire.Join{Incarnation: topology.Incarnation(100 + i), PeerAddress: "127.0.0.1:1"}
		assert.NilError(t, conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "joining", Join: join}}))
		go func() {
			var response fleetwire.FromController
			_ = conn.Receive(&response)
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(c.replica.Status().Membership.Members) > 1 {
			return poll.Success()
		}
		return poll.Continue("no learner yet")
	}, poll.WithTimeout(stopTimeout), poll.WithDelay(time.Millisecond))
	requireStop(t, c)
}
