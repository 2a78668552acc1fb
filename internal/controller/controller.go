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
	// stopTimeout limits how long Stop waits for operators' calls in progress.
	stopTimeout = 2 * time.Second
	// shutdownPollInterval is the longest interval at which http.Server.Shutdown
	// checks for idle connections (net/http, shutdownPollIntervalMax, plus its
	// jitter of 10%).
	shutdownPollInterval = 550 * time.Millisecond
	// callsTimeout is how long calls may continue after Stop has begun. It leaves
	// time to write their responses and for Shutdown to notice that they have
	// ended.
	callsTimeout = stopTimeout - shutdownPollInterval - plannedstop.ResponseMargin
)

var errStopping = errors.New("the controller is stopping")

// Controller is a running controller.
type Controller struct {
	config  Config
	started time.Time
	log     *slog.Logger
	replica Replicator
	metrics *controllerMetrics

	sessionListener *transport.Listener
	rpcListener     net.Listener
	rpcServer       *http.Server
	// callsContext is the base context of operators' calls; cancelCalls cancels
	// it.
	callsContext context.Context
	cancelCalls  context.CancelFunc

	// view is the published view of deltaLog.
	view           atomic.Pointer[distribution.View]
	snapshots      snapshotCache
	frames         routingFrames
	openSessions   sessionSet
	handshakeSlots chan struct{}
	subscribers    subscribers
	freshness      freshness
	relay          *relay
	viewChanged    broadcast
	stopping       chan struct{}
	background     sync.WaitGroup

	// The fields below are accessed only on the control goroutine.
	state       *controlstate.State
	deltaLog    *distribution.Log
	coordinator *coordinator.Coordinator
	leadership  leadership.Leadership
	findings    *findings
	// claimsCounted is the part of the coordinator's count of discounted claims
	// that the metric already includes.
	claimsCounted uint64
	agents        agentSessionsByAddress
	// redirectDeadline is when the agents that are left from an ended leadership
	// are redirected even if the new leader is unknown; zero if there are none.
	redirectDeadline time.Duration
}

// Run runs a controller until the context is cancelled.
func Run(ctx context.Context, config Config) error {
	c, err := Start(config)
	if err != nil {
		return err
	}
	<-ctx.Done()
	return c.Stop()
}

// Start starts a controller. Stop stops it.
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
	c.attachReplica(replica)
	c.serve()
	return c, nil
}

func newController(config Config) *Controller {
	c := &Controller{
		started:        steady.Reading(),
		config:         config,
		log:            config.Log,
		state:          controlstate.New(config.Group),
		deltaLog:       distribution.NewLog(0),
		agents:         make(agentSessionsByAddress),
		stopping:       make(chan struct{}),
		handshakeSlots: make(chan struct{}, maxConcurrentHandshakes),
	}
	c.coordinator = coordinator.New(config.Coordinator, c.state)
	c.subscribers.init(c.now())
	c.view.Store(c.deltaLog.View())
	c.metrics = newMetrics(config.Registerer, c)
	c.findings = newFindings(c.log, c.metrics.findings)
	return c
}

// now returns the time since the controller started, on a monotonic clock.
func (c *Controller) now() time.Duration { return steady.Elapsed(c.started) }

func (c *Controller) listen() error {
	sessions, err := transport.Listen(c.config.SessionListen, transport.Options{TLS: c.config.LinkTLS})
	if err != nil {
		return fmt.Errorf("session listener: %w", err)
	}
	c.sessionListener = sessions
	c.rpcListener, err = net.Listen("tcp", c.config.RPCListen)
	if err != nil {
		_ = sessions.Close()
		return fmt.Errorf("RPC listener: %w", err)
	}
	return nil
}

func (c *Controller) closeListeners() {
	_ = c.sessionListener.Close()
	_ = c.rpcListener.Close()
}

// attachReplica sets the replica on the control goroutine, which may already be
// calling the state machine.
func (c *Controller) attachReplica(replica Replicator) {
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
	c.callsContext, c.cancelCalls = context.WithCancel(context.Background())
	c.rpcServer = c.newRPCServer()
	c.rpcServer.RegisterOnShutdown(func() {
		cancel()
		close(c.stopping)
	})
	c.background.Go(c.acceptSessions)
	c.background.Go(c.serveRPC)
	c.background.Go(func() { c.confirmFreshness(ctx) })
	c.background.Go(func() { c.relay.run(ctx) })
	c.background.Go(func() { c.pollMachineList(ctx) })
	addresses := c.Addresses()
	c.log.Info("controller serves", "sessions", addresses.Sessions, "rpc", addresses.RPC,
		"peers", c.replica.PeerAddress(), "incarnation", strconv.FormatUint(uint64(c.replica.Incarnation()), 16))
	if c.config.OnReady != nil {
		c.config.OnReady(addresses)
	}
}

// Addresses returns the bound addresses.
func (c *Controller) Addresses() Addresses {
	return Addresses{Sessions: c.sessionListener.Address(), RPC: c.rpcListener.Addr().String()}
}

// sessionAddress returns the session address that subscribers are given.
func (c *Controller) sessionAddress() string {
	if c.config.SessionAdvertise != "" {
		return c.config.SessionAdvertise
	}
	return c.sessionListener.Address()
}

// Stop transfers leadership if this controller leads, and ends sessions, calls
// and the replicated log. Calls that would exceed stopTimeout are cancelled
// shortly before it, so that each still gets a response.
func (c *Controller) Stop() error {
	c.transferLeadership()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	defer c.cancelCalls()
	defer time.AfterFunc(callsTimeout, c.cancelCalls).Stop()
	_ = c.sessionListener.Close()
	c.openSessions.closeAll()
	err := c.rpcServer.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, c.rpcServer.Close())
	}
	c.background.Wait()
	c.openSessions.wait()
	return errors.Join(err, c.replica.Stop())
}

// Ready returns why the controller cannot serve now, or nil.
func (c *Controller) Ready() error {
	if contact := c.leaderContact(); contact > maxLeaderContact {
		return fmt.Errorf("no contact with a leader for %s", contact.Round(time.Millisecond))
	}
	return nil
}
