package experiment

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReportShowsEveryPolicyAndMeasure(t *testing.T) {
	var results []*Result
	for _, policy := range []string{"quartzdock", "consistent"} {
		results = append(results, emulateOnce(t, "small", "leave", policy, 1))
	}
	folder := t.TempDir()
	assert.NilError(t, writeReport(folder, results))
	page, err := os.ReadFile(filepath.Join(folder, "index.html"))
	assert.NilError(t, err)
	for _, wanted := range []string{"At a glance", "consistent", "<tr class=\"ours\">", "small-leave-imbalance.svg", "small-leave-churn.svg", "small-leave-unavailable.svg"} {
		assert.Assert(t, strings.Contains(string(page), wanted), "%q is missing", wanted)
	}
	plots, err := filepath.Glob(filepath.Join(folder, "*.svg"))
	assert.NilError(t, err)
	assert.Equal(t, len(plots), len(measurePlots))
}
