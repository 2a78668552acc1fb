package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"golang.org/x/net/netutil"

	"github.com/quartzdock/quartzdock/internal/subscription"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/transport"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// ErrCutOff says that a planned stop reached its limit with requests in
// progress.
var ErrCutOff = errors.New("requests were cut off at the drain limit")

// reportInterval is how often outcomes are reported to a controller, and how
// often changes of state are looked for.
const reportInterval = time.Second

// Run serves callers until the context ends, then finishes the requests in
// progress, at most for Config.DrainLimit.
func Run(ctx context.Context, config Config) error {
	r, err := New(config)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	defer r.Close()
	return r.Serve(ctx)
}

// Serve accepts callers until the context ends, then finishes the requests in
// progress.
func (r *Router) Serve(ctx context.Context) error {
	listener, err := r.listen()
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	server := r.server()
	failed := make(chan error, 1)
	go func() { failed <- serveListener(server, listener) }()
	r.config.Log.Info("router serves callers", "address", listener.Addr().String())
	reporter, stopReporter := context.WithCancel(context.Background())
	defer stopReporter()
	go r.report(reporter)
	select {
	case err := <-failed:
		return fmt.Errorf("router: serving callers: %w", err)
	case <-ctx.Done():
		return r.drain(server)
	}
}

// Close ends the subscription and the connections to agents.
func (r *Router) Close() {
	r.source.Stop()
	v := r.view.Load()
	if v == nil {
		return
	}
	for _, p := range v.peers {
		if p.pool != nil {
			p.pool.Close()
		}
	}
}

func (r *Router) listen() (net.Listener, error) {
	listener := r.config.Listener
	if listener == nil {
		var err error
		listener, err = net.Listen("tcp", r.config.Listen)
		if err != nil {
			return nil, err
		}
	}
	return netutil.LimitListener(listener, r.config.MaximumConnections), nil
}

func (r *Router) server() *http.Server {
	return &http.Server{
		Handler:           r.Handler(),
		TLSConfig:         r.config.CallerTLS,
		ReadHeaderTimeout: r.config.HeaderTimeout,
		IdleTimeout:       r.config.IdleTimeout,
		MaxHeaderBytes:    r.config.MaximumHeaderBytes,
		ErrorLog:          slog.NewLogLogger(r.config.Log.Handler(), slog.LevelDebug),
	}
}

func serveListener(server *http.Server, listener net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}

// drain is the planned stop. For DrainDelay callers are still served and asked
// to connect elsewhere; then the listener closes and what is in progress
// finishes.
func (r *Router) drain(server *http.Server) error {
	r.draining.Store(true)
	r.config.Log.Info("router drains", "in_flight", r.inFlight.Load())
	time.Sleep(r.config.DrainDelay)
	limit, cancel := context.WithTimeout(context.Background(), r.config.DrainLimit)
	defer cancel()
	if err := server.Shutdown(limit); err != nil {
		left := r.inFlight.Load()
		r.metrics.cutOff.Add(float64(left))
		_ = server.Close()
		return fmt.Errorf("%w: %d in progress after %s", ErrCutOff, left, r.config.DrainLimit)
	}
	r.config.Log.Info("router drained")
	return nil
}

// report tells a controller what requests showed of the back ends, and logs
// when the routing table becomes stale or fresh.
func (r *Router) report(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	stale := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := r.stale(); now != stale {
			stale = now
			r.config.Log.Warn("routing table changed state", "stale", stale, "revision", r.revision())
		}
		r.sendLoad()
	}
}

func (r *Router) sendLoad() {
	v := r.view.Load()
	if v == nil {
		return
	}
	var load wire.RouterLoad
	for _, p := range v.peers {
		if counts, any := p.takeCounts(); any {
			load.Observed = append(load.Observed, counts)
		}
	}
	if len(load.Observed) == 0 {
		return
	}
	// A lost report only delays what the next one shows.
	_ = r.source.Send(wire.ToController{RouterLoad: &load})
}

// openSource opens the configured source of routing tables, or a subscription
// to the controllers.
func (r *Router) openSource() (Source, error) {
	if r.config.Source != nil {
		return r.config.Source(r.publish)
	}
	return subscription.Start(subscription.Config{
		Group:       r.config.Group,
		Role:        topology.RoleRouter,
		Name:        r.config.Name,
		Location:    r.config.Location,
		Address:     r.config.Listen,
		Controllers: r.config.Controllers,
		Transport:   transport.Options{TLS: r.config.ControllerTLS},
		OnTable:     r.publish,
		Now:         r.config.Clock,
		Log:         r.config.Log,
	})
}
