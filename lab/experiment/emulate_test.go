package experiment

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/deployment"
)

// emulateOnce runs a built-in scenario of a built-in deployment.
func emulateOnce(t *testing.T, deploymentName, scenarioName, policyName string, seed uint64) *Result {
	t.Helper()
	loaded, err := deployment.Load(deploymentName)
	assert.NilError(t, err)
	scenario, err := LoadScenario(scenarioName)
	assert.NilError(t, err)
	policy, err := PolicyByName(policyName)
	assert.NilError(t, err)
	result, err := Emulate(Config{Deployment: loaded, Scenario: scenario, Policy: policy, Seed: seed})
	assert.NilError(t, err)
	return result
}

func TestEveryBuiltInScenarioIsValid(t *testing.T) {
	for _, name := range ScenarioNames {
		scenario, err := LoadScenario(name)
		assert.NilError(t, err)
		assert.Equal(t, scenario.Name, name)
	}
}

func TestEqualSeedGivesEqualOutput(t *testing.T) {
	first := emulateOnce(t, "small", "together", "quartzdock", 7)
	second := emulateOnce(t, "small", "together", "quartzdock", 7)
	firstText, err := json.Marshal(first)
	assert.NilError(t, err)
	secondText, err := json.Marshal(second)
	assert.NilError(t, err)
	assert.Equal(t, string(firstText), string(secondText))
	assert.Assert(t, first.Requests > 0 && first.OwnerChanges > 0)
}

func TestBaselinesMeetTheSameRequests(t *testing.T) {
	ours := emulateOnce(t, "small", "hot-key", "quartzdock", 3)
	theirs := emulateOnce(t, "small", "hot-key", "modulo", 3)
	assert.Equal(t, ours.Requests, theirs.Requests)
}

func TestEventQueueKeepsOrder(t *testing.T) {
	var queue eventQueue
	var order []int
	queue.at(2*time.Second, func() { order = append(order, 3) })
	queue.at(time.Second, func() { order = append(order, 1) })
	queue.at(time.Second, func() { order = append(order, 2) })
	queue.run(3 * time.Second)
	assert.DeepEqual(t, order, []int{1, 2, 3})
	assert.Equal(t, queue.now, 3*time.Second)
}
