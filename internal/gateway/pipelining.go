package gateway

import (
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/metrics"
)

// toldWait is from when on an answer's wait for its turn is told: a caller of a connection
// of its own would notice it.
const toldWait = 50 * time.Millisecond

// mayRepeat says whether a caller's request may run more than once. One that fits no route
// runs nowhere.
func (g *Gateway) mayRepeat(r *http.Request) bool {
	route := g.views.load().find(r)
	return route == nil || route.Repetition.MayRepeat()
}

// pipelineMetrics count what callers send ahead.
type pipelineMetrics struct {
	begun   prometheus.Counter
	waits   prometheus.Histogram
	stalled prometheus.Counter
}

func newPipelineMetrics(registry prometheus.Registerer) pipelineMetrics {
	m := pipelineMetrics{
		begun: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "pipelined_requests_total",
			Help: "Requests that began while earlier ones of their connection were unanswered."}),
		waits: prometheus.NewHistogram(histogram("pipelined_answer_wait_seconds", "Time that answers waited for those before them on their connection.", queueBuckets)),
		stalled: prometheus.NewCounter(prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: "stalled_connections_total",
			Help: "Connections that were closed because their caller took nothing of an answer."}),
	}
	registry.MustRegister(m.begun, m.waits, m.stalled)
	return m
}

// pipelineObserver counts and tells what happens on callers' connections.
type pipelineObserver struct{ gateway *Gateway }

// Begun implements httpserver.PipelineObserver.
func (o pipelineObserver) Begun(*http.Request, int) { o.gateway.metrics.pipelines.begun.Inc() }

// Waited implements httpserver.PipelineObserver.
func (o pipelineObserver) Waited(request, behind *http.Request, wait time.Duration) {
	o.gateway.metrics.pipelines.waits.Observe(wait.Seconds())
	if wait < toldWait || request == nil || behind == nil {
		return
	}
	id := o.gateway.config.Headers.RequestID
	o.gateway.config.Log.Info("answer waited for its turn", "request", request.Header.Get(id), "behind", behind.Header.Get(id), "wait_ms", wait.Milliseconds())
}

// Stalled implements httpserver.PipelineObserver.
func (o pipelineObserver) Stalled(remote net.Addr, unanswered int) {
	o.gateway.metrics.pipelines.stalled.Inc()
	o.gateway.config.Log.Info("caller takes nothing of an answer; its connection is closed", "caller", remote.String(), "unanswered", unanswered)
}
