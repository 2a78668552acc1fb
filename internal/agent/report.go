package agent

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/wire"
)

// loadInterval is how often an agent reports load. Failures are reported with the
// next renewal, and all load with each one while shards move from here, because a
// move waits until no long request is reported. Renewals are more frequent:
// with a report in each, the reports alone would be more than a node may spend.
const loadInterval = 500 * time.Millisecond

// report fills the next renewal. It is called on the subscription's sending
// goroutine.
func (agent *Agent) report() wire.Renew {
	release := agent.mustRelease()
	if release && agent.releasing.Load() {
		agent.releaseReports.Add(1)
	}
	renew := wire.Renew{Release: release, Leaving: agent.leaving.Load()}
	now := agent.now()
	if now < agent.loadDue && !agent.fitness.hasFailures() && agent.moving.Load() == 0 {
		renew.LoadOmitted = true
		return renew
	}
	agent.loadDue = now + loadInterval
	agent.reportLoad(&renew)
	return renew
}

// reportLoad adds what was observed since the last report.
func (agent *Agent) reportLoad(renew *wire.Renew) {
	counts := agent.fitness.takeCounts()
	renew.Backend = wire.BackendLoad{
		Running:   uint32(agent.gate.Running()),
		Queued:    uint32(agent.gate.Waiting()),
		Failed:    counts.failed,
		Completed: counts.completed,
		Claimed:   agent.claimed.Load(),
	}
	for _, shard := range agent.view.Load().shards {
		if load := shard.takeLoad(); load.Requests > 0 || load.LongRunning > 0 {
			renew.Load = append(renew.Load, load)
		}
	}
}

// mustRelease says that the agent wants no lease and its back end can't act on
// grants of the last one any more.
func (agent *Agent) mustRelease() bool {
	ended := agent.now() >= time.Duration(agent.grantsPossibleUntil.Load())
	return ended && (agent.releasing.Load() || !agent.wantLease.Load())
}
