package agent

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// loadInterval is how often an agent reports load. Two cases are reported with
// the next renewal instead: failures, and all load while shards move away,
// because a move waits until no long-running request is reported. Renewals are
// more frequent: reporting load with each would alone exceed the resource
// budget of a node.
const loadInterval = 500 * time.Millisecond

// report fills in the next renewal. The subscription's sending goroutine calls
// it.
func (agent *Agent) report() wire.Renew {
	release := agent.leaseReleasable()
	if release && agent.releasingLease.Load() {
		agent.releaseReports.Add(1)
	}
	renew := wire.Renew{Release: release, Leaving: agent.leaving.Load()}
	now := agent.now()
	if now < agent.nextLoadReport && !agent.fitness.hasFailures() && agent.movingShards.Load() == 0 {
		renew.LoadOmitted = true
		return renew
	}
	agent.nextLoadReport = now + loadInterval
	agent.reportLoad(&renew)
	return renew
}

// reportLoad adds the load since the last report.
func (agent *Agent) reportLoad(renew *wire.Renew) {
	counts := agent.fitness.takeCounts()
	renew.Backend = wire.BackendLoad{
		Running:   uint32(agent.gate.Running()),
		Queued:    uint32(agent.gate.Waiting()),
		Failed:    counts.failed,
		Completed: counts.completed,
		Claimed:   agent.reportedBusy.Load(),
	}
	for _, shard := range agent.view.Load().shards {
		if load := shard.takeLoad(); load.Requests > 0 || load.LongRunning > 0 {
			renew.Load = append(renew.Load, load)
		}
	}
}

// leaseReleasable reports whether the agent wants no lease and its back end can
// no longer act on the grants made under the last one.
func (agent *Agent) leaseReleasable() bool {
	ended := agent.now() >= time.Duration(agent.grantsPossibleUntil.Load())
	return ended && (agent.releasingLease.Load() || !agent.wantLease.Load())
}
