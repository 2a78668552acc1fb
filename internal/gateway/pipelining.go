package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/metrics"
)

// minLoggedWait is the shortest wait of a response for its turn that is logged: a caller
// would notice it compared to a connection of its own.
const minLoggedWait = 50 * time.Millisecond

// mayRunAgain reports whether a caller's request may run more than once. A request that
// matches no route never runs.
func (g *Gateway) mayRunAgain(r *http.Request) bool {
	route := g.views.load().findRoute(r)
	return route == nil || route.Repetition.MayRepeat()
}

// pipelineMetrics count pipelined requests of callers.
type pipelineMetrics struct {
	pipelined prometheus.Counter
	waits     prometheus.Histogram
	stalled   prometheus.Counter
}

func newPipelineMetrics(registry prometheus.Registerer) pipelineMetrics {
	m := pipelineMetrics{
		pipelined: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "pipelined_requests_total",
			Help: "Requests that began while earlier ones of their connection were unanswered."}),
		waits: prometheus.NewHistogram(histogram("pipelined_answer_wait_seconds", "Time that answers waited for those before them on their connection.", queueBuckets)),
		stalled: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "stalled_connections_total",
			Help: "Connections that were closed because their caller took nothing of an answer."}),
	}
	registry.MustRegister(m.pipelined, m.waits, m.stalled)
	return m
}

// pipelineObserver counts and logs events of pipelined connections.
type pipelineObserver struct{ gateway *Gateway }

// Begun implements httpserver.PipelineObserver.
func (o pipelineObserver) Begun(*http.Request, int) { o.gateway.metrics.pipelines.pipelined.Inc() }

// Waited implements httpserver.PipelineObserver.
func (o pipelineObserver) Waited(request, behind *http.Request, wait time.Duration) {
	o.gateway.metrics.pipelines.waits.Observe(wait.Seconds())
	if wait < minLoggedWait || request == nil || behind == nil {
		return
	}
	id := o.gateway.config.Headers.RequestID
	o.gateway.config.Log.Info("answer waited for its turn", "request", request.Header.Get(id), "behind", behind.Header.Get(id), "wait_ms", wait.Milliseconds())
}

// Stalled implements httpserver.PipelineObserver.
func (o pipelineObserver) Stalled(remote net.Addr, unanswered int) {
	o.gateway.metrics.pipelines.stalled.Inc()
	o.gateway.config.Log.Info("closing the connection of a caller that reads nothing of its response", "caller", remote.String(), "unanswered", unanswered)
}
