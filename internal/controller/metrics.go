package controller

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"
)

const metricsNamespace = "quartzdock"
const metricsSubsystem = "controller"

// controllerMetrics holds the metrics of a controller.
type controllerMetrics struct {
	applied            prometheus.Counter
	damagedCommands    prometheus.Counter
	leaderships        prometheus.Counter
	ownershipChanges   prometheus.Counter
	failedBatches      prometheus.Counter
	batchSeconds       prometheus.Histogram
	renewals           prometheus.Counter
	refusedRenewals    prometheus.Counter
	refusedSessions    prometheus.Counter
	deltas             prometheus.Counter
	snapshots          prometheus.Counter
	failedMachineLists prometheus.Counter
	calls              *prometheus.CounterVec
	findings           *prometheus.GaugeVec
	discountedClaims   prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer, c *Controller) *controllerMetrics {
	factory := promauto.With(registerer)
	counter := func(name, help string) prometheus.Counter {
		return factory.NewCounter(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
		})
	}
	gauge := func(name, help string, read func() float64) {
		factory.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: name, Help: help,
		}, read)
	}
	gauge("revision", "Newest applied revision of the control state.", func() float64 {
		return float64(c.view.Load().Newest())
	})
	gauge("sessions", "Open sessions of routers, agents and controllers.", func() float64 {
		return float64(c.openSessions.count())
	})
	gauge("leader_contact_seconds", "Time since the state was last confirmed as the newest.", func() float64 {
		if c.replica == nil {
			return 0
		}
		return c.leaderContact().Seconds()
	})
	return &controllerMetrics{
		applied:          counter("commands_applied_total", "Commands of the log that were applied."),
		damagedCommands:  counter("commands_damaged_total", "Commands of the log that could not be decoded."),
		leaderships:      counter("leaderships_total", "Terms in which this controller led the group."),
		ownershipChanges: counter("ownership_changes_total", "Steps of shards between owners, as proposed here."),
		failedBatches:    counter("ownership_batches_failed_total", "Ownership batches whose outcome was not known."),
		batchSeconds: factory.NewHistogram(prometheus.HistogramOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "ownership_batch_seconds",
			Help:    "Time from the proposal of an ownership batch until it was applied.",
			Buckets: prometheus.ExponentialBuckets(0.0005, 2, 14),
		}),
		renewals:           counter("lease_renewals_total", "Lease renewals that were granted."),
		refusedRenewals:    counter("lease_renewals_refused_total", "Lease renewals that were refused or not answered."),
		refusedSessions:    counter("sessions_refused_total", "Sessions that were refused at the greeting."),
		deltas:             counter("routing_deltas_sent_total", "Routing deltas sent to subscribers."),
		snapshots:          counter("routing_snapshots_sent_total", "Routing snapshots sent to subscribers."),
		discountedClaims:   counter("load_claims_discounted_total", "Reports with a claimed load that contradicted what was observed."),
		failedMachineLists: counter("machine_list_failures_total", "Readings of the machine list that failed."),
		calls: factory.NewCounterVec(prometheus.CounterOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "calls_total",
			Help: "Operators' calls by procedure and outcome.",
		}, []string{"procedure", "code"}),
		findings: factory.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: metricsNamespace, Subsystem: metricsSubsystem, Name: "placement_findings",
			Help: "What placement wants operators to know, by kind; at the leader.",
		}, []string{"kind"}),
	}
}
