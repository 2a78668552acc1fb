package subscription

import (
	"context"
	"log/slog"

	"github.com/quartzdock/quartzdock/internal/statechart"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// maxRedirects is the number of consecutive redirects that the client
	// follows before it backs off.
	maxRedirects = 3
	// maxUnansweredRenewals is the number of renewal intervals without any
	// message after which an agent ends the session.
	maxUnansweredRenewals = 3
)

// connect dials the leader that a controller named, or else the next controller
// of the list.
func (c *Client) connect() statechart.Event {
	address := c.leaderAddress
	c.leaderAddress = ""
	if address == "" {
		address = c.config.Controllers[c.nextController%len(c.config.Controllers)]
		c.nextController++
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.config.ConnectTimeout)
	defer cancel()
	options := c.config.Transport
	options.IdleTimeout = c.config.ConnectTimeout
	conn, err := transport.Dial(ctx, address, options)
	if err != nil {
		return c.endAttempt(eventFailed, address, err)
	}
	c.conn = conn
	return eventConnected
}

// endAttempt counts and logs the end of an attempt and returns its event, or
// eventStop if Stop was called.
func (c *Client) endAttempt(event statechart.Event, address string, err error) statechart.Event {
	if c.ctx.Err() != nil {
		return eventStop
	}
	if event == eventFailed {
		c.counts.failedAttempts.Add(1)
	}
	if err != nil {
		c.config.Log.Debug("controller session attempt ended", slog.String("controller", address), slog.Any("error", err))
	}
	return event
}

// greet sends Hello and checks the answer.
func (c *Client) greet() statechart.Event {
	stopClosing := context.AfterFunc(c.ctx, func() { _ = c.conn.Close() })
	defer stopClosing()
	address := c.conn.RemoteAddress()
	hello := c.hello()
	c.helloRevision = hello.Applied
	err := c.conn.Send(wire.ToController{Hello: hello})
	if err != nil {
		return c.endAttempt(eventFailed, address, err)
	}
	var answer wire.FromController
	if err := c.conn.Receive(&answer); err != nil {
		return c.endAttempt(eventFailed, address, err)
	}
	event, err := c.checkAnswer(answer)
	if event != eventWelcomed {
		_ = c.conn.Close()
		return c.endAttempt(event, address, err)
	}
	return event
}

func (c *Client) hello() *wire.Hello {
	hello := &wire.Hello{
		Group:    c.config.Group,
		Role:     c.config.Role,
		Name:     c.config.Name,
		Location: c.config.Location,
		Boot:     c.config.Boot,
		Address:  c.config.Address,
		Services: c.config.Services,
	}
	if table := c.table.Load(); table != nil && !c.requestSnapshot {
		hello.Applied = table.Revision()
	}
	return hello
}

// checkAnswer returns eventWelcomed if the client can use the controller that sent
// the answer.
func (c *Client) checkAnswer(answer wire.FromController) (statechart.Event, error) {
	if answer.Redirect != nil {
		return c.redirect(answer.Redirect.LeaderAddress), nil
	}
	welcome := answer.Welcome
	if welcome == nil {
		return eventFailed, errUnexpectedAnswer
	}
	if welcome.Refusal != "" {
		return eventFailed, &RefusedError{Reason: welcome.Refusal}
	}
	if c.config.Role == topology.RoleAgent && !welcome.Leader {
		return c.redirect(welcome.LeaderAddress), nil
	}
	c.welcome = *welcome
	return eventWelcomed, nil
}

// redirect makes the leader the next address to connect to. Without a leader, or
// after maxRedirects redirects, the attempt has failed.
func (c *Client) redirect(leader string) statechart.Event {
	c.redirects++
	if leader == "" || c.redirects > maxRedirects {
		c.redirects = 0
		return eventFailed
	}
	c.counts.redirects.Add(1)
	c.leaderAddress = leader
	return eventRedirected
}
