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
	"github.com/quartzdock/quartzdock/internal/sentids"
	"github.com/quartzdock/quartzdock/internal/steady"
	"github.com/quartzdock/quartzdock/internal/subscription"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/upstream"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	// controlConnections of the back end's connection limit are reserved for
	// grants, warming and probes.
	controlConnections = 3
	// initialSlots and initialConnections apply until the first routing table
	// arrives.
	initialSlots       = 1
	initialConnections = 4
	recordFolder       = "requests"
	// cancelLinger is how long a cancelled request keeps its slot while the
	// back end has not confirmed that it ended.
	cancelLinger     = time.Second
	eventQueueLength = 64
)

// controllerLink is the part of subscription.Client that the agent uses.
type controllerLink interface {
	Send(message wire.ToController) error
	RenewNow()
	Stop()
}

// Agent holds the lease of one back end, grants it shards and forwards requests
// to it.
type Agent struct {
	config   Config
	start    time.Time
	holder   *ownership.Holder
	lease    *lease
	record   *requestrecord.Record
	requests *upstream.Pool
	// sendings numbers what is sent to the back end. refusedIDs has the requests that must not run
	// twice and that it has refused: they may be sent again.
	sendings     atomic.Uint64
	refusedIDs   *sentids.Set
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

	// nextLoadReport is when load is reported next. Only the subscription's
	// sending goroutine uses it.
	nextLoadReport time.Duration

	// The fields below are written by the control goroutine, the prober or the
	// goroutine that stops the agent, and read by others.
	wantLease           atomic.Bool
	grantsPossibleUntil atomic.Int64
	leaving             atomic.Bool
	unanswered          unansweredRequests
	// admission decides by their deadlines which requests are still admitted
	// during a planned stop.
	admission plannedstop.Admission
	// closedToNew is set once the back end has been leaving for LeavingGrace.
	closedToNew atomic.Bool
	// stopping makes the agent refuse requests and close each connection after
	// its answer.
	stopping atomic.Bool
	// movingShards counts owned shards that are being moved to another owner.
	// waitsForRestart is set when the placement policy keeps the shards in
	// place for a restart, so none will move.
	movingShards    atomic.Int32
	waitsForRestart atomic.Bool
	releasingLease  atomic.Bool
	releaseReports  atomic.Uint32
	backendState    atomic.Uint32
	healthy         atomic.Bool
	reportedBusy    atomic.Uint32
	self            atomic.Uint32
	service         atomic.Uint32
	// appliedRevision is the revision of the last routing table that the
	// control goroutine has applied.
	appliedRevision atomic.Uint64
	// table is the newest routing table. It may be newer than appliedRevision.
	table atomic.Pointer[routing.Table]
}

// New opens the request record and the listener. Run starts serving.
func New(config Config) (*Agent, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	agent := &Agent{
		config:  config.withDefaults(),
		start:   steady.Reading(),
		events:  make(chan func(*controlLoop), eventQueueLength),
		stopped: make(chan struct{}),

		refusedIDs: sentids.New(),
	}
	agent.view.Store(newView(nil, nil))
	// Unknown until the back end has replaced the grants of an earlier process.
	agent.grantsPossibleUntil.Store(math.MaxInt64)
	agent.holder = ownership.NewHolder(agent.config.ClockDrift)
	agent.lease = &lease{holder: agent.holder, suspended: true, onExtended: agent.leaseExtended}
	agent.fitness = newFitness(agent.config.Fitness)
	if err := agent.openResources(); err != nil {
		return nil, errors.Join(err, agent.closeResources())
	}
	return agent, nil
}

// openResources opens what closeResources closes.
func (agent *Agent) openResources() (err error) {
	recordConfig := agent.config.Record
	recordConfig.Directory = filepath.Join(agent.config.DataFolder, recordFolder)
	if agent.record, err = requestrecord.Open(recordConfig); err != nil {
		return err
	}
	if agent.gate, err = gate.New(admission.Config{Slots: initialSlots}, agent.now); err != nil {
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
		MaxConnections: initialConnections,
		MinWarm:        agent.config.WarmConnections,
		DialTimeout:    agent.config.DialTimeout,
		Linger:         cancelLinger,
		IsSurplus:      agent.isSurplusAnswer,
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

// closeResources closes what openResources has opened, which may be a part.
func (agent *Agent) closeResources() error {
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

// advertised returns the address by which controllers know the back end.
func (agent *Agent) advertised() string {
	if agent.config.Advertise != "" {
		return agent.config.Advertise
	}
	return agent.Address()
}

// Address returns the "IP:port" on which requests are accepted.
func (agent *Agent) Address() string { return agent.listener.Addr().String() }

// Ready returns why the agent can't serve now, or nil.
func (agent *Agent) Ready() error {
	if !agent.holder.Valid(agent.now()) {
		return ownership.ErrNoLease
	}
	return nil
}

// now returns the reading of the process's monotonic clock.
func (agent *Agent) now() time.Duration { return steady.Elapsed(agent.start) }

// post queues an event for the control goroutine. Events are dropped once that
// goroutine has ended.
func (agent *Agent) post(event func(*controlLoop)) {
	select {
	case agent.events <- event:
	case <-agent.stopped:
	}
}

func (agent *Agent) leaseExtended() {
	agent.post(func(control *controlLoop) { control.syncGrants() })
}

// Run serves until the context ends, then performs a planned stop; see stop.
func (agent *Agent) Run(ctx context.Context) error {
	link, err := subscription.Start(agent.subscriptionConfig())
	if err != nil {
		return errors.Join(err, agent.closeResources())
	}
	return agent.runWith(ctx, link)
}

// runWith is Run with a subscription that is already open.
func (agent *Agent) runWith(ctx context.Context, link controllerLink) error {
	agent.subscription = link
	loops, endLoops := context.WithCancel(context.Background())
	defer endLoops()
	go func() {
		defer close(agent.stopped)
		newControlLoop(agent).run(loops)
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
	return errors.Join(err, agent.closeResources())
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

// onWelcome stores the identity that the controller gives the agent. If it
// changed, the current routing table is applied again.
func (agent *Agent) onWelcome(welcome wire.Welcome) {
	agent.service.Store(uint32(welcome.Service))
	if agent.self.Swap(uint32(welcome.Backend)) != uint32(welcome.Backend) {
		if table := agent.table.Load(); table != nil {
			agent.onTable(table)
		}
	}
}

// onTable makes a routing table effective before it is confirmed to the
// controller: from here on the holder refuses requests for shards that the
// table takes away.
func (agent *Agent) onTable(table *routing.Table) {
	self := topology.BackendID(agent.self.Load())
	agent.table.Store(table)
	assigned := newAssignment(table, self)
	agent.holder.SetShards(maps.Values(assigned.owned), self)
	agent.post(func(control *controlLoop) { control.applyTable(assigned) })
}

// send sends a message to the controller. A message may be lost with its
// session; callers send again.
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

// applyLimits sets the slots and connections that the routing table allows for
// the back end.
func (control *controlLoop) applyLimits(backend *topology.Backend) {
	if slots := int(backend.Slots); slots > 0 {
		control.gate.SetSlots(slots)
	}
	if connections := int(backend.Connections) - controlConnections; connections > 0 {
		control.requests.SetMaxConnections(connections)
	}
}
