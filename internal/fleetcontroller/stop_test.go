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

// stopPatience is when a Stop that has not returned counts as hanging.
const stopPatience = 20 * time.Second

// stopped fails where Stop hangs.
func stopped(t *testing.T, c *Controller) {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- c.Stop() }()
	select {
	case err := <-ended:
		assert.Check(t, err)
	case <-time.After(stopPatience):
		t.Error("Stop hangs")
	}
}

// endlessSessions takes the sessions' own bounds away for a test, so that
// nothing but Stop ends them.
func endlessSessions(t *testing.T) {
	t.Helper()
	before := sessionOptions
	sessionOptions = transport.Options{WriteTimeout: -1, IdleTimeout: -1}
	t.Cleanup(func() { sessionOptions = before })
}

// startAlone starts a group of one and waits until it leads.
func startAlone(t *testing.T) *Controller {
	t.Helper()
	c, err := Start(Config{
		Group: 1, Name: "c1", DataDir: filepath.Join(t.TempDir(), "data"), Founding: true,
		PeerListen: "127.0.0.1:0", SessionListen: "127.0.0.1:0", Seeds: []string{"127.0.0.1:0"},
	})
	assert.NilError(t, err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c.leads() {
			return poll.Success()
		}
		return poll.Continue("nobody leads")
	}, poll.WithTimeout(stopPatience), poll.WithDelay(time.Millisecond))
	return c
}

// served passes one end of a connection to a controller as accept does, and
// returns the other one. Writes to either wait for a reader.
func served(t *testing.T, c *Controller) net.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = far.Close() })
	c.ended.Add(1)
	go c.serve(transport.NewConn(near, sessionOptions), 1)
	return far
}

// A connection over which nothing has come yet, as of a gateway that was cut
// off, does not hold Stop up.
func TestStopEndsAConnectionThatSaysNothing(t *testing.T) {
	endlessSessions(t)
	c := startAlone(t)
	silent, err := net.Dial("tcp", c.listener.Address())
	assert.NilError(t, err)
	defer silent.Close()
	// The answer over a later connection shows that the first one was accepted.
	later, err := transport.Dial(t.Context(), c.listener.Address(), transport.Options{})
	assert.NilError(t, err)
	defer later.Close()
	assert.NilError(t, later.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "g", Boot: 1}}))
	var message fleetwire.FromController
	assert.NilError(t, later.Receive(&message))
	stopped(t, c)
}

// A gateway that reads nothing does not hold Stop up, which sends it elsewhere.
func TestStopEndsASessionThatNobodyReads(t *testing.T) {
	endlessSessions(t)
	c := startAlone(t)
	gateway := transport.NewConn(served(t, c), transport.Options{WriteTimeout: -1, IdleTimeout: -1})
	assert.NilError(t, gateway.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "g", Boot: 1}}))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.sessionsMutex.Lock()
		defer c.sessionsMutex.Unlock()
		if len(c.sessions) == 1 {
			return poll.Success()
		}
		return poll.Continue("no session")
	}, poll.WithTimeout(stopPatience), poll.WithDelay(time.Millisecond))
	stopped(t, c)
}

// Admissions take turns and each waits for a member that never catches up. Stop
// ends them, however many wait.
func TestStopEndsAdmissions(t *testing.T) {
	c := startAlone(t)
	// joining members that ask at once; as many turns as there are last far
	// longer than stopPatience.
	const joining = 20
	for i := range joining {
		far := served(t, c)
		conn := transport.NewConn(far, transport.Options{WriteTimeout: -1, IdleTimeout: -1})
		join := &fleetwire.Join{Incarnation: topology.Incarnation(100 + i), PeerAddress: "127.0.0.1:1"}
		assert.NilError(t, conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "joining", Join: join}}))
		go func() {
			var answer fleetwire.FromController
			_ = conn.Receive(&answer)
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(c.member.Status().Membership.Members) > 1 {
			return poll.Success()
		}
		return poll.Continue("no learner yet")
	}, poll.WithTimeout(stopPatience), poll.WithDelay(time.Millisecond))
	stopped(t, c)
}
