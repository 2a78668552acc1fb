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

// NeverFresh is the Freshness of a client that never had a proof.
const NeverFresh = time.Duration(math.MaxInt64)

// ErrNoSession says that no session is open; the message was not kept.
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

	// The rest belongs to the receiving goroutine.
	state     statechart.State
	conn      *transport.Conn
	welcome   wire.Welcome
	greetedAt topology.Revision // that the last Hello named as in force
	named     string            // address of the leader that a controller named
	turn      int               // place in config.Controllers of the next attempt
	redirects int               // in a row, without a useful session
	failures  int               // in a row
	// askWhole makes the next Hello ask for a snapshot; gapSeen says that the
	// last session ended at a gap and nothing was applied since.
	askWhole bool
	gapSeen  bool
}

// Start checks the configuration and begins to connect.
func Start(config Config) (*Client, error) {
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("subscription: %w", err)
	}
	c := &Client{config: config.withDefaults(), done: make(chan struct{})}
	c.random = rand.New(rand.NewPCG(c.config.Seed, 0))
	c.turn = c.random.IntN(len(config.Controllers))
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.state = sessionTable.Initial()
	go c.run()
	return c, nil
}

// Stop ends the session and waits for the client's goroutines. It does not
// release the lease: for that, Report says so in a Renew before Stop.
func (c *Client) Stop() {
	c.cancel()
	<-c.done
}

// Table is the newest routing table, nil before the first.
func (c *Client) Table() *routing.Table { return c.table.Load() }

// Backend is the agent's identity as the controllers last told it; zero for a
// router and before the first session.
func (c *Client) Backend() topology.BackendID { return topology.BackendID(c.backend.Load()) }

// Freshness is the age at now, a reading of Config.Now, of the last proof that
// the table was the newest.
func (c *Client) Freshness(now time.Duration) time.Duration {
	stored := c.freshAt.Load()
	if stored == 0 {
		return NeverFresh
	}
	return max(now-time.Duration(stored-1), 0)
}

// provedFresh records a proof of the given time; proofs never go back.
func (c *Client) provedFresh(at time.Duration) {
	stored := int64(max(at, 0)) + 1
	for {
		earlier := c.freshAt.Load()
		if earlier >= stored || c.freshAt.CompareAndSwap(earlier, stored) {
			return
		}
	}
}

// Send queues a message on the open session. It may be lost with the session:
// the caller repeats it until the routing table shows its effect.
func (c *Client) Send(message wire.ToController) error {
	open := c.session.Load()
	if open == nil {
		return ErrNoSession
	}
	open.outbox.add(message)
	return nil
}

// RenewNow sends a Renew at once, for a release or an announced stop. Without
// a session it does nothing.
func (c *Client) RenewNow() {
	if open := c.session.Load(); open != nil {
		open.outbox.renewNow()
	}
}

// run interprets session.chart until its last state.
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

// backOff waits a random part of a limit that doubles with each failure.
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
