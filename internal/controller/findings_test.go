package controller

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/placement"
)

func TestFindingIsLoggedOnceAndWhenItClears(t *testing.T) {
	var logged bytes.Buffer
	gauges := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "findings"}, []string{"kind"})
	tracker := newFindings(slog.New(slog.NewTextHandler(&logged, nil)), gauges)
	finding := placement.Finding{Kind: placement.FindingZoneHeadroom, Service: 1, Text: "90 slots are busy"}
	tracker.update([]placement.Finding{finding}, time.Second)
	finding.Text = "91 slots are busy"
	tracker.update(nil, 2*time.Second)
	tracker.update([]placement.Finding{finding}, 3*time.Second)
	assert.Equal(t, strings.Count(logged.String(), "\n"), 1, logged.String())
	assert.Equal(t, testutil.ToFloat64(gauges.WithLabelValues("zone-headroom")), 1.0)
	tracker.update(nil, 3*time.Second+findingRetention)
	assert.Assert(t, strings.Contains(logged.String(), "finding cleared"))
	assert.Equal(t, testutil.ToFloat64(gauges.WithLabelValues("zone-headroom")), 0.0)
}
