package fleetcontroller

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/keylease"
	"github.com/quartzdock/quartzdock/internal/leadership"
	"github.com/quartzdock/quartzdock/internal/replica"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/seats"
	"github.com/quartzdock/quartzdock/internal/transport"
)

// Controller is a running controller.
type Controller struct {
	config   Config
	metrics  *controllerMetrics
	replica  *replica.Replica
	listener *transport.Listener
	// runContext is canceled by stop when the controller is stopped.
	runContext context.Context
	stop       context.CancelFunc
	// ended waits for the goroutines of the controller to end.
	ended sync.WaitGroup

	// view is the published view, which the sessions' senders read.
	view atomic.Pointer[view]

	sessionsMutex sync.Mutex
	sessions      map[*session]struct{}
	// connections holds all open accepted connections, including those without a session.
	connections map[*transport.Conn]struct{}
	stopped     bool

	control controlState
	// membershipLock serializes changes of the group's membership; it holds a value during a
	// change.
	membershipLock chan struct{}
}

// controlState is the part of a controller that the replica's control goroutine owns.
type controlState struct {
	state *fleetstate.State
	// newestSessions holds the number of the last session of each gateway.
	newestSessions map[string]uint64
	leadership     leadership.Leadership
	// planner, inForce and quotas are nil unless this controller leads.
	planner *keylease.Planner
	inForce *configlease.Grantor
	quotas  *quotaState
	// silence counts how long each member has not been heard while this controller leads.
	silence seats.Silence
	// recordingSilence is set while a record of it is being committed.
	recordingSilence bool
	pendingAcks      []pendingAck
	nextMemberCheck  time.Duration
	published        publishedState
	// nextPublish is the earliest time of the next view that isn't urgent. instanceSetNumber
	// is the number of the last published set of instances.
	nextPublish       time.Duration
	instanceSetNumber uint64
	unappliedCheck    unappliedCheck
	quarantine        quarantineState
	departures        departureState
}

// Start opens the data folder, founds or joins the group, and starts to serve sessions.
func Start(config Config) (*Controller, error) {
	c := &Controller{
		config:         config.withDefaults(),
		sessions:       map[*session]struct{}{},
		connections:    map[*transport.Conn]struct{}{},
		membershipLock: make(chan struct{}, 1),
	}
	if err := c.config.Configuration.Check(); err != nil {
		return nil, fmt.Errorf("controller: configuration: %w", err)
	}
	if err := c.config.Quarantine.Check(); err != nil {
		return nil, fmt.Errorf("controller: quarantine: %w", err)
	}
	if err := c.config.Quota.Check(); err != nil {
		return nil, fmt.Errorf("controller: quota: %w", err)
	}
	c.metrics = newControllerMetrics(c.config.Registry)
	c.control.state, c.control.newestSessions = fleetstate.New(), map[string]uint64{}
	c.view.Store(&view{})
	founders, err := loadFounders(&c.config)
	if err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	if c.listener, err = transport.Listen(c.config.SessionListen, sessionOptions); err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	c.runContext, c.stop = context.WithCancel(context.Background())
	ready := make(chan struct{})
	c.replica, err = replica.Start(replica.Config{
		Group:             c.config.Group,
		ID:                founders.Self,
		Peers:             founders.Peers,
		DataDir:           c.config.DataDir,
		Listen:            c.config.PeerListen,
		Machine:           stateMachine{c},
		OnTick:            func(now time.Duration, status consensus.Status) { <-ready; c.tick(now, status) },
		Logger:            c.config.Log,
		TickInterval:      c.config.TickInterval,
		HeartbeatInterval: c.config.HeartbeatInterval,
		ElectionTimeout:   c.config.ElectionTimeout,
		TrustSynced:       true,
	})
	if err != nil {
		c.stop()
		return nil, errors.Join(err, c.listener.Close())
	}
	close(ready)
	c.config.Registry.MustRegister(c.gauges()...)
	c.ended.Add(2)
	go c.accept()
	go c.joinLoop(c.runContext)
	return c, nil
}

// Time limits of the steps of Stop. Together with replica.StopLimit they add up to 3.3 s, of
// the 6 s that the users' platform gives a process to shut down.
const (
	// transferTimeout limits the transfer of leadership.
	transferTimeout = time.Second
	// redirectTimeout is how long gateways may take to read the redirect to another controller;
	// it covers several round trips between regions.
	redirectTimeout = 300 * time.Millisecond
	// goroutineTimeout is how long goroutines may take to end once their connections are closed
	// and their contexts are canceled. Only a hanging disk takes longer.
	goroutineTimeout = 500 * time.Millisecond
)

// StopLimit is the longest time that Stop takes.
const StopLimit = transferTimeout + redirectTimeout + goroutineTimeout + replica.StopLimit

// Stop transfers leadership to another controller, if this one leads, ends the sessions and
// stops the replica. It returns within StopLimit, whatever peers, gateways and the disk do.
func (c *Controller) Stop() error {
	c.transferLeadership()
	c.stop()
	err := c.listener.Close()
	c.closeSessions(true)
	c.waitForGoroutines()
	return errors.Join(err, c.replica.Stop())
}

// waitForGoroutines lets the sessions send their redirects, and closes the connections
// that are still open after redirectTimeout.
func (c *Controller) waitForGoroutines() {
	finished := make(chan struct{})
	go func() {
		c.ended.Wait()
		close(finished)
	}()
	if closedWithin(finished, redirectTimeout) {
		return
	}
	c.config.Log.Info("connections closed because the sessions did not end in time", "connections", c.closeConnections())
	if !closedWithin(finished, goroutineTimeout) {
		c.config.Log.Warn("goroutines still running after the stop")
	}
}

// closedWithin reports whether the channel is closed within the limit.
func closedWithin(channel <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-channel:
		return true
	case <-timer.C:
		return false
	}
}

func (c *Controller) transferLeadership() {
	status := c.replica.Status()
	if status.Role != consensus.Leader {
		return
	}
	target := status.TransferTarget()
	if target == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
	defer cancel()
	if err := c.replica.TransferLeadership(ctx, target); err != nil {
		c.config.Log.Warn("leadership transfer failed", "to", uint64(target), "error", err)
	}
}

// Change replicates a change of the configuration. It returns once it is certain that
// after Config.Configuration.ApplyWithin no gateway serves requests by an older one.
// ErrNotLeader means that nothing was done; after any other error the outcome is unknown.
func (c *Controller) Change(ctx context.Context, change *fleetstate.ChangeConfiguration) (fleetstate.Result, error) {
	result, err := c.propose(ctx, change)
	if err == nil && result.Applied() {
		err = c.awaitInForce(ctx, result.Current)
	}
	c.metrics.countChange(result, err)
	c.logChange(change, result, err)
	return result, err
}

// logChange logs the outcome of an operator's change.
func (c *Controller) logChange(change *fleetstate.ChangeConfiguration, result fleetstate.Result, err error) {
	fields := []any{"base", uint64(change.Base), "digest", hex.EncodeToString(change.Digest[:4])}
	switch {
	case err != nil && isNotLeader(err):
		return // nothing was done; the caller repeats it at the leader
	case err != nil:
		fields = append(fields, "outcome", outcomeUnknown, "error", err)
	default:
		fields = append(fields, "outcome", result.Outcome.String())
		if len(result.Findings) > 0 {
			fields = append(fields, "findings", result.Findings.Error())
		}
	}
	c.config.Log.Info("configuration change", fields...)
}

func (c *Controller) propose(ctx context.Context, change *fleetstate.ChangeConfiguration) (fleetstate.Result, error) {
	checked, err := c.check(ctx, change)
	if err != nil || checked.Outcome != fleetstate.Accepted {
		return checked, err
	}
	command := fleetstate.Command{Configuration: change}
	data, err := command.Encode()
	if err != nil {
		return fleetstate.Result{}, err
	}
	result, err := c.replica.Propose(ctx, data)
	if err != nil {
		return fleetstate.Result{}, wrapNotLeader(err)
	}
	return result.(fleetstate.Result), nil
}

// check returns the result that a change would have on the leader's current state.
func (c *Controller) check(ctx context.Context, change *fleetstate.ChangeConfiguration) (fleetstate.Result, error) {
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return fleetstate.Result{}, wrapNotLeader(err)
	}
	checked := make(chan fleetstate.Result, 1)
	c.replica.Post(func() { checked <- c.control.state.Check(change) })
	select {
	case result := <-checked:
		return result, nil
	case <-ctx.Done():
		return fleetstate.Result{}, ctx.Err()
	}
}

// Read returns the newest configuration; nil if there is none yet.
func (c *Controller) Read(ctx context.Context) (*routeconfig.Document, error) {
	if err := c.replica.ReadBarrier(ctx); err != nil {
		return nil, wrapNotLeader(err)
	}
	read := make(chan *routeconfig.Document, 1)
	c.replica.Post(func() { read <- c.control.state.Document() })
	select {
	case document := <-read:
		return document, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func isNotLeader(err error) bool { return errors.Is(err, ErrNotLeader) }

func wrapNotLeader(err error) error {
	var elsewhere *replica.NotLeaderError
	if errors.As(err, &elsewhere) || errors.Is(err, replica.ErrNotMember) {
		return errors.Join(ErrNotLeader, err)
	}
	return err
}

// Leader returns the session address of the leader; empty if none is known
// or this controller leads.
func (c *Controller) Leader() string {
	status := c.replica.Status()
	if status.Leader == 0 || status.Leader == status.ID {
		return ""
	}
	leader, ok := status.Membership.Find(status.Leader)
	if !ok {
		return ""
	}
	return c.config.sessionAddress(leader.Address)
}

// Ready reports whether this controller knows a leader of the group, which may be itself.
func (c *Controller) Ready() bool { return c.replica.Status().Leader != 0 }
