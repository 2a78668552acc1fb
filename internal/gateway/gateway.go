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

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/httpserver"
	"github.com/quartzdock/quartzdock/internal/plannedstop"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// Gateway is one running gateway.
type Gateway struct {
	config   Config
	views    *views
	registry *registry
	keys     *keyKeeper
	keyLoad  *keyLoad
	slots    *slotGate
	// firstTries are those of this gateway's own callers.
	firstTries firstTries
	peers      *peerSet
	budgets    *retryBudgets
	pacer      *linkPacer
	held       heldBytes
	egress     *egress
	atWork     atWork
	quarantine quarantineKeeper
	endNews    *endNews
	session    *sessionClient
	tally      tally
	metrics    *gatewayMetrics

	callers *httpserver.Server
	inbound *httpserver.Server
	cancel  context.CancelFunc
	ended   sync.WaitGroup
	probing atomic.Bool

	// admission says what may still begin during a planned stop. active counts
	// requests of callers in progress, and peerActive those of other gateways.
	// lastCaller is when the last caller's came.
	admission  plannedstop.Admission
	active     atomic.Int64
	peerActive atomic.Int64
	lastCaller steady.Atomic
}

const (
	serverHeaderTimeout = 10 * time.Second
	// serverIdle is longer than callers rest their connections.
	serverIdle = 75 * time.Second
)

// Start listens and serves until Stop.
func Start(config Config) (*Gateway, error) {
	g := &Gateway{config: config.withDefaults()}
	if err := g.config.check(); err != nil {
		return nil, fmt.Errorf("gateway: configuration: %w", err)
	}
	g.metrics = newGatewayMetrics(g.config.Registry)
	g.views = newViews()
	g.views.prepare = g.prepare
	g.slots = newSlotGate()
	g.endNews = newEndNews()
	g.keyLoad = newKeyLoad()
	g.peers = newPeerSet()
	g.budgets = newRetryBudgets(g.config.Budget)
	g.pacer = newLinkPacer(g.config.LinkBytesPerSecond)
	g.held.limit = g.config.HeldBytes
	g.registry = newRegistry(g.instanceChanged)
	g.registry.told = g.slots.hearWarmth
	g.registry.interval = g.config.HeartbeatInterval
	g.registry.current = fleetwire.Instance{Node: g.config.Name, Address: g.config.PeerListen, Zone: g.config.Zone}
	g.keys = newKeyKeeper(g)
	g.registry.lookAgain = g.probe
	g.registry.yields = g.keys.yield
	g.registry.replaced = g.noteEnd
	g.session = newSessionClient(g)
	g.registry.leaderAnswered = g.session.answered
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
	// From now on no earlier process of this gateway can run: it had these addresses.
	g.keys.started = steady.Reading()
	g.config.Registry.MustRegister(g.gauges()...)
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	g.background(func() { g.session.run(ctx) })
	g.background(func() { g.keys.run(ctx) })
	g.background(func() { g.watchSilence(ctx) })
	g.background(func() { g.watchWarmth(ctx) })
	g.background(func() { g.watchWord(ctx) })
	g.background(func() { g.tellEnds(ctx) })
	g.background(func() { g.watchSuspensions(ctx) })
	g.background(func() { g.summarize(ctx) })
	g.background(func() { _ = g.callers.Serve() })
	g.background(func() { _ = g.inbound.Serve() })
	return g, nil
}

func (g *Gateway) background(run func()) {
	g.ended.Add(1)
	go func() {
		defer g.ended.Done()
		run()
	}()
}

// each calls a function at intervals until the context ends.
func each(ctx context.Context, interval time.Duration, call func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			call()
		}
	}
}

// listenCallers serves callers, which may send requests ahead.
func (g *Gateway) listenCallers() (*httpserver.Server, error) {
	listener, err := net.Listen("tcp", g.config.CallerListen)
	if err != nil {
		return nil, err
	}
	settings := g.config.Pipelining
	settings.Repeatable, settings.Observer = g.mayRepeat, pipelineObserver{g}
	return httpserver.NewPipelined(newHTTPServer(g.callerHandler), listener.(*net.TCPListener), 0, settings), nil
}

// listenPeers serves other gateways, which send one request at a time on a connection.
func (g *Gateway) listenPeers() (*httpserver.Server, error) {
	listener, err := net.Listen("tcp", g.config.PeerListen)
	if err != nil {
		return nil, err
	}
	return httpserver.New(newHTTPServer(g.peerHandler), listener.(*net.TCPListener), 0), nil
}

func newHTTPServer(handler http.HandlerFunc) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: serverHeaderTimeout, IdleTimeout: serverIdle}
}

// Ready reports whether the gateway can serve callers.
func (g *Gateway) Ready() bool {
	v := g.views.load()
	return !g.admission.Stopping() && v.table != nil && len(v.byID) > 0 && g.session.vouched.holds(steady.Reading())
}

// Heartbeat takes the word of the back end beside the gateway. It is
// acknowledged by its return, with the keys that the back end is to hold from the
// moment it sent the heartbeat; nil tells nothing of keys. After an error nothing was
// taken, and what was known before holds; the caller tells RefusedHeartbeat.
func (g *Gateway) Heartbeat(told Registration) (*KeyOffer, error) {
	if err := told.checkKeys(); err != nil {
		return nil, err
	}
	if own := g.config.Service; own != "" && told.Service != own {
		return nil, fmt.Errorf("%.64q, not %q: %w", told.Service, own, ErrOtherService)
	}
	now := steady.Reading()
	if !g.registry.heartbeat(told, g.drainWithin(), now) {
		return nil, nil
	}
	g.keys.stay(told.ID)
	return g.keys.heartbeat(told, now), nil
}

// Deregister takes the word of a back end, by the name of its life, that it leaves.
func (g *Gateway) Deregister(id string) {
	g.registry.deregister(id, g.drainWithin(), steady.Reading())
}

// drainWithin is how long a leaving back end gets requests here: a part of the
// bound, which counts from the acknowledgement.
func (g *Gateway) drainWithin() time.Duration { return g.config.DrainWithin * 7 / 10 }

// instanceChanged follows what the back end has said.
func (g *Gateway) instanceChanged() {
	instance := g.registry.snapshot()
	if instance.Slots > 0 {
		g.egress.setSlots(instance.Slots)
	}
	g.config.Log.Info("back end", "instance", instance.ID, "service", instance.Service, "state", int(instance.State), "leaving", instance.Leaving, "cold", instance.Cold)
	g.session.report()
	g.keys.signal()
}

// suspect looks closer at a back end that failed by refusing a connection.
func (g *Gateway) suspect(instance string, err error) {
	switch {
	case errors.Is(err, ErrOtherInstance):
		g.registry.displaced(instance)
	case refusedConnection(err):
		g.probe(instance)
	}
}

// probe tries to reach a back end. Where nothing listens at its address it gets nothing
// new until something does; its process may live.
func (g *Gateway) probe(instance string) {
	if !g.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer g.probing.Store(false)
		const again = 50 * time.Millisecond
		time.Sleep(again)
		conn, err := net.DialTimeout("tcp", g.config.BackendAddress, backendDial)
		if err == nil {
			_ = conn.Close()
			g.registry.reached(instance)
			return
		}
		if refusedConnection(err) {
			g.registry.lost(instance)
		}
	}()
}
