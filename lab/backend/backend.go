// Package backend is the lab's stand-in for a users' server: it owns keys by
// fenced grants, has slots, connections, connect and probe costs, starts cold,
// drains, sheds, keeps per-key state and honours cancellation and deadlines.
// Its health and load endpoints can be made to lie or to fail. It appends what
// it ran and wrote to a ledger.
//
// Requests have the path /SERVICE/OPERATION/KEY. The query says what a request
// costs: work=DURATION is the time it holds a slot, bytes=N the size of its
// answer, pace=DURATION the time over which the answer is sent. Every method
// but GET and HEAD writes the key's state.
package backend

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/quartzdock/quartzdock/lab/ledger"
)

// Config of a stand-in.
type Config struct {
	// Name of the back end in its ledger.
	Name string
	// Listen is the address for requests, "IP:port".
	Listen string
	// Ledger is the path of the ledger file; empty keeps none.
	Ledger string
	// Slots is how many requests run at once.
	Slots int
	// Connections is how many connections are accepted.
	Connections int
	// ConnectCost is the time that accepting a connection takes.
	ConnectCost time.Duration
	// ProbeCost is the time that a health probe takes.
	ProbeCost time.Duration
	// ColdStart is the time that preparing a shard's state takes.
	ColdStart time.Duration
	// Unfenced serves requests without grants, to measure direct requests.
	Unfenced bool
}

// readHeaderTimeout cuts off connections that send no request.
const readHeaderTimeout = 10 * time.Second

// Backend is a running stand-in.
type Backend struct {
	config    Config
	ledger    *ledger.Writer
	fence     *fence
	warmth    *warmth
	store     *store
	behaviour atomic.Pointer[Behaviour]
	draining  atomic.Bool
	running   atomic.Int64
	listener  *limitListener
	server    *http.Server
}

// Start listens and serves until Stop.
func Start(config Config) (*Backend, error) {
	writer, err := ledger.OpenWriter(config.Ledger)
	if err != nil {
		return nil, err
	}
	plain, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("back end %s: %w", config.Name, err), writer.Close())
	}
	b := &Backend{
		config: config,
		ledger: writer,
		fence:  newFence(),
		warmth: newWarmth(config.ColdStart),
		store:  newStore(),
	}
	b.behaviour.Store(&Behaviour{})
	b.listener = newLimitListener(plain, config.Connections, config.ConnectCost, b.refusedConnection)
	b.server = &http.Server{Handler: b.routes(), ReadHeaderTimeout: readHeaderTimeout}
	go b.server.Serve(b.listener)
	return b, nil
}

// Address returns the address that the stand-in listens on.
func (b *Backend) Address() string { return b.listener.Addr().String() }

// Stop lets running requests end until the context is done.
func (b *Backend) Stop(ctx context.Context) error {
	err := b.server.Shutdown(ctx)
	if err != nil {
		err = errors.Join(err, b.server.Close())
	}
	return errors.Join(err, b.ledger.Close())
}

func (b *Backend) refusedConnection() {
	b.ledger.Append(ledger.BackendEntry{
		Time: time.Now().UnixNano(), Kind: ledger.KindOverConnections, Backend: b.config.Name,
	})
}

func (b *Backend) routes() http.Handler {
	router := chi.NewRouter()
	router.Route("/_quartzdock", func(r chi.Router) {
		r.Put("/grants", b.handleGrants)
		r.Post("/warm", b.handleWarm)
		r.Post("/drain", b.handleDrain)
		r.Delete("/drain", b.handleUndrain)
		r.Get("/health", b.handleHealth)
		r.Get("/load", b.handleLoad)
	})
	router.Put("/_lab/behaviour", b.handleBehaviour)
	router.Get("/_lab/status", b.handleStatus)
	router.HandleFunc("/{service}/{operation}/{key}", b.handleRequest)
	return router
}
