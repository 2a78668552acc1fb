package fleetcontroller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// openSessionOf opens a session for the gateway process with the given boot number.
func openSessionOf(t *testing.T, address string, boot uint64) *transport.Conn {
	t.Helper()
	conn, err := transport.Dial(t.Context(), address, transport.Options{WriteTimeout: time.Second, IdleTimeout: waitTimeout})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "node-1", Boot: boot}}))
	return conn
}

// reportUntilLeased sends a report and returns the next lease.
func reportUntilLeased(t *testing.T, conn *transport.Conn, report *fleetwire.Report) *fleetwire.Lease {
	t.Helper()
	assert.NilError(t, conn.Send(fleetwire.ToController{Report: report}))
	for {
		var message fleetwire.FromController
		assert.NilError(t, conn.Receive(&message))
		if message.Lease != nil {
			return message.Lease
		}
	}
}

// Reports of a gateway process may still be unread when the process has ended and its successor
// has opened a session. If the leader applied them then, a report that the back end is gone and
// its keys are released would free keys that the new process has granted.
func TestReportsOfAnEarlierGatewayProcessAreIgnored(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(documentChange(1, 0, 1))
	address := g.configs[leader].SessionListen
	ready := fleetwire.Instance{ID: "i-1", Service: "s", Node: "node-1", Slots: 4, State: fleetwire.InstanceReady, Sequence: 5}
	former := openSessionOf(t, address, 1)
	reportUntilLeased(t, former, &fleetwire.Report{Boot: 1, Instance: &ready})
	current := openSessionOf(t, address, 2)
	reportUntilLeased(t, current, &fleetwire.Report{Boot: 2, Instance: &ready})
	gone := ready
	gone.State, gone.Released = fleetwire.InstanceGone, true
	assert.NilError(t, former.Send(fleetwire.ToController{Report: &fleetwire.Report{Boot: 1, Instance: &gone}}))
	time.Sleep(shortWait)
	// The leader sends a process that has just started what it knows of the instance.
	next := openSessionOf(t, address, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var message fleetwire.FromController
		if err := next.Receive(&message); err != nil {
			return poll.Error(err)
		}
		if message.Known == nil {
			return poll.Continue("no instance received yet")
		}
		assert.Equal(t, message.Known.State, fleetwire.InstanceReady)
		return poll.Success()
	}, poll.WithTimeout(waitTimeout))
}
