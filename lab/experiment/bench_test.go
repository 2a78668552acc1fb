package experiment

import (
	"testing"

	"github.com/quartzdock/quartzdock/lab/deployment"
)

// BenchmarkEmulate gives the time of one run of the hot-key scenario.
func BenchmarkEmulate(b *testing.B) {
	loaded, err := deployment.Load("gatukarta")
	if err != nil {
		b.Fatal(err)
	}
	scenario, err := LoadScenario("hot-key")
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Emulate(Config{Deployment: loaded, Scenario: scenario, Policy: Policies()[0], Seed: 1}); err != nil {
			b.Fatal(err)
		}
	}
}
