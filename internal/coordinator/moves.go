package coordinator

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// progress returns what is known of a shard's move. It begins anew with each
// phase and epoch; now is the begin of a move that was not known.
func (c *Coordinator) progress(shard topology.Shard, now time.Duration) *move {
	known, ok := c.moves[shard.ID]
	if ok && known.epoch == shard.Epoch && known.phase == shard.Phase {
		return known
	}
	begun := &move{epoch: shard.Epoch, phase: shard.Phase, since: now}
	c.moves[shard.ID] = begun
	return begun
}

// advanceMoves returns the next steps of the moves in progress.
func (c *Coordinator) advanceMoves(now time.Duration) []controlstate.OwnershipChange {
	moving := c.state.Moving()
	if len(moving) == 0 {
		clear(c.moves)
		return nil
	}
	var steps []controlstate.OwnershipChange
	for _, id := range moving {
		shard, _ := c.state.Shard(id)
		if step, ok := c.advance(shard, now); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

func (c *Coordinator) advance(shard topology.Shard, now time.Duration) (controlstate.OwnershipChange, bool) {
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
	if reason := c.obstacle(shard, known, now); reason != "" {
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
// ready. While long requests run the owner serves on, as the shard would be
// unavailable until they end; patience with them is bounded.
func (c *Coordinator) mayRelease(shard topology.Shard, known *move, now time.Duration) bool {
	if c.loads.LongRunning(shard.ID) == 0 {
		return true
	}
	patience := c.config.ReleasePatience
	if c.leaves(shard.Owner) {
		patience = min(patience, leavingPatience)
	}
	return now >= known.since+patience
}

// leaves reports whether a back end is to hold no shards for long any more.
func (c *Coordinator) leaves(id topology.BackendID) bool {
	info, _ := c.state.Backend(id)
	known, attached := c.agents[id]
	return info.State != topology.BackendActive || c.machines[id] || attached && known.leaving
}

// obstacle returns why a move cannot go on, or nothing.
func (c *Coordinator) obstacle(shard topology.Shard, known *move, now time.Duration) string {
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
		return overdue(now-known.since, c.drainLimit(shard.ID.Service)+releaseSlack, "owner did not release")
	}
	if known.failure != "" {
		return "target cannot prepare: " + known.failure
	}
	if target.State != topology.BackendActive {
		return fmt.Sprintf("target %s is draining", target.Name)
	}
	return overdue(now-known.since, c.config.WarmLimit, "target was not ready")
}

func overdue(waited, limit time.Duration, what string) string {
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
