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
	"github.com/quartzdock/quartzdock/internal/transport"
)

// Controller is one running controller.
type Controller struct {
	config   Config
	metrics  *controllerMetrics
	member   *replica.Replica
	listener *transport.Listener
	// running ends when the controller is stopped; stop ends it.
	running context.Context
	stop    context.CancelFunc
	ended   sync.WaitGroup

	// view is what senders read.
	view atomic.Pointer[view]

	sessionsMutex sync.Mutex
	sessions      map[*session]struct{}
	// connections are all that were accepted, also those without a session.
	connections map[*transport.Conn]struct{}
	stopped     bool

	control control
	// admitting holds a value while a change of membership is made, one at a
	// time.
	admitting chan struct{}
}

// control is owned by the replica's control goroutine.
type control struct {
	state *fleetstate.State
	// newest is the number of the last session of each gateway.
	newest     map[string]uint64
	leadership leadership.Leadership
	// planner is nil unless this controller leads, and so is inForce.
	planner   *keylease.Planner
	inForce   *configlease.Grantor
	awaited   []awaitedVersion
	healAt    time.Duration
	published published
	// publishAt is when changes may travel again, and instanceSets numbers the sets
	// of instances that did.
	publishAt    time.Duration
	instanceSets uint64
	undecided    undecided
	quarantine   quarantineDesk
}

// Start opens the data folder, joins or founds the group, and serves.
func Start(config Config) (*Controller, error) {
	c := &Controller{
		config:      config.withDefaults(),
		sessions:    map[*session]struct{}{},
		connections: map[*transport.Conn]struct{}{},
		admitting:   make(chan struct{}, 1),
	}
	if err := c.config.Configuration.Check(); err != nil {
		return nil, fmt.Errorf("controller: configuration: %w", err)
	}
	if err := c.config.Quarantine.Check(); err != nil {
		return nil, fmt.Errorf("controller: quarantine: %w", err)
	}
	c.metrics = newControllerMetrics(c.config.Registry)
	c.control.state, c.control.newest = fleetstate.New(), map[string]uint64{}
	c.view.Store(&view{})
	founders, err := loadFounders(&c.config)
	if err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	if c.listener, err = transport.Listen(c.config.SessionListen, sessionOptions); err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	c.running, c.stop = context.WithCancel(context.Background())
	ready := make(chan struct{})
	c.member, err = replica.Start(replica.Config{
		Group:             c.config.Group,
		ID:                founders.Self,
		Peers:             founders.Peers,
		DataDir:           c.config.DataDir,
		Listen:            c.config.PeerListen,
		Machine:           machine{c},
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
	go c.seekAdmission(c.running)
	return c, nil
}

// Bounds of the steps of Stop. Their sum, with replica.StopLimit, is 3.3 s of
// the 6 s that the users' platform gives a process to end.
const (
	// handOverLimit bounds the transfer of leadership.
	handOverLimit = time.Second
	// redirectLimit is how long gateways may take to read where they go on; it is
	// several round trips between regions.
	redirectLimit = 300 * time.Millisecond
	// endLimit is how long the goroutines may take to end once their connections
	// are closed and their contexts over. Only a disk that hangs takes longer.
	endLimit = 500 * time.Millisecond
)

// StopLimit bounds Stop.
const StopLimit = handOverLimit + redirectLimit + endLimit + replica.StopLimit

// Stop hands leadership over, if it is held here, and ends the process's part
// in the group. It returns within StopLimit, whatever peers, gateways and the
// disk do.
func (c *Controller) Stop() error {
	c.handOver()
	c.stop()
	err := c.listener.Close()
	c.closeSessions(true)
	c.awaitEnd()
	return errors.Join(err, c.member.Stop())
}

// awaitEnd lets the sessions send their last word and then closes what is open.
func (c *Controller) awaitEnd() {
	ended := make(chan struct{})
	go func() {
		c.ended.Wait()
		close(ended)
	}()
	if within(ended, redirectLimit) {
		return
	}
	c.config.Log.Info("sessions cut off by the stop", "connections", c.closeConnections())
	if !within(ended, endLimit) {
		c.config.Log.Warn("goroutines still run at the end of the stop")
	}
}

// within reports whether a channel is closed within a time.
func within(ended <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

func (c *Controller) handOver() {
	status := c.member.Status()
	if status.Role != consensus.Leader {
		return
	}
	target := status.Successor()
	if target == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverLimit)
	defer cancel()
	if err := c.member.TransferLeadership(ctx, target); err != nil {
		c.config.Log.Warn("leadership not handed over", "to", uint64(target), "error", err)
	}
}

// Change replicates a change of the configuration and returns once nobody will be
// served by an older one after Config.Configuration.ApplyWithin. ErrNotLeader says that
// nothing was done; any other error leaves the outcome unknown.
func (c *Controller) Change(ctx context.Context, change *fleetstate.ChangeConfiguration) (fleetstate.Result, error) {
	result, err := c.propose(ctx, change)
	if err == nil && result.InState() {
		err = c.awaitInForce(ctx, result.Current)
	}
	c.metrics.change(result, err)
	c.logChange(change, result, err)
	return result, err
}

// logChange tells what became of an operator's change.
func (c *Controller) logChange(change *fleetstate.ChangeConfiguration, result fleetstate.Result, err error) {
	fields := []any{"base", uint64(change.Base), "digest", hex.EncodeToString(change.Digest[:4])}
	switch {
	case err != nil && isNotLeader(err):
		return // told by the redirect
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
	result, err := c.member.Propose(ctx, data)
	if err != nil {
		return fleetstate.Result{}, classify(err)
	}
	return result.(fleetstate.Result), nil
}

// check asks the leader's newest state what would become of a change.
func (c *Controller) check(ctx context.Context, change *fleetstate.ChangeConfiguration) (fleetstate.Result, error) {
	if err := c.member.ReadBarrier(ctx); err != nil {
		return fleetstate.Result{}, classify(err)
	}
	checked := make(chan fleetstate.Result, 1)
	c.member.Post(func() { checked <- c.control.state.Check(change) })
	select {
	case result := <-checked:
		return result, nil
	case <-ctx.Done():
		return fleetstate.Result{}, ctx.Err()
	}
}

// Read returns the newest configuration, nil where there is none yet.
func (c *Controller) Read(ctx context.Context) (*routeconfig.Document, error) {
	if err := c.member.ReadBarrier(ctx); err != nil {
		return nil, classify(err)
	}
	read := make(chan *routeconfig.Document, 1)
	c.member.Post(func() { read <- c.control.state.Document() })
	select {
	case document := <-read:
		return document, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func isNotLeader(err error) bool { return errors.Is(err, ErrNotLeader) }

func classify(err error) error {
	var elsewhere *replica.NotLeaderError
	if errors.As(err, &elsewhere) || errors.Is(err, replica.ErrNotMember) {
		return errors.Join(ErrNotLeader, err)
	}
	return err
}

// Leader returns the session address of the leader, empty where none is known
// or this controller leads.
func (c *Controller) Leader() string {
	status := c.member.Status()
	if status.Leader == 0 || status.Leader == status.ID {
		return ""
	}
	leader, ok := status.Membership.Find(status.Leader)
	if !ok {
		return ""
	}
	return c.config.sessionAddress(leader.Address)
}

// Ready reports whether this controller has a part in the group and knows a
// leader.
func (c *Controller) Ready() bool { return c.member.Status().Leader != 0 }
