package subscription

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/statechart"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// NeverFresh is the Freshness of a client that never had a proof of freshness.
const NeverFresh = time.Duration(math.MaxInt64)

// ErrNoSession is returned by Send when no session is open. The message is not
// queued.
var ErrNoSession = errors.New("no controller session")

// Client keeps a session with a controller until Stop.
type Client struct {
	config Config
	random *rand.Rand
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	table   atomic.Pointer[routing.Table]
	freshAt atomic.Int64 // nanoseconds of config.Now, plus one; zero is never
	session atomic.Pointer[session]
	backend atomic.Uint32
	counts  counters

	// The fields below belong to the receiving goroutine.
	state          statechart.State
	conn           *transport.Conn
	welcome        wire.Welcome
	helloRevision  topology.Revision // applied revision in the last Hello
	leaderAddress  string            // leader address from the last Welcome or Redirect
	nextController int               // index into config.Controllers for the next attempt, modulo its length
	redirects      int               // consecutive, without a useful session
	failures       int               // consecutive
	// requestSnapshot makes the next Hello request a snapshot. gapSeen is set
	// when a session ended at a revision gap, until a table is applied.
	requestSnapshot bool
	gapSeen         bool
}

// Start validates the configuration and begins to connect.
func Start(config Config) (*Client, error) {
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("subscription: %w", err)
	}
	c := &Client{config: config.withDefaults(), done: make(chan struct{})}
	c.random = rand.New(rand.NewPCG(c.config.Seed, 0))
	c.nextController = c.random.IntN(len(config.Controllers))
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.state = sessionTable.Initial()
	go c.run()
	return c, nil
}

// Stop ends the session and waits for the client's goroutines. It does not
// release the lease: a Renew from Report must announce the release before Stop.
func (c *Client) Stop() {
	c.cancel()
	<-c.done
}

// Table returns the newest routing table, nil before the first.
func (c *Client) Table() *routing.Table { return c.table.Load() }

// Backend returns the back end's ID from the last Welcome; zero for a router and
// before the first session.
func (c *Client) Backend() topology.BackendID { return topology.BackendID(c.backend.Load()) }

// Freshness returns the age, at now, of the last proof that the table was the
// newest. The argument is a reading of Config.Now.
func (c *Client) Freshness(now time.Duration) time.Duration {
	stored := c.freshAt.Load()
	if stored == 0 {
		return NeverFresh
	}
	return max(now-time.Duration(stored-1), 0)
}

// recordFreshness records a proof of freshness of the given time, unless a later
// one is recorded already.
func (c *Client) recordFreshness(at time.Duration) {
	stored := int64(max(at, 0)) + 1
	for {
		current := c.freshAt.Load()
		if current >= stored || c.freshAt.CompareAndSwap(current, stored) {
			return
		}
	}
}

// Send queues a message on the open session. The message may be lost with the
// session: the caller repeats it until the routing table shows its effect.
func (c *Client) Send(message wire.ToController) error {
	open := c.session.Load()
	if open == nil {
		return ErrNoSession
	}
	open.outbox.add(message)
	return nil
}

// RenewNow sends a Renew at once, for example to announce a release or a stop.
// Without a session it does nothing.
func (c *Client) RenewNow() {
	if open := c.session.Load(); open != nil {
		open.outbox.renewNow()
	}
}

// run executes session.chart until the state stopped.
func (c *Client) run() {
	defer close(c.done)
	event := eventStart
	for c.state != stateStopped {
		next, action, ok := sessionTable.Next(c.state, event)
		if !ok {
			panic(fmt.Sprintf("subscription: event %d in state %d is not in session.chart", event, c.state))
		}
		c.state = next
		event = c.perform(action)
	}
}

func (c *Client) perform(action statechart.Action) statechart.Event {
	switch action {
	case actionConnect:
		return c.connect()
	case actionGreet:
		return c.greet()
	case actionFollow:
		return c.follow()
	case actionBackOff:
		return c.backOff()
	default:
		return eventStop
	}
}

// backOff waits for a random time below a limit that doubles with each failure.
func (c *Client) backOff() statechart.Event {
	limit := c.config.BackOffFirst << min(c.failures, 16)
	if limit <= 0 || limit > c.config.BackOffLimit {
		limit = c.config.BackOffLimit
	}
	c.failures++
	timer := time.NewTimer(time.Duration(c.random.Int64N(int64(limit)) + 1))
	defer timer.Stop()
	select {
	case <-timer.C:
		return eventElapsed
	case <-c.ctx.Done():
		return eventStop
	}
}
