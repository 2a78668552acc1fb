package router

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/quartzdock/quartzdock/internal/plannedstop"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Errors of Ready.
var (
	ErrNoTable  = errors.New("no routing table yet")
	ErrStale    = errors.New("no controller heard for too long")
	ErrDraining = errors.New("planned stop in progress")
)

// Router forwards callers' requests. Make one with New or Run.
type Router struct {
	config   Config
	metrics  *routerMetrics
	source   Source
	view     atomic.Pointer[view]
	hold     holdBuffer
	inFlight atomic.Int64
	// admission says what a planned stop still takes.
	admission plannedstop.Admission
	// states belongs to the publishing goroutine.
	states map[topology.ServiceID]*serviceState
}

// New checks a configuration and opens the source of routing tables.
func New(config Config) (*Router, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	r := &Router{config: config.withDefaults(), states: make(map[topology.ServiceID]*serviceState)}
	r.hold.maximumRequests = int64(r.config.HoldRequests)
	r.hold.maximumBytes = r.config.HoldBytes
	r.metrics = newRouterMetrics(r.config.Registry)
	source, err := r.openSource()
	if err != nil {
		return nil, err
	}
	r.source = source
	r.config.Registry.MustRegister(gauges(r)...)
	return r, nil
}

// Handler returns the routes for callers.
func (r *Router) Handler() http.Handler {
	routes := chi.NewRouter()
	routes.Handle("/*", http.HandlerFunc(r.serve))
	return routes
}

// Ready returns why the router cannot do all of its work now, or nil.
func (r *Router) Ready() error {
	switch {
	case r.admission.Stopping():
		return ErrDraining
	case r.view.Load() == nil:
		return ErrNoTable
	case r.stale():
		return ErrStale
	}
	return nil
}

func (r *Router) freshness() time.Duration { return r.source.Freshness(r.config.Clock()) }

func (r *Router) stale() bool { return r.freshness() > r.config.StaleAfter }

func (r *Router) revision() topology.Revision {
	if v := r.view.Load(); v != nil {
		return v.table.Revision()
	}
	return 0
}

// serve answers one request of a caller.
func (r *Router) serve(w http.ResponseWriter, incoming *http.Request) {
	started := time.Now()
	v := r.view.Load()
	if v == nil {
		r.refuse(w, notRun(wire.ReasonStale, "the router has no routing table yet"))
		return
	}
	classified, refused := r.classify(v, incoming, started)
	if refused != nil {
		r.countUnclassified(refused)
		r.refuse(w, refused)
		return
	}
	// A deferred count also sees answers that are cut off by a panic.
	told := unknown(wire.ReasonTruncated, "cut off")
	defer func() { r.count(classified, told, time.Since(started)) }()
	told = r.admit(w, classified)
	if told != nil {
		r.refuse(w, told)
	}
}

func (r *Router) refuse(w http.ResponseWriter, told *refusal) {
	r.closeIfDraining(w.Header())
	told.write(w)
}

// closeIfDraining asks the caller to connect elsewhere during a planned stop.
func (r *Router) closeIfDraining(header http.Header) {
	if r.admission.Stopping() {
		setOne(header, "Connection", "close")
	}
}

// admit keeps the requests in progress within their limits, and what may outlast
// a planned stop out of it.
func (r *Router) admit(w http.ResponseWriter, q *request) *refusal {
	if !r.admission.Admits(q.deadline) {
		return notRun(wire.ReasonDraining, "the router stops before the request's deadline")
	}
	defer r.inFlight.Add(-1)
	defer q.service.state.inFlight.Add(-1)
	total := r.inFlight.Add(1)
	ofService := q.service.state.inFlight.Add(1)
	if total > int64(r.config.MaximumInFlight) {
		return notRun(wire.ReasonShed, "the router has too many requests in progress")
	}
	if float64(ofService) > r.config.ServiceShare*float64(r.config.MaximumInFlight) {
		return notRun(wire.ReasonOverLimit, "the service has too many requests in progress at this router")
	}
	return r.forward(w, q)
}

// forward reads the body and sends the request on its way.
func (r *Router) forward(w http.ResponseWriter, q *request) *refusal {
	body, refused := r.readBody(w, q.incoming)
	if refused != nil {
		return refused
	}
	defer body.close()
	q.body = body
	ctx, cancel := context.WithDeadline(q.incoming.Context(), q.deadline)
	defer cancel()
	f := &forwarding{
		router: r, request: q, writer: w, controller: http.NewResponseController(w), ctx: ctx,
	}
	return f.run()
}
