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

// ErrCutOff is returned when a planned stop reaches Config.DrainLimit with
// requests still in progress.
var ErrCutOff = errors.New("requests were cut off at the drain limit")

// reportInterval is how often the outcomes of attempts are reported to a
// controller and the routing table is checked for staleness.
const reportInterval = time.Second

// Run creates a router and serves callers until the context ends. It then waits
// up to Config.DrainLimit for the requests in progress.
func Run(ctx context.Context, config Config) error {
	r, err := New(config)
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	defer r.Close()
	return r.Serve(ctx)
}

// Serve accepts callers' connections until the context ends, then drains the
// requests in progress.
func (r *Router) Serve(ctx context.Context) error {
	listener, err := r.listen()
	if err != nil {
		return fmt.Errorf("router: %w", err)
	}
	server := httpserver.NewPipelined(r.newServer(), listener, r.config.MaximumConnections, httpserver.Pipelining{
		Requests: r.config.PipelinedRequests, WriteStall: r.config.StallTimeout, Repeatable: r.mayRunConcurrently,
	})
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve() }()
	r.config.Log.Info("serving callers", "address", listener.Addr().String())
	reportCtx, stopReporting := context.WithCancel(context.Background())
	defer stopReporting()
	go r.reportLoop(reportCtx)
	select {
	case err := <-serveErr:
		return fmt.Errorf("router: serving callers: %w", err)
	case <-ctx.Done():
		return r.drain(server)
	}
}

// Close stops the source of routing tables and closes the connections to
// agents.
func (r *Router) Close() {
	r.source.Stop()
	v := r.view.Load()
	if v == nil {
		return
	}
	for _, e := range v.endpoints {
		if e.pool != nil {
			e.pool.Close()
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

func (r *Router) newServer() *http.Server {
	return &http.Server{
		Handler:           r.Handler(),
		TLSConfig:         r.config.CallerTLS,
		ReadHeaderTimeout: r.config.HeaderTimeout,
		IdleTimeout:       r.config.IdleTimeout,
		MaxHeaderBytes:    r.config.MaximumHeaderBytes,
		ErrorLog:          slog.NewLogLogger(r.config.Log.Handler(), slog.LevelDebug),
	}
}

// drain performs the planned stop. For DrainDelay it still accepts connections
// and answers with "Connection: close", so that callers reconnect elsewhere. It
// then closes the listener and waits for the requests in progress. Requests
// whose deadline is after the end of the stop are rejected throughout.
func (r *Router) drain(server *httpserver.Server) error {
	end := time.Now().Add(r.config.DrainDelay + r.config.DrainLimit)
	r.admission.Begin(end)
	r.config.Log.Info("draining router", "in_flight", r.inFlight.Load())
	time.Sleep(r.config.DrainDelay)
	stopCtx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	err := server.Stop(stopCtx)
	var cutOff *httpserver.CutOffError
	if errors.As(err, &cutOff) {
		r.metrics.cutOff.Add(float64(cutOff.Requests))
		return fmt.Errorf("%w: %d in progress after %s", ErrCutOff, cutOff.Requests, r.config.DrainLimit)
	}
	r.config.Log.Info("router drained")
	return err
}

// reportLoop periodically reports the outcomes of attempts to a controller and
// logs when the routing table becomes stale or fresh again.
func (r *Router) reportLoop(ctx context.Context) {
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
			r.config.Log.Warn("routing table staleness changed", "stale", stale, "revision", r.revision())
		}
		r.sendObservations()
	}
}

// sendObservations sends the outcomes since the last report, if there are any.
func (r *Router) sendObservations() {
	v := r.view.Load()
	if v == nil {
		return
	}
	var load wire.RouterLoad
	for _, e := range v.endpoints {
		if counts, any := e.takeCounts(); any {
			load.Observed = append(load.Observed, counts)
		}
	}
	if len(load.Observed) == 0 {
		return
	}
	// Reports are best effort: later attempts show the state of the back ends
	// again.
	_ = r.source.Send(wire.ToController{RouterLoad: &load})
}

// openSource opens Config.Source or, if it is nil, a subscription to the
// controllers.
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
