package fleetcontroller

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// ErrLeadershipLost means that this controller stopped leading before it was certain that a
// configuration is in force in time. The configuration has been accepted. If the change is
// repeated, the next leader responds to it.
var ErrLeadershipLost = errors.New("leadership lost before the configuration is known to be in force")

// pendingAck is the acknowledgement of a configuration that waits for gateways.
type pendingAck struct {
	version routeconfig.Version
	since   time.Duration
	logged  bool
	// done receives the result of the wait; it is buffered.
	done chan error
}

// laggingLogDelay is how long a wait for gateways lasts before it is logged: several rounds of
// the reports that gateways send immediately, so that a slow gateway is logged and an ordinary
// change isn't.
const laggingLogDelay = 300 * time.Millisecond

// awaitInForce returns once a version that is in the state may be acknowledged. It may be
// called before this controller acts as leader: an elected replica accepts changes before
// commitNoop has completed.
func (c *Controller) awaitInForce(ctx context.Context, version routeconfig.Version) error {
	done := make(chan error, 1)
	c.replica.Post(func() {
		c.control.pendingAcks = append(c.control.pendingAcks, pendingAck{version: version, since: c.replica.Now(), done: done})
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		c.replica.Post(func() { c.dropPendingAck(done) })
		return ctx.Err()
	}
}

// dropPendingAck removes a wait whose caller has given up.
func (c *Controller) dropPendingAck(done chan error) {
	c.control.pendingAcks = slices.DeleteFunc(c.control.pendingAcks, func(ack pendingAck) bool { return ack.done == done })
}

// acknowledgeInForce ends the waits for versions that are certain to be in force in time.
func (c *Controller) acknowledgeInForce(now time.Duration) {
	control := &c.control
	control.pendingAcks = slices.DeleteFunc(control.pendingAcks, func(ack pendingAck) bool {
		if !control.inForce.MayAcknowledge(ack.version, now) {
			return false
		}
		c.metrics.inForceWait.Observe((now - ack.since).Seconds())
		ack.done <- nil
		return true
	})
	for i := range control.pendingAcks {
		c.logLagging(&control.pendingAcks[i], now)
	}
}

// handleConfirmed records that a configuration is in force at a gateway.
func (c *Controller) handleConfirmed(s *session, confirmed *fleetwire.Confirmed) {
	if c.control.inForce != nil {
		c.control.inForce.Confirm(configlease.Gateway{Node: s.node, Boot: confirmed.Boot}, confirmed.Version)
	}
}

// logLagging logs the gateways for which an acknowledgement has waited long, once for each wait.
func (c *Controller) logLagging(ack *pendingAck, now time.Duration) {
	if ack.logged || now < ack.since+laggingLogDelay {
		return
	}
	ack.logged = true
	const maxNamed = 8
	lagging := c.control.inForce.Lagging(ack.version, now)
	c.config.Log.Info("configuration waits for gateways", "version", uint64(ack.version), "lagging", len(lagging),
		"gateways", strings.Join(lagging[:min(maxNamed, len(lagging))], " "))
}

// failPendingAcks ends all waits with an error.
func (c *Controller) failPendingAcks(err error) {
	for _, ack := range c.control.pendingAcks {
		ack.done <- err
	}
	c.control.pendingAcks = nil
}
