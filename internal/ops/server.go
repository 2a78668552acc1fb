package ops

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// ServerConfig configures the monitoring listener.
type ServerConfig struct {
	// Listen is "IP:port"; port 0 chooses a free port.
	Listen string
	// Pprof enables /debug/pprof.
	Pprof bool
	// TLS, if set, serves HTTPS.
	TLS *tls.Config
	// Registry is served at /metrics.
	Registry *prometheus.Registry
	// Ready returns why the process is not ready, or nil. It is called for
	// each request to /readyz and must not block.
	Ready func() error
	// Log receives the HTTP server's errors, at level debug.
	Log *slog.Logger
}

// Server serves /metrics, /healthz and /readyz.
type Server struct {
	server  *http.Server
	address string
	done    chan error
}

// StartServer starts the monitoring listener, which serves until Stop.
func StartServer(config ServerConfig) (*Server, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("monitoring listener: %w", err)
	}
	server := &Server{
		server:  NewHTTPServer(Handler(config), Limits{}, config.TLS, config.Log),
		address: listener.Addr().String(),
		done:    make(chan error, 1),
	}
	go func() { server.done <- Serve(server.server, listener) }()
	return server, nil
}

// Address returns the "IP:port" that the listener is bound to.
func (server *Server) Address() string { return server.address }

// Stop closes the listener and waits for requests in progress. If the context
// ends first, it closes the remaining connections and returns the context's
// error.
func (server *Server) Stop(ctx context.Context) error {
	if err := server.server.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop of the monitoring listener: %w", errors.Join(err, server.server.Close()))
	}
	return <-server.done
}

// Handler returns the handler of the monitoring listener.
func Handler(config ServerConfig) http.Handler {
	router := chi.NewRouter()
	router.Method(http.MethodGet, "/metrics", promhttp.HandlerFor(config.Registry, promhttp.HandlerOpts{Registry: config.Registry}))
	router.Get("/healthz", serveHealth)
	router.Get("/readyz", serveReadiness(config.Ready))
	if config.Pprof {
		router.Route("/debug/pprof", mountPprof)
	}
	return router
}

// serveHealth answers 200, which shows that the process is running.
func serveHealth(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintln(w, "ok")
}

// serveReadiness answers 200 if the process is ready, else 503 with the reason.
func serveReadiness(ready func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, "not ready: "+err.Error(), http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	}
}

// mountPprof adds the handlers of net/http/pprof to a subrouter.
func mountPprof(router chi.Router) {
	router.Get("/", pprof.Index)
	router.Get("/cmdline", pprof.Cmdline)
	router.Get("/profile", pprof.Profile)
	router.Get("/symbol", pprof.Symbol)
	router.Get("/trace", pprof.Trace)
	router.Get("/{profile}", func(w http.ResponseWriter, r *http.Request) {
		pprof.Handler(chi.URLParam(r, "profile")).ServeHTTP(w, r)
	})
}
