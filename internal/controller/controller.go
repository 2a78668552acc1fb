package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/coordinator"
	"github.com/quartzdock/quartzdock/internal/distribution"
	"github.com/quartzdock/quartzdock/internal/leadership"
	"github.com/quartzdock/quartzdock/internal/plannedstop"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/transport"
)

const (
	// stopTimeout bounds the wait for operators' calls in progress at a stop.
	stopTimeout = 2 * time.Second
	// shutdownPoll is how often http.Server.Shutdown looks whether calls have
	// ended, at longest (net/http, shutdownPollIntervalMax, with its jitter of a
	// tenth).
	shutdownPoll = 550 * time.Millisecond
	// callsEnd is how long calls may go on in a stop, so that their answers are
	// written and Shutdown sees it.
	callsEnd = stopTimeout - shutdownPoll - plannedstop.AnswerMargin
)

var errStopping = errors.New("the controller is stopping")

// Controller is one running controller.
type Controller struct {
	config  Config
	started time.Time
	log     *slog.Logger
	replica Replicator
	metrics *controllerMetrics

	sessions *transport.Listener
	rpc      net.Listener
	server   *http.Server
	// calls is the context below which operators' calls run; endCalls ends it.
	calls    context.Context
	endCalls context.CancelFunc

	// view is the published end of the log of deltas.
	view        atomic.Pointer[distribution.View]
	snapshots   snapshotCache
	frames      routingFrames
	open        sessionSet
	greetings   chan struct{}
	subscribers subscribers
	freshness   freshness
	relay       *relay
	published   broadcast
	stopping    chan struct{}
	background  sync.WaitGroup

	// The rest belongs to the control goroutine.
	state       *controlstate.State
	deltas      *distribution.Log
	coordinator *coordinator.Coordinator
	leadership  leadership.Leadership
	findings    *findings
	// discounted is how many claims the coordinator had discounted when it was
	// last looked at.
	discounted uint64
	agents     agentSessions
	// redirectBy is by when the agents of a leadership that ended are sent
	// away; zero where there are none.
	redirectBy time.Duration
}

// Run runs a controller until the context ends.
func Run(ctx context.Context, config Config) error {
	c, err := Start(config)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return c.Stop()
}

// Start provisions and serves. Stop ends it.
func Start(config Config) (*Controller, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	c := newController(config.withDefaults())
	if err := c.listen(); err != nil {
		return nil, err
	}
	replica, err := c.config.Replicate(c)
	if err != nil {
		c.closeListeners()
		return nil, fmt.Errorf("start the replicated log: %w", err)
	}
	c.attach(replica)
	c.serve()
	return c, nil
}

func newController(config Config) *Controller {
	c := &Controller{
		started:   steady.Reading(),
		config:    config,
		log:       config.Log,
		state:     controlstate.New(config.Group),
		deltas:    distribution.NewLog(0),
		agents:    make(agentSessions),
		stopping:  make(chan struct{}),
		greetings: make(chan struct{}, greetingsAtOnce),
	}
	c.coordinator = coordinator.New(config.Coordinator, c.state)
	c.subscribers.start(c.now())
	c.view.Store(c.deltas.View())
	c.metrics = newMetrics(config.Registerer, c)
	c.findings = newFindings(c.log, c.metrics.findings)
	return c
}

// now reads the controller's own monotonic clock.
func (c *Controller) now() time.Duration { return steady.Elapsed(c.started) }

func (c *Controller) listen() error {
	sessions, err := transport.Listen(c.config.SessionListen, transport.Options{TLS: c.config.LinkTLS})
	if err != nil {
		return fmt.Errorf("session listener: %w", err)
	}
	c.sessions = sessions
	c.rpc, err = net.Listen("tcp", c.config.RPCListen)
	if err != nil {
		_ = sessions.Close()
		return fmt.Errorf("RPC listener: %w", err)
	}
	return nil
}

func (c *Controller) closeListeners() {
	_ = c.sessions.Close()
	_ = c.rpc.Close()
}

// attach makes the replica known to the control goroutine, which may have
// begun to call the machine already.
func (c *Controller) attach(replica Replicator) {
	attached := make(chan struct{})
	replica.Post(func() {
		c.replica = replica
		close(attached)
	})
	<-attached
}

func (c *Controller) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	c.relay = newRelay(c)
	c.calls, c.endCalls = context.WithCancel(context.Background())
	c.server = c.newRPCServer()
	c.server.RegisterOnShutdown(func() {
		cancel()
		close(c.stopping)
	})
	c.background.Go(c.acceptSessions)
	c.background.Go(c.serveRPC)
	c.background.Go(func() { c.confirmFreshness(ctx) })
	c.background.Go(func() { c.relay.run(ctx) })
	c.background.Go(func() { c.followMachineList(ctx) })
	addresses := c.Addresses()
	c.log.Info("controller serves", "sessions", addresses.Sessions, "rpc", addresses.RPC,
		"peers", c.replica.PeerAddress(), "incarnation", strconv.FormatUint(uint64(c.replica.Incarnation()), 16))
	if c.config.OnReady != nil {
		c.config.OnReady(addresses)
	}
}

// Addresses returns the bound addresses.
func (c *Controller) Addresses() Addresses {
	return Addresses{Sessions: c.sessions.Address(), RPC: c.rpc.Addr().String()}
}

// sessionAddress is where subscribers are told to reach this controller.
func (c *Controller) sessionAddress() string {
	if c.config.SessionAdvertise != "" {
		return c.config.SessionAdvertise
	}
	return c.sessions.Address()
}

// Stop hands leadership over, if it is held here, and ends sessions, calls and
// the replicated log. Calls that would outlast the stop are ended shortly before
// it cuts them off, so that each is answered with what is known.
func (c *Controller) Stop() error {
	c.handOver()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	defer c.endCalls()
	defer time.AfterFunc(callsEnd, c.endCalls).Stop()
	_ = c.sessions.Close()
	c.open.closeAll()
	err := c.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, c.server.Close())
	}
	c.background.Wait()
	c.open.wait()
	return errors.Join(err, c.replica.Stop())
}

// Ready returns why the controller cannot serve now, or nil.
func (c *Controller) Ready() error {
	if contact := c.leaderContact(); contact > wireStopRelying {
		return fmt.Errorf("no contact with a leader for %s", contact.Round(time.Millisecond))
	}
	return nil
}
