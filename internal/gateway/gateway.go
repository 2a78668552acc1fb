package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/bodybudget"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/httpserver"
	"github.com/quartzdock/quartzdock/internal/plannedstop"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// Gateway is one running gateway.
type Gateway struct {
	config   Config
	views    *viewStore
	registry *registry
	keys     *grantManager
	keyLoad  *keyLoad
	slots    *slotLimiter
	// statements has what back ends stated about themselves in responses that this gateway
	// passed on to callers.
	statements *statements
	// firstAttempts estimates when this gateway's own callers made their first attempts.
	firstAttempts firstAttempts
	peers         *peerSet
	candidates    *candidateSets
	budgets       *retryBudgets
	quotas        *quotaKeeper
	quotaRing     quotaRing
	pacer         *linkPacer
	held          bufferedBytes
	// callerBodies and peerBodies bound the request bodies of callers and of other gateways. They
	// are separate, so that bodies which wait to be forwarded can't keep all gateways from
	// taking them.
	callerBodies    *bodybudget.Budget
	peerBodies      *bodybudget.Budget
	egress          *egress
	runs            runTracker
	quarantine      quarantineTracker
	crashNotices    *crashNoticeQueue
	departures      *departureKeeper
	session         *sessionClient
	attemptCounters attemptCounters
	metrics         *gatewayMetrics

	callers *httpserver.Server
	inbound *httpserver.Server
	// sessionEnd is done once the gateway has no session with the controllers any more, and cancel
	// ends it.
	sessionEnd context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	probing    atomic.Bool

	// admission decides which requests may still start during a planned stop. activeCallers
	// counts requests of callers in progress, and activePeers those of other gateways.
	// lastCaller is when the latest request of a caller arrived.
	admission     plannedstop.Admission
	activeCallers atomic.Int64
	activePeers   atomic.Int64
	lastCaller    steady.Atomic
}

const (
	serverHeaderTimeout = 10 * time.Second
	// serverIdleTimeout is longer than callers keep idle connections.
	serverIdleTimeout = 75 * time.Second
)

// Start opens the listeners and serves until Stop.
func Start(config Config) (*Gateway, error) {
	g := &Gateway{config: config.withDefaults()}
	if err := g.config.validate(); err != nil {
		return nil, fmt.Errorf("gateway: configuration: %w", err)
	}
	g.metrics = newGatewayMetrics(g.config.Registry)
	g.views = newViewStore()
	g.views.beforeSwap = g.prepareView
	g.slots = newSlotLimiter()
	g.statements = newStatements(&g.config.Headers)
	g.crashNotices = newCrashNoticeQueue()
	g.departures = newDepartureKeeper()
	g.keyLoad = newKeyLoad()
	g.peers = newPeerSet()
	g.candidates = newCandidateSets()
	g.budgets = newRetryBudgets(g.config.Budget)
	g.pacer = newLinkPacer(g.config.LinkBytesPerSecond)
	g.held.limit = g.config.HeldBytes
	g.callerBodies = bodybudget.New(g.config.BodyBytes)
	g.peerBodies = bodybudget.New(g.config.BodyBytes)
	g.registry = newRegistry(g.instanceChanged)
	g.registry.onWarmUp = g.slots.updateWarmUpFromHeartbeat
	g.registry.heartbeatInterval = g.config.HeartbeatInterval
	g.registry.current = fleetwire.Instance{Node: g.config.Name, Address: g.config.PeerListen, Zone: g.config.Zone}
	g.keys = newGrantManager(g)
	g.registry.reprobe = g.probeBackend
	g.registry.stopGrants = g.keys.stopGrants
	g.registry.onReplaced = g.handleCrash
	g.session = newSessionClient(g)
	g.quotas = newQuotaKeeper(g)
	g.registry.leaderResponded = g.session.receivedResponse
	var err error
	if g.egress, err = newEgress(g); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	if g.callers, err = g.listenCallers(); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	if g.inbound, err = g.listenPeers(); err != nil {
		return nil, fmt.Errorf("gateway: %w", err)
	}
	// An earlier gateway process cannot run any more, since it used the same addresses.
	g.keys.started = steady.Reading()
	g.config.Registry.MustRegister(g.gauges()...)
	ctx, cancel := context.WithCancel(context.Background())
	g.sessionEnd, g.cancel = ctx, cancel
	g.background(func() { g.session.run(ctx) })
	g.background(func() { g.keys.run(ctx) })
	g.background(func() { g.watchSilence(ctx) })
	g.background(func() { g.monitorWarmUp(ctx) })
	g.background(func() { g.refreshFromPeersLoop(ctx) })
	g.background(func() { g.sendCrashNotices(ctx) })
	g.background(func() { g.watchSuspensions(ctx) })
	g.background(func() { g.summarize(ctx) })
	g.background(func() { _ = g.callers.Serve() })
	g.background(func() { _ = g.inbound.Serve() })
	return g, nil
}

func (g *Gateway) background(run func()) {
	g.goroutines.Add(1)
	go func() {
		defer g.goroutines.Done()
		run()
	}()
}

// runEvery calls a function at a fixed interval until the context is canceled.
func runEvery(ctx context.Context, interval time.Duration, function func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			function()
		}
	}
}

// listenCallers creates the server for callers, which may pipeline requests.
func (g *Gateway) listenCallers() (*httpserver.Server, error) {
	listener, err := net.Listen("tcp", g.config.CallerListen)
	if err != nil {
		return nil, err
	}
	settings := g.config.Pipelining
	settings.Repeatable, settings.Observer = g.mayRunAgain, pipelineObserver{g}
	return httpserver.NewPipelined(newHTTPServer(g.callerHandler), listener.(*net.TCPListener), 0, settings), nil
}

// listenPeers creates the server for other gateways, which send one request at a time on a
// connection.
func (g *Gateway) listenPeers() (*httpserver.Server, error) {
	listener, err := net.Listen("tcp", g.config.PeerListen)
	if err != nil {
		return nil, err
	}
	return httpserver.New(newHTTPServer(g.peerHandler), listener.(*net.TCPListener), 0), nil
}

func newHTTPServer(handler http.HandlerFunc) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: serverHeaderTimeout, IdleTimeout: serverIdleTimeout}
}

// Ready reports whether the gateway can serve callers.
func (g *Gateway) Ready() bool {
	v := g.views.load()
	return !g.admission.Stopping() && v.table != nil && len(v.byID) > 0 && g.session.configurationLease.valid(steady.Reading())
}

// Heartbeat handles a heartbeat of the local back end. Its return acknowledges the heartbeat,
// with the keys that the back end is to hold from the moment it sent the heartbeat; a nil offer
// has no information about keys. A heartbeat that announces a departure is acknowledged once the
// controllers have recorded that; on ErrNotRecorded it has been applied and must not be
// acknowledged. On any other error the heartbeat is ignored and the earlier state remains; the
// caller then calls RefusedHeartbeat.
func (g *Gateway) Heartbeat(ctx context.Context, registration Registration) (*KeyOffer, error) {
	if err := registration.checkKeys(); err != nil {
		return nil, err
	}
	if service := g.config.Service; service != "" && registration.Service != service {
		return nil, fmt.Errorf("%.64q, not %q: %w", registration.Service, service, ErrOtherService)
	}
	now := steady.Reading()
	offer := g.applyHeartbeat(registration, now)
	if registration.State != fleetwire.InstanceDraining {
		return offer, nil
	}
	g.registry.announceDeparture(registration.ID, g.drainGrace(), now)
	return offer, g.awaitRecorded(ctx, registration.ID)
}

// applyHeartbeat applies a heartbeat and returns the keys that the back end is to hold.
func (g *Gateway) applyHeartbeat(registration Registration, now time.Time) *KeyOffer {
	if !g.registry.heartbeat(registration, g.drainGrace(), now) {
		return nil
	}
	g.keys.resumeGrants(registration.ID)
	return g.keys.heartbeat(registration, now)
}

// Deregister processes the announcement of a back end that it departs. id names its incarnation.
// It returns nil once the controllers have recorded the departure, and otherwise ErrNotRecorded:
// the back end gets no new requests, but the deregistration must not be acknowledged.
func (g *Gateway) Deregister(ctx context.Context, id string) error {
	return g.awaitRecorded(ctx, g.registry.deregister(id, g.drainGrace(), steady.Reading()))
}

// drainGrace returns how long a leaving back end gets requests from here. It is a part of
// DrainWithin, which counts from the acknowledgement.
func (g *Gateway) drainGrace() time.Duration { return g.config.DrainWithin * 7 / 10 }

// instanceChanged propagates a change of the back end's registration.
func (g *Gateway) instanceChanged() {
	instance := g.registry.snapshot()
	if instance.Slots > 0 {
		g.egress.setSlots(instance.Slots)
	}
	g.config.Log.Info("back end", "instance", instance.ID, "service", instance.Service, "state", int(instance.State), "leaving", instance.Leaving, "cold", instance.Cold)
	g.session.requestReport()
	g.keys.signal()
}

// handleBackendError examines an error of a request to the back end. If another instance
// responded, the current one was replaced; if the connection was refused, the address is
// checked again.
func (g *Gateway) handleBackendError(instance string, err error) {
	switch {
	case errors.Is(err, ErrOtherInstance):
		g.registry.markDisplaced(instance)
	case isConnectionRefused(err):
		g.probeBackend(instance)
	}
}

// probeBackend checks whether anything listens at the back end's address. If nothing does, the
// back end gets no new requests until something listens again; its process may still run.
func (g *Gateway) probeBackend(instance string) {
	if !g.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.probing.Store(false)
		const probeDelay = 50 * time.Millisecond
		time.Sleep(probeDelay)
		conn, err := net.DialTimeout("tcp", g.config.BackendAddress, backendDialTimeout)
		if err == nil {
			_ = conn.Close()
			g.registry.markReachable(instance)
			return
		}
		if isConnectionRefused(err) {
			g.registry.markUnreachable(instance)
		}
	}()
}
