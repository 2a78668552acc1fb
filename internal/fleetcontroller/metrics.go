package fleetcontroller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/metrics"
)

const subsystem = "fleet"

// Outcomes of changes of the configuration in addition to those of fleetstate.
const (
	outcomeNotLeader = "not-leader"
	outcomeUnknown   = "unknown"
)

// controllerMetrics holds the counters and histograms of a controller.
type controllerMetrics struct {
	leaderships prometheus.Counter
	changes     *prometheus.CounterVec
	moves       *prometheus.CounterVec
	reports     prometheus.Counter
	quarantined prometheus.Counter
	cleared     prometheus.Counter
	departures  prometheus.Counter
	inForceWait prometheus.Histogram
}

func newControllerMetrics(registry prometheus.Registerer) *controllerMetrics {
	options := func(name, help string) prometheus.CounterOpts {
		return prometheus.CounterOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help}
	}
	m := &controllerMetrics{
		leaderships: prometheus.NewCounter(options("leaderships_total", "Times that this controller began to lead.")),
		changes:     prometheus.NewCounterVec(options("configuration_changes_total", "Changes of the configuration that operators sent, by outcome."), []string{"outcome"}),
		moves:       prometheus.NewCounterVec(options("ranges_moved_total", "Ranges of keys given to an owner, by whether its predecessor handed them over."), []string{"handover"}),
		reports:     prometheus.NewCounter(options("reports_total", "Reports of gateways that this controller answered.")),
	}
	m.quarantined = prometheus.NewCounter(options("requests_held_back_total", "Requests that came to be held back, since back ends end under them."))
	m.cleared = prometheus.NewCounter(options("suspects_cleared_total", "Requests that are no longer suspected, mostly as they were answered."))
	m.departures = prometheus.NewCounter(options("departures_recorded_total", "Announced departures of back ends that this controller recorded as the leader."))
	m.inForceWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: metrics.Namespace, Subsystem: subsystem, Name: "in_force_wait_seconds",
		Help:    "How long acknowledgements of configurations waited for gateways, after the change was in the state.",
		Buckets: []float64{0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6},
	})
	registry.MustRegister(m.leaderships, m.changes, m.moves, m.reports, m.quarantined, m.cleared, m.departures, m.inForceWait)
	return m
}

// countChange counts a change of the configuration by its outcome.
func (m *controllerMetrics) countChange(result fleetstate.Result, err error) {
	outcome := outcomeUnknown
	switch {
	case err == nil:
		outcome = result.Outcome.String()
	case isNotLeader(err):
		outcome = outcomeNotLeader
	}
	m.changes.WithLabelValues(outcome).Inc()
}

// countMoves counts the changes of owner in a batch, when it is proposed.
func (m *controllerMetrics) countMoves(batch *fleetstate.ChangeOwnership) {
	for i := range batch.Changes {
		handover := "no"
		if batch.Changes[i].Handover != "" {
			handover = "yes"
		}
		m.moves.WithLabelValues(handover).Inc()
	}
}

// gauges returns the metrics whose values are read when they are collected.
func (c *Controller) gauges() []prometheus.Collector {
	gauge := func(name, help string, read func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: metrics.Namespace, Subsystem: subsystem, Name: name, Help: help}, read)
	}
	return []prometheus.Collector{
		gauge("leads", "1 where this controller is the leader.", func() float64 {
			if c.replica.Status().Role == consensus.Leader {
				return 1
			}
			return 0
		}),
		gauge("term", "Term of the group.", func() float64 { return float64(c.replica.Status().Term) }),
		gauge("voters", "Members of the group that vote.", func() float64 { return float64(c.replica.Status().Membership.Voters()) }),
		gauge("leader_silence_seconds", "Time since a leader was heard; zero at the leader.", func() float64 { return c.leaderSilence().Seconds() }),
		gauge("sessions", "Gateways with a session here.", func() float64 { return float64(c.sessionCount()) }),
		gauge("instances", "Back ends that the leader knows.", func() float64 {
			if instances := c.view.Load().instances; instances != nil {
				return float64(len(instances.set))
			}
			return 0
		}),
		gauge("evacuated_zones", "Zones whose back ends are to get nothing, as published last.", func() float64 {
			return float64(len(c.view.Load().evacuated))
		}),
		gauge("suspects", "Requests under which back ends have ended and which were not answered since, as published last.", func() float64 {
			return float64(len(c.view.Load().suspects))
		}),
		gauge("configuration_version", "Version of the configuration that was published last.", func() float64 {
			if document := c.view.Load().document; document != nil {
				return float64(document.Value.Version)
			}
			return 0
		}),
	}
}

func (c *Controller) leaderSilence() time.Duration {
	status := c.replica.Status()
	if status.Role == consensus.Leader {
		return 0
	}
	return c.replica.Now() - status.LeaderHeardAt
}

func (c *Controller) sessionCount() int {
	c.sessionsMutex.Lock()
	defer c.sessionsMutex.Unlock()
	return len(c.sessions)
}
