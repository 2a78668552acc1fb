package coordinator

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// loadMoveWindow is the time over which a service's load moves are bounded.
const loadMoveWindow = time.Minute

// Tick returns the next batch to propose, or nothing. The caller answers each
// batch with BatchDone. UnixMilli is the wall clock, for marked load shifts.
func (c *Coordinator) Tick(now time.Duration, unixMilli int64) (controlstate.Command, bool) {
	if !c.leading {
		return controlstate.Command{}, false
	}
	c.findLost(now)
	c.notePause(now)
	if c.inFlight != nil {
		return controlstate.Command{}, false
	}
	if len(c.waiting) > 0 {
		return c.propose(nil, unixMilli), true
	}
	steps := c.advanceMoves(now)
	if c.decisionDue(now) {
		steps = c.addDecided(steps, now, unixMilli)
	}
	if len(steps) == 0 {
		return controlstate.Command{}, false
	}
	return c.propose(steps, unixMilli), true
}

// decisionDue reports whether placement is to be asked: at its interval, sooner
// after a loss or a change, and where a move has ended and others wait for its
// room; but not before the pause after the last decision has passed.
func (c *Coordinator) decisionDue(now time.Duration) bool {
	pause := c.pause
	if c.lossPending {
		pause = c.lossPause
	}
	if now < c.decidedAt+pause {
		return false
	}
	return now >= c.decideAt || (c.roomMade && c.decision.Waiting > 0)
}

// Bounds of the part of the time that decisions take up, in general and while
// back ends are lost: the leases of a zone end over one renewal interval, and
// the last of its shards are not to wait for long.
const (
	decisionShare = 0.25
	lossShare     = 0.5
)

// notePause sets the pause after a decision by how long that took: the next tick
// comes after it. While many back ends come and go, each is a reason to decide at
// once; without a pause the decisions of a large fleet left no time for renewals
// and heartbeats, so that more leases ended.
func (c *Coordinator) notePause(now time.Duration) {
	if !c.deciding {
		return
	}
	c.deciding = false
	took := float64(now - c.decidedAt)
	pause := func(share float64) time.Duration {
		return min(max(time.Duration(took/share), c.config.DecideAgain), c.config.DecideInterval)
	}
	c.pause, c.lossPause = pause(decisionShare), pause(lossShare)
}

// propose adds steps to those that wait and takes the first of them as the next
// batch. The bound keeps a batch from holding up the log, and with it the
// leader's heartbeats: a batch of all shards took longer than an election
// timeout. An owner that loses a shard by a step that waits gets no lease, as by
// one in flight.
func (c *Coordinator) propose(steps []controlstate.OwnershipChange, unixMilli int64) controlstate.Command {
	for index := range steps {
		c.noteRevoking(&steps[index])
	}
	c.waiting = append(c.waiting, steps...)
	count := min(len(c.waiting), MaximumBatch)
	c.inFlight = &controlstate.ChangeOwnership{Changes: c.waiting[:count:count]}
	c.waiting = c.waiting[count:]
	c.statistics.BatchesProposed++
	return controlstate.Command{UnixMilli: unixMilli, ChangeOwnership: c.inFlight}
}

func (c *Coordinator) noteRevoking(step *controlstate.OwnershipChange) {
	shard, _ := c.state.Shard(step.Shard)
	if step.Event == ownership.EventAssign && shard.Owner != 0 {
		c.revoking[shard.Owner] = true
	}
}

// BatchDone says that the batch in flight was applied, or that it certainly
// never will be. Where neither is known, the caller steps down or waits.
func (c *Coordinator) BatchDone(now time.Duration) {
	if c.inFlight == nil {
		return
	}
	c.inFlight = nil
	if len(c.waiting) == 0 {
		clear(c.revoking)
	}
}

// ConfigurationChanged says that an operator's change was applied.
func (c *Coordinator) ConfigurationChanged(now time.Duration) {
	c.decideAt = now
	c.commits.add(c.state.Revision(), now)
	c.forgetRemoved(now)
}

// forgetRemoved drops the agents of back ends that were removed.
func (c *Coordinator) forgetRemoved(now time.Duration) {
	for id := range c.agents {
		if _, exists := c.state.Backend(id); !exists {
			delete(c.agents, id)
			c.removedAt = now
		}
	}
}

// ShardsChanged says which shards a batch of this leader has changed. It is
// called before BatchDone.
func (c *Coordinator) ShardsChanged(changed []topology.Shard, now time.Duration) {
	if !c.leading {
		return
	}
	c.commits.add(c.state.Revision(), now)
	for _, shard := range changed {
		c.shardChanged(shard, now)
	}
	if c.inFlight == nil {
		return
	}
	for index := range c.inFlight.Changes {
		c.noteDivision(&c.inFlight.Changes[index], changed)
	}
}

// shardChanged notes a new owner or a new shard.
func (c *Coordinator) shardChanged(shard topology.Shard, now time.Duration) {
	previous, seen := c.owners[shard.ID]
	c.roomMade = c.roomMade || shard.Phase == topology.ShardOwned
	c.owners[shard.ID] = shard.Owner
	switch {
	case !seen && shard.Epoch > 1:
		c.createdAt[shard.ID] = now
	case previous != shard.Owner:
		c.lastMoved[shard.ID] = now
	}
}

// noteDivision divides or joins what was observed of a shard as the shard was.
func (c *Coordinator) noteDivision(step *controlstate.OwnershipChange, changed []topology.Shard) {
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

// leftShare is the part of two neighbours' common width that the left one has.
func (c *Coordinator) leftShare(left, right topology.ShardID) float64 {
	leftShard, _ := c.state.Shard(left)
	rightShard, _ := c.state.Shard(right)
	end := c.state.RangeEnd(right)
	leftWidth := float64(rightShard.Start - leftShard.Start)
	return leftWidth / (leftWidth + float64(end-rightShard.Start))
}

// addDecided adds what placement decides to steps, without shards that have one
// already.
func (c *Coordinator) addDecided(steps []controlstate.OwnershipChange, now time.Duration, unixMilli int64) []controlstate.OwnershipChange {
	c.decideAt = now + c.config.DecideInterval
	if !c.knowsWhoLives(now) {
		c.decideAt = now
		return steps
	}
	c.decision = c.config.Evaluate(c.input(now, unixMilli))
	c.decidedAt = now
	c.deciding = true
	c.lossPending = false
	c.roomMade = false
	taken := make(map[topology.ShardID]bool, len(steps))
	for _, step := range steps {
		taken[step.Shard] = true
	}
	for index := range c.decision.Moves {
		decided := &c.decision.Moves[index]
		if taken[decided.Shard] {
			continue
		}
		if step, ok := c.step(decided, now); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// knowsWhoLives reports whether every back end has renewed with this leader or
// had the time to.
func (c *Coordinator) knowsWhoLives(now time.Duration) bool {
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

// step turns a move of placement into a change, if it is allowed now.
func (c *Coordinator) step(decided *placement.Move, now time.Duration) (controlstate.OwnershipChange, bool) {
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
		c.countLoadMove(decided, now)
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

// mayAssign reports whether a shard may get an owner without the present one's
// promise: there is none, or it is certain that its lease has ended.
func (c *Coordinator) mayAssign(shard topology.Shard, now time.Duration) bool {
	if shard.Owner == 0 {
		return c.settled(shard, now)
	}
	return c.leases.Lapsed(shard.Owner, now)
}

func (c *Coordinator) countLoadMove(decided *placement.Move, now time.Duration) {
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
