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

// follow receives until the session ends.
func (c *Client) follow() statechart.Event {
	open := newSession(c.conn, c.config, c.greetedAt)
	stopClosing := context.AfterFunc(c.ctx, func() { _ = c.conn.Close() })
	defer stopClosing()
	c.welcomed(c.welcome)
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
	c.counts.countTraffic(c.conn)
	if c.ctx.Err() == nil {
		c.config.Log.Info("controller session lost", slog.String("controller", c.conn.RemoteAddress()), slog.Any("error", err))
	}
	return c.endAttempt(c.endOfSession(useful, err), c.conn.RemoteAddress(), nil)
}

// endOfSession names the event for the chart.
func (c *Client) endOfSession(useful bool, err error) statechart.Event {
	if useful {
		c.failures = 0
		c.redirects = 0
	}
	if errors.Is(err, errRedirected) {
		return c.redirect(c.named)
	}
	if useful {
		return eventLost
	}
	return eventFailed
}

// welcomed takes over what a Welcome says.
func (c *Client) welcomed(welcome wire.Welcome) {
	c.welcome = welcome
	c.backend.Store(uint32(welcome.Backend))
	c.conn.SetIdleTimeout(c.silenceLimit())
	if open := c.session.Load(); open != nil {
		open.welcomed(welcome)
	}
	if c.config.OnWelcome != nil {
		c.config.OnWelcome(welcome)
	}
}

func (c *Client) silenceLimit() time.Duration {
	if c.config.SilenceLimit != 0 {
		return c.config.SilenceLimit
	}
	if c.config.Role == topology.RoleAgent && c.welcome.Backend != 0 {
		return silentRenewals * c.welcome.RenewInterval
	}
	return DefaultSilenceLimit
}

// receiveAll handles messages until one of them, or the connection, ends the
// session. Useful says that at least one brought a lease or a proof of
// freshness.
func (c *Client) receiveAll(open *session) (useful bool, err error) {
	open.welcomed(c.welcome)
	for {
		var message wire.FromController
		if err := c.conn.Receive(&message); err != nil {
			return useful, err
		}
		helped, err := c.handle(open, message)
		useful = useful || helped
		if err != nil {
			return useful, err
		}
	}
}

func (c *Client) handle(open *session, message wire.FromController) (useful bool, err error) {
	switch {
	case message.RenewAck != nil:
		return c.acknowledged(open, message)
	case message.Delta != nil:
		return c.applyDelta(open, *message.Delta)
	case message.Alive != nil:
		return c.alive(*message.Alive)
	case message.Snapshot != nil:
		return false, c.applySnapshot(open, *message.Snapshot)
	case message.Welcome != nil:
		c.welcomed(*message.Welcome)
	case message.Redirect != nil:
		c.named = message.Redirect.LeaderAddress
		return false, errRedirected
	}
	return false, nil
}

// acknowledged takes a RenewAck and the delta beside it, if there is one.
func (c *Client) acknowledged(open *session, message wire.FromController) (useful bool, err error) {
	if message.Delta != nil {
		if _, err := c.applyDelta(open, *message.Delta); err != nil {
			return false, err
		}
	}
	return c.renewed(*message.RenewAck), nil
}

// renewed takes a lease and, where the table is at the leader's revision, a
// proof of freshness, both counted from when the Renew was sent.
func (c *Client) renewed(ack wire.RenewAck) bool {
	if c.config.Lease == nil || ack.SentAt > c.config.Now() {
		return false
	}
	if ack.Granted > 0 {
		c.config.Lease.Granted(ack.SentAt, ack.Granted)
		c.counts.renewals.Add(1)
	}
	c.freshIfAt(ack.Revision, ack.SentAt)
	return ack.Granted > 0
}

// freshIfAt records a proof of the given time where the table is at revision.
func (c *Client) freshIfAt(revision topology.Revision, at time.Duration) bool {
	table := c.table.Load()
	if table == nil || table.Revision() < revision {
		return false
	}
	c.provedFresh(at)
	return true
}

func (c *Client) alive(message wire.Alive) (useful bool, err error) {
	if c.config.Role == topology.RoleRouter && message.LeaderContact > c.config.LeaderContactLimit {
		return false, &LeaderContactError{message.LeaderContact}
	}
	if !message.Answers || message.PingSentAt > c.config.Now() {
		return false, nil
	}
	return c.freshIfAt(message.Revision, message.PingSentAt-message.LeaderContact), nil
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
	c.inForce(open, table, false)
	return nil
}

// applyDelta advances the table. A delta proves no freshness: it may have been
// on its way for long.
func (c *Client) applyDelta(open *session, delta wire.RoutingDelta) (useful bool, err error) {
	table := c.table.Load()
	if table == nil {
		c.askWhole = true
		return false, &routing.RevisionGapError{From: delta.From}
	}
	if delta.To < table.Revision() {
		c.counts.refusedReverts.Add(1)
		return false, &RevisionRevertedError{table.Revision(), delta.To}
	}
	next, err := c.config.Tables.Apply(table, delta)
	if err != nil {
		return false, c.refuseDelta(err)
	}
	c.counts.deltas.Add(1)
	c.inForce(open, next, delta.IsEmpty())
	return true, nil
}

// refuseDelta decides what the next Hello asks for: what is missing after a
// first gap, all after a second one or after a delta that makes no sense.
func (c *Client) refuseDelta(err error) error {
	var gap *routing.RevisionGapError
	c.counts.gaps.Add(1)
	c.askWhole = c.gapSeen || !errors.As(err, &gap)
	c.gapSeen = true
	return err
}

// inForce publishes a table, hands it on and confirms it. Where nothing changed
// but the revision, an agent's next renewal confirms it soon enough.
func (c *Client) inForce(open *session, table *routing.Table, onlyRevision bool) {
	c.askWhole, c.gapSeen = false, false
	c.table.Store(table)
	if c.config.OnTable != nil {
		c.config.OnTable(table)
	}
	open.outbox.confirm(table.Revision(), onlyRevision && c.config.Lease != nil)
}
