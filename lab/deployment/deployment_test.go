package deployment_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/deployment"
)

func TestBuiltInDeploymentsFitTheirSlots(t *testing.T) {
	for _, name := range []string{"small", "gatukarta", "roamlink"} {
		loaded, err := deployment.Load(name)
		assert.NilError(t, err)
		assert.Equal(t, loaded.Name, name)
		for _, service := range loaded.Services {
			slots := float64(service.Backend.Slots) * float64(service.Backends)
			assert.Assert(t, service.BusySlots() < 0.7*slots, "%s/%s", name, service.Name)
		}
	}
}

func TestAllFindingsAreReportedTogether(t *testing.T) {
	_, err := deployment.Parse([]byte("name: x\nzones: [a]\ncontrollers: 0\nrouters: 1\nservices: [{name: a}]\n"))
	assert.ErrorContains(t, err, "controllers: 0")
	assert.ErrorContains(t, err, "services[0].shards")
	assert.ErrorContains(t, err, "services[0].operations")
}

func TestUnknownFieldIsRefused(t *testing.T) {
	_, err := deployment.Parse([]byte("name: x\nunknown_field: 1\n"))
	assert.ErrorContains(t, err, "unknown_field")
}
