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

func TestFindingIsToldOnceAndWhenItIsGone(t *testing.T) {
	var lines bytes.Buffer
	gauges := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "findings"}, []string{"kind"})
	told := newFindings(slog.New(slog.NewTextHandler(&lines, nil)), gauges)
	finding := placement.Finding{Kind: placement.FindingZoneHeadroom, Service: 1, Text: "90 slots are busy"}
	told.update([]placement.Finding{finding}, time.Second)
	finding.Text = "91 slots are busy"
	told.update(nil, 2*time.Second)
	told.update([]placement.Finding{finding}, 3*time.Second)
	assert.Equal(t, strings.Count(lines.String(), "\n"), 1, lines.String())
	assert.Equal(t, testutil.ToFloat64(gauges.WithLabelValues("zone-headroom")), 1.0)
	told.update(nil, 3*time.Second+findingHeld)
	assert.Assert(t, strings.Contains(lines.String(), "is gone"))
	assert.Equal(t, testutil.ToFloat64(gauges.WithLabelValues("zone-headroom")), 0.0)
}
