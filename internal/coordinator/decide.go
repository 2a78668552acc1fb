package coordinator

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// loadMoveWindow is the period over which the number of a service's load moves
// is limited.
const loadMoveWindow = time.Minute

// Tick returns the next batch to propose, if there is one. The caller calls
// BatchDone for each batch. unixMilli is the wall-clock time, in which announced
// load shifts are specified.
func (c *Coordinator) Tick(now time.Duration, unixMilli int64) (controlstate.Command, bool) {
	if !c.leading {
		return controlstate.Command{}, false
	}
	c.detectExpiredLeases(now)
	c.updateDecisionPause(now)
	if c.inFlight != nil {
		return controlstate.Command{}, false
	}
	if len(c.queued) > 0 {
		return c.propose(nil, unixMilli), true
	}
	steps := c.advanceMoves(now)
	if c.decisionDue(now) {
		steps = c.appendDecidedMoves(steps, now, unixMilli)
	}
	if len(steps) == 0 {
		return controlstate.Command{}, false
	}
	return c.propose(steps, unixMilli), true
}

// decisionDue reports whether placement is to be evaluated now: at its interval,
// sooner after a loss or a change, and after a move has ended while others are
// deferred by the limit on concurrent moves; but not before the pause after the
// last decision is over.
func (c *Coordinator) decisionDue(now time.Duration) bool {
	pause := c.decisionPause
	if c.lossSinceDecision {
		pause = c.lossDecisionPause
	}
	if now < c.lastDecisionAt+pause {
		return false
	}
	return now >= c.nextDecisionAt || (c.moveEnded && c.decision.Deferred > 0)
}

// The largest share of the time that is spent on placement decisions, in general
// and after the loss of a back end. The share after a loss is larger because the
// leases of a lost zone end spread over one renewal interval, and the shards
// whose leases end last should not wait long for a new owner.
const (
	decisionTimeShare     = 0.25
	lossDecisionTimeShare = 0.5
)

// updateDecisionPause sets the pause after a decision in proportion to its
// duration, which is the time until the next tick. While many back ends join and
// leave, each of them triggers a decision; without the pause, the decisions of a
// large fleet left no time for renewals and heartbeats, so that more leases
// expired.
func (c *Coordinator) updateDecisionPause(now time.Duration) {
	if !c.durationPending {
		return
	}
	c.durationPending = false
	took := float64(now - c.lastDecisionAt)
	pause := func(share float64) time.Duration {
		return min(max(time.Duration(took/share), c.config.MinDecisionInterval), c.config.DecisionInterval)
	}
	c.decisionPause, c.lossDecisionPause = pause(decisionTimeShare), pause(lossDecisionTimeShare)
}

// propose appends steps to the queue and returns its first changes as the next
// batch. The size limit keeps a batch from blocking the log, and with it the
// leader's heartbeats: a batch of all shards took longer than an election
// timeout. The lease of an owner that loses a shard is not renewed while the
// change is queued or in flight.
func (c *Coordinator) propose(steps []controlstate.OwnershipChange, unixMilli int64) controlstate.Command {
	for index := range steps {
		c.markRevoking(&steps[index])
	}
	c.queued = append(c.queued, steps...)
	count := min(len(c.queued), MaxBatchSize)
	c.inFlight = &controlstate.ChangeOwnership{Changes: c.queued[:count:count]}
	c.queued = c.queued[count:]
	c.statistics.BatchesProposed++
	return controlstate.Command{UnixMilli: unixMilli, ChangeOwnership: c.inFlight}
}

func (c *Coordinator) markRevoking(step *controlstate.OwnershipChange) {
	shard, _ := c.state.Shard(step.Shard)
	if step.Event == ownership.EventAssign && shard.Owner != 0 {
		c.revoking[shard.Owner] = true
	}
}

// BatchDone reports that the batch in flight was applied, or that it can no
// longer be applied. While the outcome is unknown, the caller waits or steps
// down.
func (c *Coordinator) BatchDone(now time.Duration) {
	if c.inFlight == nil {
		return
	}
	c.inFlight = nil
	if len(c.queued) == 0 {
		clear(c.revoking)
	}
}

// ConfigurationChanged reports that a configuration change was applied.
func (c *Coordinator) ConfigurationChanged(now time.Duration) {
	c.nextDecisionAt = now
	c.revisions.add(c.state.Revision(), now)
	c.dropRemovedBackends(now)
}

// dropRemovedBackends forgets the agents of back ends that were removed.
func (c *Coordinator) dropRemovedBackends(now time.Duration) {
	for id := range c.agents {
		if _, exists := c.state.Backend(id); !exists {
			delete(c.agents, id)
			c.backendRemovedAt = now
		}
	}
}

// ShardsChanged reports which shards a batch of this leader has changed. It must
// be called before BatchDone.
func (c *Coordinator) ShardsChanged(changed []topology.Shard, now time.Duration) {
	if !c.leading {
		return
	}
	c.revisions.add(c.state.Revision(), now)
	for _, shard := range changed {
		c.recordShardChange(shard, now)
	}
	if c.inFlight == nil {
		return
	}
	for index := range c.inFlight.Changes {
		c.updateLoadsForResharding(&c.inFlight.Changes[index], changed)
	}
}

// recordShardChange records a new owner, a new shard or the end of a move.
func (c *Coordinator) recordShardChange(shard topology.Shard, now time.Duration) {
	previous, seen := c.owners[shard.ID]
	c.moveEnded = c.moveEnded || shard.Phase == topology.ShardOwned
	c.owners[shard.ID] = shard.Owner
	switch {
	case !seen && shard.Epoch > 1:
		c.createdAt[shard.ID] = now
	case previous != shard.Owner:
		c.lastMoved[shard.ID] = now
	}
}

// updateLoadsForResharding splits or merges the observed load along with the
// shard.
func (c *Coordinator) updateLoadsForResharding(step *controlstate.OwnershipChange, changed []topology.Shard) {
	switch step.Event {
	case ownership.EventSplit:
		right := slices.IndexFunc(changed, func(shard topology.Shard) bool {
			return shard.ID.Service == step.Shard.Service && shard.Start == step.SplitAt
		})
		if right >= 0 {
			c.lastMoved[changed[right].ID] = c.lastMoved[step.Shard]
			c.loads.Split(step.Shard, changed[right].ID, step.SplitAt, c.leftShare(step.Shard, changed[right].ID))
		}
	case ownership.EventMerge:
		ended := topology.ShardID{Service: step.Shard.Service, Shard: step.MergeWith}
		if _, exists := c.state.Shard(ended); !exists {
			c.loads.Merge(step.Shard, ended)
			delete(c.owners, ended)
			delete(c.lastMoved, ended)
			delete(c.createdAt, ended)
		}
	}
}

// leftShare returns the fraction of the combined key range of two neighbours
// that belongs to the left one.
func (c *Coordinator) leftShare(left, right topology.ShardID) float64 {
	leftShard, _ := c.state.Shard(left)
	rightShard, _ := c.state.Shard(right)
	end := c.state.RangeEnd(right)
	leftWidth := float64(rightShard.Start - leftShard.Start)
	return leftWidth / (leftWidth + float64(end-rightShard.Start))
}

// appendDecidedMoves evaluates placement and appends the decided moves to steps,
// except for shards that steps already changes.
func (c *Coordinator) appendDecidedMoves(steps []controlstate.OwnershipChange, now time.Duration, unixMilli int64) []controlstate.OwnershipChange {
	c.nextDecisionAt = now + c.config.DecisionInterval
	if !c.livenessKnown(now) {
		c.nextDecisionAt = now
		return steps
	}
	c.decision = c.config.Evaluate(c.placementInput(now, unixMilli))
	c.lastDecisionAt = now
	c.durationPending = true
	c.lossSinceDecision = false
	c.moveEnded = false
	taken := make(map[topology.ShardID]bool, len(steps))
	for _, step := range steps {
		taken[step.Shard] = true
	}
	for index := range c.decision.Moves {
		decided := &c.decision.Moves[index]
		if taken[decided.Shard] {
			continue
		}
		if step, ok := c.ownershipChange(decided, now); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// livenessKnown reports whether every back end has renewed its lease with this
// leader or has had enough time to.
func (c *Coordinator) livenessKnown(now time.Duration) bool {
	if now >= c.leases.Settled() {
		return true
	}
	for _, backend := range c.state.Backends() {
		if !c.leases.Live(backend.ID, now) {
			return false
		}
	}
	return true
}

// ownershipChange converts a decided move into an ownership change and reports
// whether it is allowed now.
func (c *Coordinator) ownershipChange(decided *placement.Move, now time.Duration) (controlstate.OwnershipChange, bool) {
	shard, known := c.state.Shard(decided.Shard)
	step := controlstate.OwnershipChange{
		Shard:  decided.Shard,
		Epoch:  shard.Epoch,
		To:     decided.To,
		Reason: decided.Reason,
	}
	if !known {
		return step, false
	}
	allowed := true
	switch decided.Kind {
	case placement.KindAssign, placement.KindRecover:
		step.Event = ownership.EventAssign
		allowed = c.mayAssign(shard, now)
	case placement.KindDrain, placement.KindBalance:
		step.Event = ownership.EventBeginMove
		c.recordLoadMove(decided, now)
	case placement.KindSplit:
		step.Event = ownership.EventSplit
		step.SplitAt = decided.SplitAt
	case placement.KindMerge:
		step.Event = ownership.EventMerge
		step.MergeWith = decided.MergeWith
		right := topology.ShardID{Service: decided.Shard.Service, Shard: decided.MergeWith}
		neighbour, _ := c.state.Shard(right)
		step.MergeWithEpoch = neighbour.Epoch
	default:
		allowed = false
	}
	if allowed {
		c.statistics.MovesByKind[decided.Kind.String()]++
	}
	return step, allowed
}

// mayAssign reports whether a shard may be assigned although no owner has
// released it: it has no owner, or its owner's lease has certainly ended.
func (c *Coordinator) mayAssign(shard topology.Shard, now time.Duration) bool {
	if shard.Owner == 0 {
		return c.mayAssignUnowned(shard, now)
	}
	return c.leases.Lapsed(shard.Owner, now)
}

func (c *Coordinator) recordLoadMove(decided *placement.Move, now time.Duration) {
	if decided.Kind != placement.KindBalance {
		return
	}
	id := decided.Shard.Service
	c.loadMoves[id] = append(c.loadMoves[id], now)
}

// recentLoadMoves counts the load moves of a service within the last minute.
func (c *Coordinator) recentLoadMoves(id topology.ServiceID, now time.Duration) uint32 {
	recent := c.loadMoves[id]
	for len(recent) > 0 && recent[0] <= now-loadMoveWindow {
		recent = recent[1:]
	}
	c.loadMoves[id] = recent
	return uint32(len(recent))
}
