package agent

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// report fills the next renewal. It is called on the subscription's sending
// goroutine.
func (agent *Agent) report() wire.Renew {
	counts := agent.fitness.takeCounts()
	release := agent.mustRelease()
	if release && agent.releasing.Load() {
		agent.releaseReports.Add(1)
	}
	renew := wire.Renew{
		Release: release,
		Leaving: agent.leaving.Load(),
		Backend: wire.BackendLoad{
			Running:   uint32(agent.gate.Running()),
			Queued:    uint32(agent.gate.Waiting()),
			Failed:    counts.failed,
			Completed: counts.completed,
			Claimed:   agent.claimed.Load(),
		},
	}
	for _, shard := range agent.view.Load().shards {
		if load := shard.takeLoad(); load.Requests > 0 || load.LongRunning > 0 {
			renew.Load = append(renew.Load, load)
		}
	}
	return renew
}

// mustRelease says that the agent wants no lease and its back end can't act on
// grants of the last one any more.
func (agent *Agent) mustRelease() bool {
	ended := agent.now() >= time.Duration(agent.grantsPossibleUntil.Load())
	return ended && (agent.releasing.Load() || !agent.wantLease.Load())
}
