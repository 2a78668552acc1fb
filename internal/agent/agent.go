package agent

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"math"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/admission/gate"
	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/httpserver"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/plannedstop"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/subscription"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// controlConnections of a back end's limit are kept for grants, warming
	// and probes.
	controlConnections = 3
	// assumedSlots and assumedConnections hold until the routing table says.
	assumedSlots       = 1
	assumedConnections = 4
	recordFolder       = "requests"
	// cancelLinger is for how long a request that was given up keeps its slot
	// while the back end has not confirmed its end.
	cancelLinger = time.Second
	eventBacklog = 64
)

// controllerLink is the part of subscription.Client that the agent uses.
type controllerLink interface {
	Send(message wire.ToController) error
	RenewNow()
	Stop()
}

// Agent is a running agent.
type Agent struct {
	config       Config
	start        time.Time
	holder       *ownership.Holder
	lease        *lease
	record       *requestrecord.Record
	requests     *upstream.Pool
	controlPool  *upstream.Pool
	backend      *backendapi.Client
	gate         *gate.Gate
	fitness      *fitness
	counts       counts
	listener     net.Listener
	server       *httpserver.Server
	subscription controllerLink

	view   atomic.Pointer[view]
	events chan func(*controlLoop)
	// stopped is closed when the control goroutine has ended.
	stopped    chan struct{}
	background sync.WaitGroup

	// loadDue is when load is reported next; it belongs to the subscription's
	// sending goroutine.
	loadDue time.Duration

	// Written by the control goroutine or the prober, read when reporting.
	wantLease           atomic.Bool
	grantsPossibleUntil atomic.Int64
	leaving             atomic.Bool
	unanswered          unanswered
	// admission says what a planned stop still takes.
	admission plannedstop.Admission
	// closedToNew: the back end has been leaving for LeavingGrace.
	closedToNew atomic.Bool
	// stopping: requests are refused and connections closed with their answers.
	stopping atomic.Bool
	// moving counts owned shards that are on their way to another owner, and
	// waitsForRestart says that none will be.
	moving          atomic.Int32
	waitsForRestart atomic.Bool
	releasing       atomic.Bool
	releaseReports  atomic.Uint32
	backendState    atomic.Uint32
	healthy         atomic.Bool
	claimed         atomic.Uint32
	self            atomic.Uint32
	service         atomic.Uint32
	// following is the revision of the table that the control goroutine has
	// followed.
	following atomic.Uint64
	// table is the newest one put in force.
	table atomic.Pointer[routing.Table]
}

// New opens the record and the listener. Run serves.
func New(config Config) (*Agent, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	agent := &Agent{
		config:  config.withDefaults(),
		start:   steady.Reading(),
		events:  make(chan func(*controlLoop), eventBacklog),
		stopped: make(chan struct{}),
	}
	agent.view.Store(newView(nil, nil))
	// Unknown until the back end has replaced the grants of the process before.
	agent.grantsPossibleUntil.Store(math.MaxInt64)
	agent.holder = ownership.NewHolder(agent.config.ClockDrift)
	agent.lease = &lease{holder: agent.holder, withheld: true, extended: agent.leaseExtended}
	agent.fitness = newFitness(agent.config.Fitness)
	if err := agent.open(); err != nil {
		return nil, errors.Join(err, agent.release())
	}
	return agent, nil
}

// open takes what must be given back by release.
func (agent *Agent) open() (err error) {
	recordConfig := agent.config.Record
	recordConfig.Directory = filepath.Join(agent.config.DataFolder, recordFolder)
	if agent.record, err = requestrecord.Open(recordConfig); err != nil {
		return err
	}
	if agent.gate, err = gate.New(admission.Config{Slots: assumedSlots}, agent.now); err != nil {
		return err
	}
	if err := agent.openPools(); err != nil {
		return err
	}
	if agent.listener, err = net.Listen("tcp", agent.config.Listen); err != nil {
		return fmt.Errorf("agent: %w", err)
	}
	agent.server = httpserver.New(agent.newServer(), agent.listener.(*net.TCPListener), 0)
	return agent.register()
}

func (agent *Agent) openPools() (err error) {
	agent.requests, err = upstream.New(upstream.Config{
		Address:        agent.config.BackendAddress,
		MaxConnections: assumedConnections,
		MinWarm:        agent.config.WarmConnections,
		DialTimeout:    agent.config.DialTimeout,
		Linger:         cancelLinger,
	})
	if err != nil {
		return err
	}
	agent.controlPool, err = upstream.New(upstream.Config{
		Address:        agent.config.BackendAddress,
		MaxConnections: controlConnections,
		MinWarm:        1,
		DialTimeout:    agent.config.DialTimeout,
	})
	if err != nil {
		return err
	}
	agent.backend = backendapi.New(agent.controlPool, agent.config.BackendAddress)
	return nil
}

// release gives back what open took, as far as it came.
func (agent *Agent) release() error {
	var failures []error
	if agent.listener != nil {
		if err := agent.listener.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			failures = append(failures, err)
		}
	}
	for _, pool := range []*upstream.Pool{agent.requests, agent.controlPool} {
		if pool != nil {
			pool.Close()
		}
	}
	if agent.record != nil {
		failures = append(failures, agent.record.Close())
	}
	return errors.Join(failures...)
}

// advertised is the address by which controllers know the back end.
func (agent *Agent) advertised() string {
	if agent.config.Advertise != "" {
		return agent.config.Advertise
	}
	return agent.Address()
}

// Address is the "IP:port" where requests are taken.
func (agent *Agent) Address() string { return agent.listener.Addr().String() }

// Ready returns why the agent can't serve now, or nil.
func (agent *Agent) Ready() error {
	if !agent.holder.Valid(agent.now()) {
		return ownership.ErrNoLease
	}
	return nil
}

// now is the process's monotonic clock.
func (agent *Agent) now() time.Duration { return steady.Elapsed(agent.start) }

// post gives the control goroutine an event; after it ended events are lost.
func (agent *Agent) post(event func(*controlLoop)) {
	select {
	case agent.events <- event:
	case <-agent.stopped:
	}
}

func (agent *Agent) leaseExtended() {
	agent.post(func(control *controlLoop) { control.syncGrants() })
}

// Run serves until the context ends, and then stops as planned: see stop.
func (agent *Agent) Run(ctx context.Context) error {
	link, err := subscription.Start(agent.subscriptionConfig())
	if err != nil {
		return errors.Join(err, agent.release())
	}
	return agent.runWith(ctx, link)
}

// runWith is Run with an open link to the controllers.
func (agent *Agent) runWith(ctx context.Context, link controllerLink) error {
	agent.subscription = link
	loops, endLoops := context.WithCancel(context.Background())
	defer endLoops()
	go func() {
		defer close(agent.stopped)
		newControl(agent).run(loops)
	}()
	agent.background.Go(func() { agent.probe(loops) })

	served := make(chan error, 1)
	go func() { served <- agent.server.Serve() }()
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
		err = agent.stop()
	}
	endLoops()
	<-agent.stopped
	agent.background.Wait()
	return errors.Join(err, agent.release())
}

func (agent *Agent) subscriptionConfig() subscription.Config {
	return subscription.Config{
		Group:       agent.config.Group,
		Role:        topology.RoleAgent,
		Name:        agent.config.Name,
		Location:    agent.config.Location,
		Address:     agent.advertised(),
		Controllers: agent.config.Controllers,
		Transport:   agent.config.Transport,
		Lease:       agent.lease,
		Report:      agent.report,
		OnTable:     agent.onTable,
		OnWelcome:   agent.onWelcome,
		Now:         agent.now,
		Log:         agent.config.Log,
	}
}

// onWelcome learns the agent's identity.
func (agent *Agent) onWelcome(welcome wire.Welcome) {
	agent.service.Store(uint32(welcome.Service))
	if agent.self.Swap(uint32(welcome.Backend)) != uint32(welcome.Backend) {
		if table := agent.table.Load(); table != nil {
			agent.onTable(table)
		}
	}
}

// onTable puts a routing table in force before it is confirmed: from here on
// the holder refuses what the table takes away.
func (agent *Agent) onTable(table *routing.Table) {
	self := topology.BackendID(agent.self.Load())
	agent.table.Store(table)
	mine := newShare(table, self)
	agent.holder.SetShards(maps.Values(mine.owned), self)
	agent.post(func(control *controlLoop) { control.tableChanged(mine) })
}

// send tells the controller; what is lost with a session is repeated by the
// caller.
func (agent *Agent) send(message wire.ToController) {
	_ = agent.subscription.Send(message)
}

// dialAgent connects to another agent.
func (agent *Agent) dialAgent(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	if agent.config.ClientTLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	secure := tls.Dialer{NetDialer: &dialer, Config: agent.config.ClientTLS}
	return secure.DialContext(ctx, "tcp", address)
}

// applyLimits takes over how much the back end may be asked to do.
func (control *controlLoop) applyLimits(backend *topology.Backend) {
	if slots := int(backend.Slots); slots > 0 {
		control.gate.SetSlots(slots)
	}
	if connections := int(backend.Connections) - controlConnections; connections > 0 {
		control.requests.SetMaxConnections(connections)
	}
}
