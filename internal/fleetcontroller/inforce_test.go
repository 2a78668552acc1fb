package fleetcontroller_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// gatewaySession is a gateway's session with the leader.
type gatewaySession struct {
	t    *testing.T
	conn *transport.Conn
	boot uint64
}

// openSession opens a session with the leader at an address.
func openSession(t *testing.T, address string) *gatewaySession {
	t.Helper()
	conn, err := transport.Dial(t.Context(), address, transport.Options{WriteTimeout: patience, IdleTimeout: patience})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	const boot = 7
	assert.NilError(t, conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "gateway", Boot: boot}}))
	return &gatewaySession{t: t, conn: conn, boot: boot}
}

// report says that a version is in force, and returns the lease that answers.
func (s *gatewaySession) report(version routeconfig.Version) *fleetwire.Lease {
	s.t.Helper()
	assert.NilError(s.t, s.conn.Send(fleetwire.ToController{Report: &fleetwire.Report{Boot: s.boot, Version: version}}))
	for {
		var message fleetwire.FromController
		assert.NilError(s.t, s.conn.Receive(&message))
		if message.Lease != nil {
			return message.Lease
		}
	}
}

// A gateway that may serve by the old configuration holds an acknowledgement up until what
// it was given ends so soon that the promise is kept.
func TestAChangeIsNotAcknowledgedWhileAGatewayMayOutlastThePromise(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(changeTo(3, 0, 1))
	gateway := openSession(t, g.configs[leader].SessionListen)
	terms := configlease.Terms{}.WithDefaults()
	asked := time.Now()
	assert.Equal(t, gateway.report(3).ConfigurationFor, terms.Validity())
	g.change(changeTo(4, 3, 2))
	assert.Assert(t, time.Since(asked) >= terms.AcknowledgeWithin)
}

// One that confirms the new configuration, with a report or a word of its own, holds
// nothing up: the change is acknowledged while what it was given would last for long.
func TestAChangeIsAcknowledgedOnceTheGatewaysConfirmIt(t *testing.T) {
	for name, confirmation := range map[string]func(boot uint64, version routeconfig.Version) fleetwire.ToController{
		"report": func(boot uint64, version routeconfig.Version) fleetwire.ToController {
			return fleetwire.ToController{Report: &fleetwire.Report{Boot: boot, Version: version}}
		},
		"word": func(boot uint64, version routeconfig.Version) fleetwire.ToController {
			return fleetwire.ToController{Confirmed: &fleetwire.Confirmed{Boot: boot, Version: version}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGroup(t)
			_, leader := g.change(changeTo(3, 0, 1))
			gateway := openSession(t, g.configs[leader].SessionListen)
			gateway.report(3)
			acknowledged := make(chan struct{})
			go func() {
				defer close(acknowledged)
				g.change(changeTo(4, 3, 2))
			}()
			gateway.awaitVersion(4)
			assert.NilError(t, gateway.conn.Send(confirmation(gateway.boot, 4)))
			<-acknowledged
		})
	}
}

// awaitVersion reads until a configuration has come.
func (s *gatewaySession) awaitVersion(version routeconfig.Version) {
	s.t.Helper()
	for {
		var message fleetwire.FromController
		assert.NilError(s.t, s.conn.Receive(&message))
		if message.View == nil {
			continue
		}
		assert.NilError(s.t, message.View.Unpack())
		if message.View.Document != nil && message.View.Document.Version == version {
			return
		}
	}
}

// The next leader vouches for the gateways of the last one until their time is over: it
// does not know them.
func TestANextLeaderWaitsForGatewaysThatItDoesNotKnow(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(changeTo(3, 0, 1))
	gateway := openSession(t, g.configs[leader].SessionListen)
	asked := time.Now()
	gateway.report(3)
	g.stop(leader)
	g.change(changeTo(4, 3, 2))
	assert.Assert(t, time.Since(asked) >= configlease.Terms{}.WithDefaults().AcknowledgeWithin)
}
