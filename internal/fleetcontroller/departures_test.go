package fleetcontroller_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// receiveUntil returns the messages of a session up to the first one that satisfies a condition.
func receiveUntil(t *testing.T, conn *transport.Conn, last func(*fleetwire.FromController) bool) []fleetwire.FromController {
	t.Helper()
	var received []fleetwire.FromController
	for {
		var message fleetwire.FromController
		assert.NilError(t, conn.Receive(&message))
		received = append(received, message)
		if last(&message) {
			return received
		}
	}
}

func listsDepartures(message *fleetwire.FromController) bool { return message.Departures != nil }

func hasLease(message *fleetwire.FromController) bool { return message.Lease != nil }

// A gateway acknowledges a departure once the leader lists it. The next gateway process is told
// before its first lease, also by a leader that has heard nothing of the back end.
func TestRecordedDepartureIsKnownToTheNextLeader(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(documentChange(1, 0, 1))
	conn := openSessionOf(t, g.configs[leader].SessionListen, 1)
	assert.NilError(t, conn.Send(fleetwire.ToController{Report: &fleetwire.Report{Boot: 1, Departing: []string{"i-1"}}}))
	received := receiveUntil(t, conn, listsDepartures)
	assert.DeepEqual(t, received[len(received)-1].Departures.Instances, []string{"i-1"})

	g.stop(leader)
	_, next := g.change(documentChange(3, 1, 1))
	conn = openSessionOf(t, g.configs[next].SessionListen, 2)
	ready := fleetwire.Instance{ID: "i-1", Service: "s", Node: "node-1", Slots: 4, State: fleetwire.InstanceReady, Sequence: 5}
	assert.NilError(t, conn.Send(fleetwire.ToController{Report: &fleetwire.Report{Boot: 2, Instance: &ready}}))
	var listed bool
	for _, message := range receiveUntil(t, conn, hasLease) {
		listed = listed || listsDepartures(&message)
	}
	assert.Assert(t, listed, "the departure must be listed before the first lease or with it")

	conn = openSessionOf(t, g.configs[next].SessionListen, 3)
	received = receiveUntil(t, conn, func(message *fleetwire.FromController) bool { return message.Known != nil })
	assert.Equal(t, received[len(received)-1].Known.State, fleetwire.InstanceDraining, "a report that it is ready changes nothing")
}
