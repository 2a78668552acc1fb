package hollow

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/lab/fleet"
)

// TestSmallFleetClimbsLadders runs the tool against real controllers at a small
// size. Each rung checks one owner per shard, that no table went back, and that
// all nodes are at the last revision. No time is asserted.
func TestSmallFleetClimbsLadders(t *testing.T) {
	binaries, err := fleet.Build(t.Context(), t.TempDir())
	assert.NilError(t, err)
	plan := Plan{Controllers: 3, Agents: 60, Routers: 3, Services: 4, Shards: 600}
	settings := Settings{
		Binaries: binaries, Folder: t.TempDir(), Window: 500 * time.Millisecond,
		LoadEvery: 4, Requests: 67, Propagations: 1, Seed: 1,
	}
	sizes := map[string][]int{"loss": {1, 2, 3}, "storm": {1, 10, 20}}
	if !testing.Short() {
		sizes["changes"] = []int{0, 120, 240}
		sizes["shifts"] = []int{0, 120, 240}
		sizes["nodes"] = []int{20, 30, 40}
	}
	for name, rungs := range sizes {
		t.Run(name, func(t *testing.T) {
			chosen, err := ladderNamed(name)
			assert.NilError(t, err)
			var progress, table strings.Builder
			result, err := chosen.climb(t.Context(), plan, settings, rungs, &progress)
			assert.NilError(t, err, "%s", progress.String())
			assert.Equal(t, len(result.Rows), len(rungs))
			result.write(&table)
			assert.Assert(t, strings.Contains(table.String(), "slope"))
		})
	}
}
