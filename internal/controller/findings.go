package controller

import (
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// findingHeld is how long a finding counts after placement last had it, so that
// one that comes and goes is told once.
const findingHeld = time.Minute

// findingKey tells findings apart, whatever figures their texts hold.
type findingKey struct {
	kind    placement.FindingKind
	service topology.ServiceID
	shard   topology.ShardID
	backend topology.BackendID
}

// findings tells operators what placement found: a gauge per kind, and a line
// when a finding comes or is gone. The control goroutine owns it.
type findings struct {
	log    *slog.Logger
	gauges *prometheus.GaugeVec
	seen   map[findingKey]time.Duration
}

func newFindings(log *slog.Logger, gauges *prometheus.GaugeVec) *findings {
	return &findings{log: log, gauges: gauges, seen: make(map[findingKey]time.Duration)}
}

// update takes the findings of the latest decision.
func (f *findings) update(found []placement.Finding, now time.Duration) {
	for _, finding := range found {
		key := findingKey{finding.Kind, finding.Service, finding.Shard, finding.Backend}
		if _, known := f.seen[key]; !known {
			f.log.Warn("placement finding", "kind", finding.Kind.String(), "service", finding.Service, "text", finding.Text)
			f.gauges.WithLabelValues(finding.Kind.String()).Inc()
		}
		f.seen[key] = now
	}
	for key, last := range f.seen {
		if now-last < findingHeld {
			continue
		}
		delete(f.seen, key)
		f.log.Info("placement finding is gone", "kind", key.kind.String(), "service", key.service)
		f.gauges.WithLabelValues(key.kind.String()).Dec()
	}
}
