package simulate

import (
	"context"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/deployment"
)

const simulated = 60 * time.Second

// config returns a simulation of a deployment under a built-in plan.
func config(t *testing.T, deployed, plan string) Config {
	t.Helper()
	described, err := deployment.Load(deployed)
	assert.NilError(t, err)
	faults, err := LoadFaults(plan)
	assert.NilError(t, err)
	return Config{Seed: 1, Duration: simulated, Deployment: described, Faults: faults}
}

func parallel() int { return max(runtime.NumCPU()/2, 1) }

// TestPromisesHold runs a share of the seeds that are run by hand, over both
// users' deployments and both plans.
func TestPromisesHold(t *testing.T) {
	seeds := 30
	if testing.Short() {
		seeds = 6
	}
	for _, deployed := range []string{"gatukarta", "roamlink"} {
		for _, plan := range []string{PlanAll, PlanElections} {
			t.Run(deployed+"/"+plan, func(t *testing.T) {
				tried := config(t, deployed, plan)
				results, err := Run(t.Context(), tried, seeds, parallel())
				assert.NilError(t, err)
				total := Sum(results)
				for _, result := range results {
					assert.Equal(t, result.Violated(), 0, "seed %d: %+v", result.Seed, result.Examples)
				}
				assert.Assert(t, total.Answered > 0 && total.Changes > 0 && total.InForce > 0)
				assertEveryKind(t, tried.Faults, total, seeds)
			})
		}
	}
}

// assertEveryKind checks that each kind of fault of the plan was injected.
func assertEveryKind(t *testing.T, plan *FaultPlan, total *Total, seeds int) {
	t.Helper()
	if seeds < 10 {
		return
	}
	for _, fault := range plan.Faults {
		assert.Assert(t, total.Faults[fault.Kind] > 0, "%s was never injected", fault.Kind)
	}
}

// TestEveryDefectIsCaught switches the defects on, one at a time, and goes
// through seeds until one shows the promise broken that the defect breaks.
func TestEveryDefectIsCaught(t *testing.T) {
	for _, defect := range Defects {
		t.Run(string(defect.Name), func(t *testing.T) {
			tried := config(t, "gatukarta", defect.Plan)
			tried.Defect = defect.Name
			const mostSeeds = 240
			for tried.Seed < mostSeeds {
				results, err := Run(t.Context(), tried, parallel(), parallel())
				assert.NilError(t, err)
				if Sum(results).Violations[defect.Breaks] > 0 {
					return
				}
				tried.Seed += uint64(parallel())
			}
			t.Fatalf("%s did not break %s in %d seeds", defect.Name, defect.Breaks, mostSeeds)
		})
	}
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	tried := config(t, "gatukarta", PlanAll)
	first, err := Simulate(tried)
	assert.NilError(t, err)
	second, err := Simulate(tried)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
	tried.Seed++
	other, err := Simulate(tried)
	assert.NilError(t, err)
	assert.Assert(t, other.Digest != first.Digest)
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Run(ctx, config(t, "gatukarta", PlanAll), 2, 1)
	assert.ErrorIs(t, err, context.Canceled)
}

func TestFaultPlanReportsAllFindings(t *testing.T) {
	plan := FaultPlan{Faults: []Fault{
		{Kind: "no_such", Every: time.Second},
		{Kind: CutZone, Least: 2, Most: 1},
	}}
	err := plan.validate()
	assert.ErrorContains(t, err, "no_such")
	assert.ErrorContains(t, err, "faults[1].every")
	assert.ErrorContains(t, err, "least 2ns, most 1ns")
}
