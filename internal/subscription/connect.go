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
	// maxRedirects is how many controllers in a row may name another one
	// before the client waits.
	maxRedirects = 3
	// silentRenewals is how many renewals in a row may stay unanswered.
	silentRenewals = 3
)

// connect dials the named leader, or else the next controller of the list.
func (c *Client) connect() statechart.Event {
	address := c.named
	c.named = ""
	if address == "" {
		address = c.config.Controllers[c.turn%len(c.config.Controllers)]
		c.turn++
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

// endAttempt turns a failure into a stop where Stop was called.
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

// greet sends Hello and judges the Welcome.
func (c *Client) greet() statechart.Event {
	stopClosing := context.AfterFunc(c.ctx, func() { _ = c.conn.Close() })
	defer stopClosing()
	address := c.conn.RemoteAddress()
	hello := c.hello()
	c.greetedAt = hello.Applied
	err := c.conn.Send(wire.ToController{Hello: hello})
	if err != nil {
		return c.endAttempt(eventFailed, address, err)
	}
	var answer wire.FromController
	if err := c.conn.Receive(&answer); err != nil {
		return c.endAttempt(eventFailed, address, err)
	}
	event, err := c.judge(answer)
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
	if table := c.table.Load(); table != nil && !c.askWhole {
		hello.Applied = table.Revision()
	}
	return hello
}

// judge decides whether the controller that gave the answer will do.
func (c *Client) judge(answer wire.FromController) (statechart.Event, error) {
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

// redirect takes the named leader as the next address.
func (c *Client) redirect(leader string) statechart.Event {
	c.redirects++
	if leader == "" || c.redirects > maxRedirects {
		c.redirects = 0
		return eventFailed
	}
	c.counts.redirects.Add(1)
	c.named = leader
	return eventRedirected
}
