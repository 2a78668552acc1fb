package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/admission"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// latencyBuckets, in seconds, range from a lookup over loopback to a slow bulk
// download.
var latencyBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

// routerMetrics holds the router's counters and histograms.
type routerMetrics struct {
	requests        *prometheus.CounterVec
	latency         *prometheus.HistogramVec
	retries         *prometheus.CounterVec
	budgetExhausted *prometheus.CounterVec
	superseded      prometheus.Counter
	truncated       prometheus.Counter
	cutOff          prometheus.Counter
}

func newRouterMetrics(registry prometheus.Registerer) *routerMetrics {
	m := &routerMetrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "quartzdock_router_requests_total",
			Help: "Requests by the outcome told to the caller.",
		}, []string{"service", "outcome", "reason"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "quartzdock_router_request_seconds",
			Help:    "Time from a request's header to the end of its answer.",
			Buckets: latencyBuckets,
		}, []string{"service", "class"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "quartzdock_router_retries_total",
			Help: "Requests sent again to the same owner or to another back end.",
		}, []string{"service"}),
		budgetExhausted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "quartzdock_router_retry_budget_exhausted_total",
			Help: "Retries that the budget did not allow.",
		}, []string{"service"}),
		superseded: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "quartzdock_router_superseded_total",
			Help: "Attempts ended because the shard got a new owner.",
		}),
		truncated: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "quartzdock_router_truncated_total",
			Help: "Answers that ended early or failed their digest.",
		}),
		cutOff: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "quartzdock_router_cut_off_total",
			Help: "Requests cut off because a planned stop reached its limit.",
		}),
	}
	registry.MustRegister(m.requests, m.latency, m.retries, m.budgetExhausted, m.superseded, m.truncated, m.cutOff)
	return m
}

// newGauges returns gauges that read the router's state when metrics are
// collected.
func newGauges(r *Router) []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "quartzdock_router_in_flight",
			Help: "Requests in progress.",
		}, func() float64 { return float64(r.inFlight.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "quartzdock_router_held",
			Help: "Requests that wait for an owner.",
		}, func() float64 { return float64(r.holdBuffer.requests.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "quartzdock_router_routing_age_seconds",
			Help: "Time since the routing table was proved to be the newest.",
		}, func() float64 { return r.tableAge().Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "quartzdock_router_revision",
			Help: "Revision of the routing table in force.",
		}, func() float64 { return float64(r.revision()) }),
	}
}

// serviceState is the state of a service that persists across views.
type serviceState struct {
	name     string
	inFlight atomic.Int64
	answered prometheus.Counter
	latency  [topology.ClassBulk + 1]prometheus.Observer

	mutex  sync.Mutex
	budget *admission.RetryBudget
}

// serviceStateFor returns the state of a service and creates it if necessary.
// It must be called only by the goroutine that calls publish.
func (r *Router) serviceStateFor(service *routing.Service) *serviceState {
	if state, known := r.serviceStates[service.ID]; known && state.name == service.Name {
		return state
	}
	state := &serviceState{
		name:     service.Name,
		answered: r.metrics.requests.WithLabelValues(service.Name, string(wire.OutcomeAnswered), ""),
		budget:   admission.NewRetryBudget(r.config.RetryShare, float64(r.config.RetryBurst)),
	}
	state.latency[topology.ClassLookup] = r.metrics.latency.WithLabelValues(service.Name, "lookup")
	state.latency[topology.ClassBulk] = r.metrics.latency.WithLabelValues(service.Name, "bulk")
	r.serviceStates[service.ID] = state
	return state
}

// earnRetry credits the retry budget for a new request.
func (s *serviceState) earnRetry() {
	s.mutex.Lock()
	s.budget.Earn()
	s.mutex.Unlock()
}

// spendRetry takes a retry from the budget. It returns false if the budget is
// exhausted.
func (r *Router) spendRetry(s *serviceState) bool {
	s.mutex.Lock()
	granted := s.budget.Spend()
	s.mutex.Unlock()
	if granted {
		r.metrics.retries.WithLabelValues(s.name).Inc()
	} else {
		r.metrics.budgetExhausted.WithLabelValues(s.name).Inc()
	}
	return granted
}

// latencyIndex maps classes that this version does not know to lookups.
func latencyIndex(class topology.RequestClass) topology.RequestClass {
	if class == topology.ClassBulk {
		return topology.ClassBulk
	}
	return topology.ClassLookup
}

// countUnclassified counts a request that could not be classified. The path is
// not used as a label, because callers could create any number of values.
func (r *Router) countUnclassified(errResp *errorResponse) {
	r.metrics.requests.WithLabelValues("", string(errResp.outcome), string(errResp.reason)).Inc()
}

// countRequest records a finished request.
func (r *Router) countRequest(q *request, errResp *errorResponse, elapsed time.Duration) {
	if errResp == nil {
		q.service.state.answered.Inc()
		q.service.state.latency[latencyIndex(q.class)].Observe(elapsed.Seconds())
		return
	}
	r.metrics.requests.WithLabelValues(q.service.state.name, string(errResp.outcome), string(errResp.reason)).Inc()
}
