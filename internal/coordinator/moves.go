package coordinator

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// progress returns the progress of a shard's move, which is reset in each new
// phase and epoch. now is recorded as the start time of a new phase; if it is
// zero, nextStep sets the start time later.
func (c *Coordinator) progress(shard topology.Shard, now time.Duration) *move {
	known, ok := c.moves[shard.ID]
	if ok && known.epoch == shard.Epoch && known.phase == shard.Phase {
		return known
	}
	begun := &move{epoch: shard.Epoch, phase: shard.Phase, since: now}
	c.moves[shard.ID] = begun
	return begun
}

// advanceMoves returns the next steps of all moves in progress.
func (c *Coordinator) advanceMoves(now time.Duration) []controlstate.OwnershipChange {
	moving := c.state.Moving()
	if len(moving) == 0 {
		clear(c.moves)
		return nil
	}
	var steps []controlstate.OwnershipChange
	for _, id := range moving {
		shard, _ := c.state.Shard(id)
		if step, ok := c.nextStep(shard, now); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// nextStep returns the next change of a move in progress, if one is due.
func (c *Coordinator) nextStep(shard topology.Shard, now time.Duration) (controlstate.OwnershipChange, bool) {
	step := controlstate.OwnershipChange{Shard: shard.ID, Epoch: shard.Epoch}
	known := c.progress(shard, now)
	if known.since == 0 {
		known.since = now
	}
	if known.released {
		step.Event = ownership.EventCompleteMove
		step.Reason = "owner released the shard"
		return step, true
	}
	if reason := c.cancelReason(shard, known, now); reason != "" {
		step.Event = ownership.EventCancelMove
		step.Reason = "move given up: " + reason
		c.statistics.MovesCancelled++
		return step, true
	}
	if known.warmed && c.mayRelease(shard, known, now) {
		step.Event = ownership.EventRelease
		step.Reason = "target is ready"
		return step, true
	}
	return step, false
}

// mayRelease reports whether the owner may stop serving a shard whose target is
// ready. While long-running requests are in progress, the owner keeps serving,
// because a released shard is unavailable until they end; this wait is bounded.
func (c *Coordinator) mayRelease(shard topology.Shard, known *move, now time.Duration) bool {
	if c.loads.LongRunning(shard.ID) == 0 {
		return true
	}
	maxWait := c.config.MaxReleaseWait
	if c.isLeaving(shard.Owner) {
		maxWait = min(maxWait, leavingMaxReleaseWait)
	}
	return now >= known.since+maxWait
}

// isLeaving reports whether a back end is being drained or about to stop.
func (c *Coordinator) isLeaving(id topology.BackendID) bool {
	info, _ := c.state.Backend(id)
	known, attached := c.agents[id]
	return info.State != topology.BackendActive || c.onLeavingMachine[id] || attached && known.leaving
}

// cancelReason returns why a move must be cancelled, or the empty string.
func (c *Coordinator) cancelReason(shard topology.Shard, known *move, now time.Duration) string {
	if c.leases.Lapsed(shard.Owner, now) {
		return "" // placement recovers the shard
	}
	target, exists := c.state.Backend(shard.Target)
	if !exists {
		return "target was removed"
	}
	if c.leases.Lapsed(shard.Target, now) {
		return fmt.Sprintf("target %s is lost", target.Name)
	}
	if shard.Phase == topology.ShardReleasing {
		return timeoutReason(now-known.since, c.drainLimit(shard.ID.Service)+releaseMargin, "owner did not release")
	}
	if known.failure != "" {
		return "target cannot prepare: " + known.failure
	}
	if target.State != topology.BackendActive {
		return fmt.Sprintf("target %s is draining", target.Name)
	}
	return timeoutReason(now-known.since, c.config.WarmLimit, "target was not ready")
}

func timeoutReason(waited, limit time.Duration, what string) string {
	if waited < limit {
		return ""
	}
	return fmt.Sprintf("%s within %s", what, limit)
}

func (c *Coordinator) drainLimit(id topology.ServiceID) time.Duration {
	service, _ := c.state.ServiceByID(id)
	if service.DrainLimit == 0 {
		return DefaultDrainLimit
	}
	return service.DrainLimit
}
