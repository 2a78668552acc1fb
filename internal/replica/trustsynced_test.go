package replica

import (
	"testing"

	"github.com/quartzdock/quartzdock/internal/topology"
	"gotest.tools/v3/assert"
)

// All members lose power and one also loses its disk. Without TrustSynced no member could ever
// vote again, since each would wait for a response of the lost one.
func TestTrustSyncedGroupSurvivesPowerLossWithOneDiskLost(t *testing.T) {
	g, disks, _ := newMemoryGroup(t, 3)
	for id, config := range g.configs {
		config.TrustSynced = true
		g.configs[id] = config
	}
	g.propose("acknowledged")
	lost := g.leader().Status().ID
	for id := range disks {
		g.kill(id)
		disks[id].Crash()
	}
	for id := range disks {
		if id != lost {
			g.start(id)
		}
	}
	g.propose("after")
	for id, machine := range g.machines {
		if id != lost {
			g.waitCommands(id, 2)
			assert.DeepEqual(t, machine.commands, []string{"acknowledged", "after"})
		}
	}
	assert.Assert(t, lost != topology.ReplicaID(0))
}
