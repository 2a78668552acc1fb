package agent

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/metrics"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const subsystem = "agent"

// counts holds the agent's counters and the metrics with labels.
type counts struct {
	grantFailures   atomic.Uint64
	recordsLost     atomic.Uint64
	recordsReceived atomic.Uint64
	transfersFailed atomic.Uint64
	surplusAnswers  atomic.Uint64
	// outcomes counts requests by outcome and reason.
	outcomes *prometheus.CounterVec
	// slotTime is for how long requests that were sent to the back end held
	// their slots, by class.
	slotTime *prometheus.HistogramVec
}

// register creates the metrics and, if there is a registry, registers them.
func (agent *Agent) register() error {
	agent.counts.outcomes = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: metrics.Namespace, Subsystem: subsystem, Name: "requests_total",
		Help: "Requests from routers by outcome (answered, not-run, unknown) and reason.",
	}, []string{"outcome", "reason"})
	agent.counts.slotTime = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: metrics.Namespace, Subsystem: subsystem, Name: "slot_seconds",
		Help:    "Time for which requests held a slot of the back end, by class.",
		Buckets: prometheus.ExponentialBuckets(0.0005, 2, 18),
	}, []string{"class"})
	if agent.config.Registry == nil {
		return nil
	}
	for _, collector := range agent.collectors() {
		if err := agent.config.Registry.Register(collector); err != nil {
			return err
		}
	}
	return nil
}

func (agent *Agent) collectors() []prometheus.Collector {
	counter := func(name, help string, read func() uint64) prometheus.Collector {
		return prometheus.NewCounterFunc(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help,
		}, func() float64 { return float64(read()) })
	}
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help,
		}, read)
	}
	return []prometheus.Collector{
		agent.counts.outcomes,
		agent.counts.slotTime,
		gauge("running_requests", "Requests that hold a slot of the back end.",
			func() float64 { return float64(agent.gate.Running()) }),
		gauge("waiting_requests", "Requests that wait for a slot.",
			func() float64 { return float64(agent.gate.Waiting()) }),
		gauge("owned_shards", "Shards that the back end is granted.",
			func() float64 { return float64(len(agent.view.Load().shards)) }),
		gauge("lease_seconds", "Time until the lease ends; negative without one.",
			func() float64 { return (agent.holder.ValidUntil() - agent.now()).Seconds() }),
		gauge("backend_fit", "1 while the back end serves; 0 while it is unreachable or rests after failures.",
			func() float64 { return boolToFloat(agent.backendState.Load() == uint32(stateFit)) }),
		gauge("backend_connections", "Open connections to the back end for requests.",
			func() float64 { return float64(agent.requests.Stats().Open) }),
		gauge("record_entries", "Request ids remembered.",
			func() float64 { return float64(agent.record.Stats().Entries) }),
		counter("backend_dials_total", "Connections to the back end that were begun.",
			func() uint64 { return agent.requests.Stats().Dials }),
		counter("record_syncs_total", "Syncs of the request journal.",
			func() uint64 { return agent.record.Stats().Syncs }),
		counter("record_dropped_total", "Request ids forgotten by retention.",
			func() uint64 { return agent.record.Stats().Dropped }),
		counter("records_lost_total", "Shards taken over without their record of request ids.",
			agent.counts.recordsLost.Load),
		counter("records_taken_total", "Records of request ids received from previous owners.",
			agent.counts.recordsReceived.Load),
		counter("record_transfers_failed_total", "Records that did not reach the next owner.",
			agent.counts.transfersFailed.Load),
		counter("grant_failures_total", "Messages of grants that the back end did not answer.",
			agent.counts.grantFailures.Load),
		counter("surplus_answers_total", "Answers of the back end that were discarded, since they answer another sending than the one that was due.",
			agent.counts.surplusAnswers.Load),
	}
}

func boolToFloat(value bool) float64 {
	if value {
		return 1
	}
	return 0
}

// countOutcome counts the outcome of one request.
func (agent *Agent) countOutcome(outcome wire.Outcome, reason wire.Reason) {
	agent.counts.outcomes.WithLabelValues(string(outcome), string(reason)).Inc()
}
