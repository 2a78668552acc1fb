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

// latencyBuckets in seconds span a loopback look-up to a slow map pack.
var latencyBuckets = []float64{.0005, .001, .0025, .005, .01, .025, .05, .1, .25, .5, 1, 2.5, 5, 10, 30, 60}

// routerMetrics are the process's counters.
type routerMetrics struct {
	requests   *prometheus.CounterVec
	latency    *prometheus.HistogramVec
	retries    *prometheus.CounterVec
	exhausted  *prometheus.CounterVec
	superseded prometheus.Counter
	truncated  prometheus.Counter
	cutOff     prometheus.Counter
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
		exhausted: prometheus.NewCounterVec(prometheus.CounterOpts{
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
	registry.MustRegister(m.requests, m.latency, m.retries, m.exhausted, m.superseded, m.truncated, m.cutOff)
	return m
}

// gauges are read when metrics are collected.
func gauges(r *Router) []prometheus.Collector {
	return []prometheus.Collector{
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "quartzdock_router_in_flight",
			Help: "Requests in progress.",
		}, func() float64 { return float64(r.inFlight.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "quartzdock_router_held",
			Help: "Requests that wait for an owner.",
		}, func() float64 { return float64(r.hold.requests.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "quartzdock_router_routing_age_seconds",
			Help: "Time since the routing table was proved to be the newest.",
		}, func() float64 { return r.freshness().Seconds() }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "quartzdock_router_revision",
			Help: "Revision of the routing table in force.",
		}, func() float64 { return float64(r.revision()) }),
	}
}

// serviceState is what outlives the views of a service.
type serviceState struct {
	name     string
	inFlight atomic.Int64
	answered prometheus.Counter
	latency  [topology.ClassBulk + 1]prometheus.Observer

	mutex  sync.Mutex
	budget *admission.RetryBudget
}

// stateOf finds or makes the state of a service. It is called by the
// publishing goroutine alone.
func (r *Router) stateOf(service *routing.Service) *serviceState {
	if state, known := r.states[service.ID]; known && state.name == service.Name {
		return state
	}
	state := &serviceState{
		name:     service.Name,
		answered: r.metrics.requests.WithLabelValues(service.Name, string(wire.OutcomeAnswered), ""),
		budget:   admission.NewRetryBudget(r.config.RetryShare, float64(r.config.RetryBurst)),
	}
	state.latency[topology.ClassLookup] = r.metrics.latency.WithLabelValues(service.Name, "lookup")
	state.latency[topology.ClassBulk] = r.metrics.latency.WithLabelValues(service.Name, "bulk")
	r.states[service.ID] = state
	return state
}

// earnRetry counts a first attempt.
func (s *serviceState) earnRetry() {
	s.mutex.Lock()
	s.budget.Earn()
	s.mutex.Unlock()
}

// spendRetry asks the budget for one more attempt.
func (r *Router) spendRetry(s *serviceState) bool {
	s.mutex.Lock()
	granted := s.budget.Spend()
	s.mutex.Unlock()
	if granted {
		r.metrics.retries.WithLabelValues(s.name).Inc()
	} else {
		r.metrics.exhausted.WithLabelValues(s.name).Inc()
	}
	return granted
}

// latencyIndex takes classes that this version does not know as look-ups.
func latencyIndex(class topology.RequestClass) topology.RequestClass {
	if class == topology.ClassBulk {
		return topology.ClassBulk
	}
	return topology.ClassLookup
}

// countUnclassified counts a request that belongs to no service or was
// malformed; the path is not a label, since callers choose it.
func (r *Router) countUnclassified(told *refusal) {
	r.metrics.requests.WithLabelValues("", string(told.outcome), string(told.reason)).Inc()
}

// count counts a finished request.
func (r *Router) count(q *request, told *refusal, elapsed time.Duration) {
	if told == nil {
		q.service.state.answered.Inc()
		q.service.state.latency[latencyIndex(q.class)].Observe(elapsed.Seconds())
		return
	}
	r.metrics.requests.WithLabelValues(q.service.state.name, string(told.outcome), string(told.reason)).Inc()
}
