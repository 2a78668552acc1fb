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

// ErrLeadershipLost: this controller stopped leading before it knew that a configuration
// is in force in time. The configuration is accepted; who sends it again is answered by
// the next leader.
var ErrLeadershipLost = errors.New("leadership lost before the configuration is known to be in force")

// awaitedVersion is a configuration whose acknowledgement waits for gateways.
type awaitedVersion struct {
	version routeconfig.Version
	since   time.Duration
	told    bool
	// done takes the end of the wait; it has room for it.
	done chan error
}

// toldAfter is when a wait for gateways is logged: several rounds of reports that
// gateways send at once, so that a slow one is seen and a calm change tells nothing.
const toldAfter = 300 * time.Millisecond

// awaitInForce returns once a version that is in the state may be acknowledged. One that
// was elected and has not begun to lead yet may have taken the change already.
func (c *Controller) awaitInForce(ctx context.Context, version routeconfig.Version) error {
	done := make(chan error, 1)
	c.member.Post(func() {
		c.control.awaited = append(c.control.awaited, awaitedVersion{version: version, since: c.member.Now(), done: done})
	})
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		c.member.Post(func() { c.forgetAwaited(done) })
		return ctx.Err()
	}
}

// forgetAwaited ends a wait whose caller has left.
func (c *Controller) forgetAwaited(done chan error) {
	c.control.awaited = slices.DeleteFunc(c.control.awaited, func(awaited awaitedVersion) bool { return awaited.done == done })
}

// acknowledge ends the waits for versions that are in force in time.
func (c *Controller) acknowledge(now time.Duration) {
	control := &c.control
	control.awaited = slices.DeleteFunc(control.awaited, func(awaited awaitedVersion) bool {
		if !control.inForce.InForceInTime(awaited.version, now) {
			return false
		}
		c.metrics.inForceWait.Observe((now - awaited.since).Seconds())
		awaited.done <- nil
		return true
	})
	for i := range control.awaited {
		c.tellLagging(&control.awaited[i], now)
	}
}

// takeConfirmed notes that a gateway has a configuration in force.
func (c *Controller) takeConfirmed(s *session, confirmed *fleetwire.Confirmed) {
	if c.control.inForce != nil {
		c.control.inForce.Confirm(configlease.Gateway{Node: s.node, Boot: confirmed.Boot}, confirmed.Version)
	}
}

// tellLagging logs, once for each wait that is long, whom it is for.
func (c *Controller) tellLagging(awaited *awaitedVersion, now time.Duration) {
	if awaited.told || now < awaited.since+toldAfter {
		return
	}
	awaited.told = true
	const mostNamed = 8
	lagging := c.control.inForce.Lagging(awaited.version, now)
	c.config.Log.Info("configuration waits for gateways", "version", uint64(awaited.version), "lagging", len(lagging),
		"gateways", strings.Join(lagging[:min(mostNamed, len(lagging))], " "))
}

// releaseAwaited ends all waits with an error.
func (c *Controller) releaseAwaited(err error) {
	for _, awaited := range c.control.awaited {
		awaited.done <- err
	}
	c.control.awaited = nil
}
