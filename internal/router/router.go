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

// Errors that Ready returns.
var (
	ErrNoTable  = errors.New("no routing table yet")
	ErrStale    = errors.New("no controller heard for too long")
	ErrDraining = errors.New("planned stop in progress")
)

// Router forwards callers' requests to back ends. Create one with New.
type Router struct {
	config     Config
	metrics    *routerMetrics
	source     Source
	view       atomic.Pointer[view]
	holdBuffer holdBuffer
	inFlight   atomic.Int64
	// admission decides which requests are accepted during a planned stop.
	admission plannedstop.Admission
	// serviceStates is accessed only by the goroutine that calls publish.
	serviceStates map[topology.ServiceID]*serviceState
}

// New validates the configuration and opens the source of routing tables.
func New(config Config) (*Router, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	r := &Router{config: config.withDefaults(), serviceStates: make(map[topology.ServiceID]*serviceState)}
	r.holdBuffer.maximumRequests = int64(r.config.HoldRequests)
	r.holdBuffer.maximumBytes = r.config.HoldBytes
	r.metrics = newRouterMetrics(r.config.Registry)
	source, err := r.openSource()
	if err != nil {
		return nil, err
	}
	r.source = source
	r.config.Registry.MustRegister(newGauges(r)...)
	return r, nil
}

// Handler returns the HTTP handler for callers' requests.
func (r *Router) Handler() http.Handler {
	routes := chi.NewRouter()
	routes.Handle("/*", http.HandlerFunc(r.serve))
	return routes
}

// Ready returns the reason why the router cannot serve requests, or nil if it
// can.
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

// tableAge returns the time since the routing table was last confirmed to be
// the newest.
func (r *Router) tableAge() time.Duration { return r.source.Freshness(r.config.Clock()) }

// stale reports whether the routing table is too old to route by.
func (r *Router) stale() bool { return r.tableAge() > r.config.StaleAfter }

// revision returns the revision of the routing table, or 0 before the first
// one.
func (r *Router) revision() topology.Revision {
	if v := r.view.Load(); v != nil {
		return v.table.Revision()
	}
	return 0
}

// serve handles one request of a caller.
func (r *Router) serve(w http.ResponseWriter, incoming *http.Request) {
	started := time.Now()
	v := r.view.Load()
	if v == nil {
		r.writeError(w, notRunError(wire.ReasonStale, "the router has no routing table yet"))
		return
	}
	q, classifyErr := r.classify(v, incoming, started)
	if classifyErr != nil {
		r.countUnclassified(classifyErr)
		r.writeError(w, classifyErr)
		return
	}
	// Deferred, so that a response aborted by a panic is counted, too; errResp
	// then still has this initial value.
	errResp := unknownOutcomeError(wire.ReasonTruncated, "cut off")
	defer func() { r.countRequest(q, errResp, time.Since(started)) }()
	errResp = r.admit(w, q)
	if errResp != nil {
		r.writeError(w, errResp)
	}
}

// writeError sends an error response to the caller.
func (r *Router) writeError(w http.ResponseWriter, errResp *errorResponse) {
	r.addConnectionClose(w.Header())
	errResp.write(w)
}

// addConnectionClose adds "Connection: close" during a planned stop, so that
// the caller reconnects to another router.
func (r *Router) addConnectionClose(header http.Header) {
	if r.admission.Stopping() {
		setSingle(header, "Connection", "close")
	}
}

// admit forwards a request unless it may outlast a planned stop or exceeds the
// limits on requests in progress.
func (r *Router) admit(w http.ResponseWriter, q *request) *errorResponse {
	if !r.admission.Admits(q.deadline) {
		return notRunError(wire.ReasonDraining, "the router stops before the request's deadline")
	}
	defer r.inFlight.Add(-1)
	defer q.service.state.inFlight.Add(-1)
	routerInFlight := r.inFlight.Add(1)
	serviceInFlight := q.service.state.inFlight.Add(1)
	if routerInFlight > int64(r.config.MaximumInFlight) {
		return notRunError(wire.ReasonShed, "the router has too many requests in progress")
	}
	if float64(serviceInFlight) > r.config.ServiceShare*float64(r.config.MaximumInFlight) {
		return notRunError(wire.ReasonOverLimit, "the service has too many requests in progress at this router")
	}
	return r.forward(w, q)
}

// forward reads the request body and runs the retry loop.
func (r *Router) forward(w http.ResponseWriter, q *request) *errorResponse {
	body, errResp := r.readBody(w, q.incoming)
	if errResp != nil {
		return errResp
	}
	defer body.close()
	q.body = body
	ctx, cancel := context.WithDeadline(q.incoming.Context(), q.deadline)
	defer cancel()
	f := &forwarder{
		router: r, request: q, writer: w, controller: http.NewResponseController(w), ctx: ctx,
	}
	return f.run()
}
