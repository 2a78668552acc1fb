package hotkeys

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
)

func TestReporterReportsHotKeysPeriodicallyAndForgetsOldOnes(t *testing.T) {
	reporter := NewReporter()
	report := func(hot topology.KeyHash) []Frequency {
		var all []Frequency
		for number := range 80 {
			reporter.Add(hot)
			reporter.Add(topology.KeyHash(number))
			all = append(all, reporter.Report(4)...)
		}
		return all
	}
	assert.Equal(t, report(1000)[0].Key, topology.KeyHash(1000))
	for range 5 {
		report(2000)
	}
	for _, frequency := range report(2000) {
		assert.Equal(t, frequency.Key, topology.KeyHash(2000), "the previous hot key is forgotten")
	}
}

func TestReporterNeedsMinimumRequests(t *testing.T) {
	reporter := NewReporter()
	for range 2 * reportInterval {
		reporter.Add(1)
		assert.Equal(t, len(reporter.Report(4)), 0, "too few requests for a report")
	}
}
