package router

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/quartzdock/quartzdock/internal/httpserver"
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
	server := httpserver.NewPipelined(r.server(), listener, r.config.MaximumConnections, httpserver.Pipelining{
		Requests: r.config.PipelinedRequests, WriteStall: r.config.StallTimeout, Repeatable: r.mayRunBeside,
	})
	failed := make(chan error, 1)
	go func() { failed <- server.Serve() }()
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

func (r *Router) listen() (httpserver.Listener, error) {
	if r.config.Listener != nil {
		return r.config.Listener, nil
	}
	listener, err := net.Listen("tcp", r.config.Listen)
	if err != nil {
		return nil, err
	}
	return listener.(*net.TCPListener), nil
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

// drain is the planned stop. For DrainDelay callers are still served and asked
// to connect elsewhere; then the listener closes and what is in progress
// finishes. Requests that may outlast the stop are refused from its begin on.
func (r *Router) drain(server *httpserver.Server) error {
	end := time.Now().Add(r.config.DrainDelay + r.config.DrainLimit)
	r.admission.Begin(end)
	r.config.Log.Info("router drains", "in_flight", r.inFlight.Load())
	time.Sleep(r.config.DrainDelay)
	limit, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := server.Stop(limit)
	var cutOff *httpserver.CutOffError
	if errors.As(err, &cutOff) {
		r.metrics.cutOff.Add(float64(cutOff.Requests))
		return fmt.Errorf("%w: %d in progress after %s", ErrCutOff, cutOff.Requests, r.config.DrainLimit)
	}
	r.config.Log.Info("router drained")
	return err
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
