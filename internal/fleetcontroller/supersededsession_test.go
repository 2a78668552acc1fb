package fleetcontroller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// openProcess opens a session of a process of a gateway.
func openProcess(t *testing.T, address string, boot uint64) *transport.Conn {
	t.Helper()
	conn, err := transport.Dial(t.Context(), address, transport.Options{WriteTimeout: time.Second, IdleTimeout: patience})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "node-1", Boot: boot}}))
	return conn
}

// leased sends reports until one is answered with a lease, and returns that.
func leased(t *testing.T, conn *transport.Conn, report *fleetwire.Report) *fleetwire.Lease {
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

// A gateway's process ended with reports unread, and the next one opened a session. Read then,
// the former one's word that nothing is held would free what the present one has granted.
func TestReportsOfAnEarlierProcessOfAGatewayAreNotTaken(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(changeTo(1, 0, 1))
	address := g.configs[leader].SessionListen
	told := fleetwire.Instance{ID: "i-1", Service: "s", Node: "node-1", Slots: 4, State: fleetwire.InstanceReady, Sequence: 5}
	former := openProcess(t, address, 1)
	leased(t, former, &fleetwire.Report{Boot: 1, Instance: &told})
	present := openProcess(t, address, 2)
	leased(t, present, &fleetwire.Report{Boot: 2, Instance: &told})
	over := told
	over.State, over.Released = fleetwire.InstanceGone, true
	assert.NilError(t, former.Send(fleetwire.ToController{Report: &fleetwire.Report{Boot: 1, Instance: &over}}))
	time.Sleep(shortWait)
	// The leader tells a process that has just started what it knows.
	next := openProcess(t, address, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var message fleetwire.FromController
		if err := next.Receive(&message); err != nil {
			return poll.Error(err)
		}
		if message.Known == nil {
			return poll.Continue("not told yet")
		}
		assert.Equal(t, message.Known.State, fleetwire.InstanceReady)
		return poll.Success()
	}, poll.WithTimeout(patience))
}
