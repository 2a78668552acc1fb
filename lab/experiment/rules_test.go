package experiment

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/lab/deployment"
)

// Before the coordinator decided again when a move ended, a drain of 34 shards
// took 9 s, and the leaving back end took work until its end.
func TestLeavingBackEndTakesNoNewWorkAfterAFewSeconds(t *testing.T) {
	for _, name := range []string{"gatukarta", "roamlink"} {
		result := emulateOnce(t, name, "leave", "quartzdock", 1)
		assert.Equal(t, len(result.Violations), 0, "%s: %v", name, result.Violations)
	}
}

// Equal in all but the weights, Roamlink's moves fewer keys and Gatukarta's
// leaves shards unavailable for less.
func TestWeightsAloneTradeChurnForUnavailableTime(t *testing.T) {
	loaded, err := deployment.Load("small")
	assert.NilError(t, err)
	scenario, err := LoadScenario("rolling-restart")
	assert.NilError(t, err)
	run := func(weights deployment.Weights) *Result {
		result, err := Emulate(Config{
			Deployment: loaded, Scenario: scenario, Policy: Policies()[0], Seed: 1, Weights: &weights,
		})
		assert.NilError(t, err)
		assert.Equal(t, len(result.Violations), 0, "%v", result.Violations)
		return result
	}
	roamlink := run(deployment.Weights{Imbalance: 1, Churn: 3, Unavailable: 2})
	gatukarta := run(deployment.Weights{Imbalance: 1, Churn: 1, Unavailable: 3})
	assert.Assert(t, roamlink.ChurnKeys < gatukarta.ChurnKeys, "%d and %d keys", roamlink.ChurnKeys, gatukarta.ChurnKeys)
	assert.Assert(t, gatukarta.UnavailableKeyMillis < roamlink.UnavailableKeyMillis)
}

// One key wants more than a back end has. No placement helps it, but the other
// keys are served, and the operator is told.
func TestKeyThatOutgrowsABackEndIsReportedAndShedAlone(t *testing.T) {
	loaded, err := deployment.Load("small")
	assert.NilError(t, err)
	scenario, err := ParseScenario([]byte(`
name: undividable
warmup: 15s
duration: 30s
events:
  - {kind: rate, at: 5s, for: 25s, factor: 20}
  - {kind: hot, at: 5s, for: 25s, keys: 1, share: 0.9}
`))
	assert.NilError(t, err)
	e, err := prepare(Config{Deployment: loaded, Scenario: scenario, Policy: Policies()[0], Seed: 1})
	assert.NilError(t, err)
	e.queue.run(scenario.Duration - time.Second)
	offered := e.offeredSlots()
	slots := float64(e.service.Backend.Slots)
	assert.Assert(t, 0.9*offered > slots, "the key wants %.1f of %.0f slots", 0.9*offered, slots)
	assert.Assert(t, slices.ContainsFunc(e.leader.coordinator.Findings(), func(finding placement.Finding) bool {
		return finding.Kind == placement.FindingUndividable
	}))
	result := e.measures.result()
	assert.Assert(t, result.Shed > 0)
	excess := (0.9*offered - slots) / offered
	unanswered := 1 - float64(result.Answered)/float64(result.Requests)
	assert.Assert(t, unanswered < excess+0.05, "%.3f of the requests have no answer, %.3f must", unanswered, excess)
}
