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
	conn, err := transport.Dial(t.Context(), address, transport.Options{WriteTimeout: waitTimeout, IdleTimeout: waitTimeout})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	const boot = 7
	assert.NilError(t, conn.Send(fleetwire.ToController{Hello: &fleetwire.Hello{Node: "gateway", Boot: boot}}))
	return &gatewaySession{t: t, conn: conn, boot: boot}
}

// report reports that a version is in force, and returns the lease in the response.
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

// While a gateway may serve requests by the old configuration, the acknowledgement of a change
// waits until what remains of the gateway's lease is within the guaranteed time.
func TestChangeIsNotAcknowledgedBeforeOldLeasesAreAboutToExpire(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(documentChange(3, 0, 1))
	gateway := openSession(t, g.configs[leader].SessionListen)
	terms := configlease.Terms{}.WithDefaults()
	asked := time.Now()
	assert.Equal(t, gateway.report(3).ConfigurationFor, terms.Validity())
	g.change(documentChange(4, 3, 2))
	assert.Assert(t, time.Since(asked) >= terms.AcknowledgeWithin)
}

// A gateway that confirms the new configuration, in a report or in a Confirmed message,
// doesn't delay the acknowledgement, even if its lease for the old one is still long.
func TestChangeIsAcknowledgedOnceTheGatewaysConfirmIt(t *testing.T) {
	for name, confirmation := range map[string]func(boot uint64, version routeconfig.Version) fleetwire.ToController{
		"report": func(boot uint64, version routeconfig.Version) fleetwire.ToController {
			return fleetwire.ToController{Report: &fleetwire.Report{Boot: boot, Version: version}}
		},
		"confirmed message": func(boot uint64, version routeconfig.Version) fleetwire.ToController {
			return fleetwire.ToController{Confirmed: &fleetwire.Confirmed{Boot: boot, Version: version}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGroup(t)
			_, leader := g.change(documentChange(3, 0, 1))
			gateway := openSession(t, g.configs[leader].SessionListen)
			gateway.report(3)
			acknowledged := make(chan struct{})
			go func() {
				defer close(acknowledged)
				g.change(documentChange(4, 3, 2))
			}()
			gateway.awaitVersion(4)
			assert.NilError(t, gateway.conn.Send(confirmation(gateway.boot, 4)))
			<-acknowledged
		})
	}
}

// awaitVersion receives messages until one contains the given version of the configuration.
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

// A new leader doesn't know the gateways of the last one, so it must wait until any lease that
// the last one may have granted has expired.
func TestNewLeaderWaitsForLeasesOfItsPredecessor(t *testing.T) {
	g := startGroup(t)
	_, leader := g.change(documentChange(3, 0, 1))
	gateway := openSession(t, g.configs[leader].SessionListen)
	asked := time.Now()
	gateway.report(3)
	g.stop(leader)
	g.change(documentChange(4, 3, 2))
	assert.Assert(t, time.Since(asked) >= configlease.Terms{}.WithDefaults().AcknowledgeWithin)
}
