package subscription

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/statechart"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// follow receives messages until the session ends.
func (c *Client) follow() statechart.Event {
	open := newSession(c.conn, c.config, c.helloRevision)
	stopClosing := context.AfterFunc(c.ctx, func() { _ = c.conn.Close() })
	defer stopClosing()
	c.handleWelcome(c.welcome)
	c.counts.sessions.Add(1)
	c.session.Store(open)
	c.config.Log.Info("controller session open", slog.String("controller", c.conn.RemoteAddress()))

	var sender sync.WaitGroup
	sender.Go(open.send)
	useful, err := c.receiveAll(open)
	c.session.Store(nil)
	open.end()
	_ = c.conn.Close()
	sender.Wait()
	c.counts.addTraffic(c.conn)
	if c.ctx.Err() == nil {
		c.config.Log.Info("controller session lost", slog.String("controller", c.conn.RemoteAddress()), slog.Any("error", err))
	}
	return c.endAttempt(c.sessionEndEvent(useful, err), c.conn.RemoteAddress(), nil)
}

// sessionEndEvent returns the event of session.chart for an ended session.
func (c *Client) sessionEndEvent(useful bool, err error) statechart.Event {
	if useful {
		c.failures = 0
		c.redirects = 0
	}
	if errors.Is(err, errRedirected) {
		return c.redirect(c.leaderAddress)
	}
	if useful {
		return eventLost
	}
	return eventFailed
}

// handleWelcome stores a Welcome and adjusts the idle timeout and the renewal
// interval to it.
func (c *Client) handleWelcome(welcome wire.Welcome) {
	c.welcome = welcome
	c.backend.Store(uint32(welcome.Backend))
	c.conn.SetIdleTimeout(c.silenceLimit())
	if open := c.session.Load(); open != nil {
		open.handleWelcome(welcome)
	}
	if c.config.OnWelcome != nil {
		c.config.OnWelcome(welcome)
	}
}

// silenceLimit returns the time without messages after which the session ends.
func (c *Client) silenceLimit() time.Duration {
	if c.config.SilenceLimit != 0 {
		return c.config.SilenceLimit
	}
	if c.config.Role == topology.RoleAgent && c.welcome.Backend != 0 {
		return maxUnansweredRenewals * c.welcome.RenewInterval
	}
	return DefaultSilenceLimit
}

// receiveAll handles messages until one of them, or the connection, ends the
// session. The result useful reports whether at least one brought a lease, an
// applied delta or a proof of freshness.
func (c *Client) receiveAll(open *session) (useful bool, err error) {
	open.handleWelcome(c.welcome)
	for {
		var message wire.FromController
		if err := c.conn.Receive(&message); err != nil {
			return useful, err
		}
		messageUseful, err := c.handle(open, message)
		useful = useful || messageUseful
		if err != nil {
			return useful, err
		}
	}
}

func (c *Client) handle(open *session, message wire.FromController) (useful bool, err error) {
	switch {
	case message.RenewAck != nil:
		return c.handleRenewAck(open, message)
	case message.Delta != nil:
		return c.applyDelta(open, *message.Delta)
	case message.Alive != nil:
		return c.handleAlive(*message.Alive)
	case message.Snapshot != nil:
		return false, c.applySnapshot(open, *message.Snapshot)
	case message.Welcome != nil:
		c.handleWelcome(*message.Welcome)
	case message.Redirect != nil:
		c.leaderAddress = message.Redirect.LeaderAddress
		return false, errRedirected
	}
	return false, nil
}

// handleRenewAck handles a RenewAck after the delta in the same message, if there
// is one.
func (c *Client) handleRenewAck(open *session, message wire.FromController) (useful bool, err error) {
	if message.Delta != nil {
		if _, err := c.applyDelta(open, *message.Delta); err != nil {
			return false, err
		}
	}
	return c.applyRenewAck(*message.RenewAck), nil
}

// applyRenewAck records a granted lease and, if the table is at the leader's
// revision, a proof of freshness, both counted from when the Renew was sent. It
// ignores an ack whose Renew would have been sent in the future.
func (c *Client) applyRenewAck(ack wire.RenewAck) bool {
	if c.config.Lease == nil || ack.SentAt > c.config.Now() {
		return false
	}
	if ack.Granted > 0 {
		c.config.Lease.Granted(ack.SentAt, ack.Granted)
		c.counts.renewals.Add(1)
	}
	c.recordFreshnessIfCurrent(ack.Revision, ack.SentAt)
	return ack.Granted > 0
}

// recordFreshnessIfCurrent records a proof of freshness of the given time if the
// table has reached the revision.
func (c *Client) recordFreshnessIfCurrent(revision topology.Revision, at time.Duration) bool {
	table := c.table.Load()
	if table == nil || table.Revision() < revision {
		return false
	}
	c.recordFreshness(at)
	return true
}

func (c *Client) handleAlive(message wire.Alive) (useful bool, err error) {
	if c.config.Role == topology.RoleRouter && message.LeaderContact > c.config.LeaderContactLimit {
		return false, &LeaderContactError{message.LeaderContact}
	}
	if !message.Answers || message.PingSentAt > c.config.Now() {
		return false, nil
	}
	return c.recordFreshnessIfCurrent(message.Revision, message.PingSentAt-message.LeaderContact), nil
}

func (c *Client) applySnapshot(open *session, snapshot wire.RoutingSnapshot) error {
	if snapshot.Group != c.config.Group {
		return &WrongGroupError{c.config.Group, snapshot.Group}
	}
	if table := c.table.Load(); table != nil && snapshot.Revision < table.Revision() {
		c.counts.refusedReverts.Add(1)
		return &RevisionRevertedError{table.Revision(), snapshot.Revision}
	}
	table, err := c.config.Tables.FromSnapshot(snapshot)
	if err != nil {
		return err
	}
	c.counts.snapshots.Add(1)
	c.publish(open, table, false)
	return nil
}

// applyDelta advances the table. A delta proves no freshness, since it may have
// been delayed on its way.
func (c *Client) applyDelta(open *session, delta wire.RoutingDelta) (useful bool, err error) {
	table := c.table.Load()
	if table == nil {
		c.requestSnapshot = true
		return false, &routing.RevisionGapError{From: delta.From}
	}
	if delta.To < table.Revision() {
		c.counts.refusedReverts.Add(1)
		return false, &RevisionRevertedError{table.Revision(), delta.To}
	}
	next, err := c.config.Tables.Apply(table, delta)
	if err != nil {
		return false, c.prepareResync(err)
	}
	c.counts.deltas.Add(1)
	c.publish(open, next, delta.IsEmpty())
	return true, nil
}

// prepareResync decides what the next Hello requests: the missing deltas after a
// first gap, a snapshot after a second one or after an invalid delta.
func (c *Client) prepareResync(err error) error {
	var gap *routing.RevisionGapError
	c.counts.gaps.Add(1)
	c.requestSnapshot = c.gapSeen || !errors.As(err, &gap)
	c.gapSeen = true
	return err
}

// publish stores a table, passes it to OnTable and confirms its revision. If only
// the revision changed, an agent confirms it with its next renewal.
func (c *Client) publish(open *session, table *routing.Table, onlyRevision bool) {
	c.requestSnapshot, c.gapSeen = false, false
	c.table.Store(table)
	if c.config.OnTable != nil {
		c.config.OnTable(table)
	}
	open.outbox.confirm(table.Revision(), onlyRevision && c.config.Lease != nil)
}
