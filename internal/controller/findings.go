package controller

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// findingRetention is how long a finding stays active after placement last
// reported it, so that one that comes and goes is logged once.
const findingRetention = time.Minute

// findingKey identifies a finding regardless of the figures in its text.
type findingKey struct {
	kind    placement.FindingKind
	service topology.ServiceID
	shard   topology.ShardID
	backend topology.BackendID
}

// findings reports what placement found to operators: a gauge per kind, and a
// log line when a finding appears or clears. It is accessed only on the control
// goroutine.
type findings struct {
	log      *slog.Logger
	gauges   *prometheus.GaugeVec
	lastSeen map[findingKey]time.Duration
}

func newFindings(log *slog.Logger, gauges *prometheus.GaugeVec) *findings {
	return &findings{log: log, gauges: gauges, lastSeen: make(map[findingKey]time.Duration)}
}

// update processes the findings of the latest placement decision.
func (f *findings) update(found []placement.Finding, now time.Duration) {
	for _, finding := range found {
		key := findingKey{finding.Kind, finding.Service, finding.Shard, finding.Backend}
		if _, known := f.lastSeen[key]; !known {
			f.log.Warn("placement finding", "kind", finding.Kind.String(), "service", finding.Service, "text", finding.Text)
			f.gauges.WithLabelValues(finding.Kind.String()).Inc()
		}
		f.lastSeen[key] = now
	}
	for key, last := range f.lastSeen {
		if now-last < findingRetention {
			continue
		}
		delete(f.lastSeen, key)
		f.log.Info("placement finding cleared", "kind", key.kind.String(), "service", key.service)
		f.gauges.WithLabelValues(key.kind.String()).Dec()
	}
}
