package controlstate

import (
	"slices"

	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

func (a *applyContext) changeOwnership(batch *ChangeOwnership) {
	for index := range batch.Changes {
		if a.changeShard(&batch.Changes[index]) {
			a.result.OwnershipApplied++
		} else {
			a.result.OwnershipSkipped++
		}
	}
}

// changeShard applies one change. It returns false if the shard has changed
// since the leader's decision, or the shard can no longer be assigned to the
// back end.
func (a *applyContext) changeShard(change *OwnershipChange) bool {
	record := a.state.shard(change.Shard)
	if record == nil || record.Epoch != change.Epoch {
		return false
	}
	next, action, allowed := ownership.NextPhase(record.Phase, change.Event)
	if !allowed || !a.performAction(record, action, change) {
		return false
	}
	record.Phase = next
	a.recordShardChange(record, change.Reason)
	return true
}

func (a *applyContext) performAction(record *shard, action ownership.ShardAction, change *OwnershipChange) bool {
	switch action {
	case ownership.ShardGiveToTarget:
		return a.giveToTarget(record, change)
	case ownership.ShardSetTarget:
		return a.setTarget(record, change.To)
	case ownership.ShardClearTarget:
		a.clearTarget(record)
	case ownership.ShardGiveBack:
		a.clearTarget(record)
		record.Epoch++
	case ownership.ShardDivide:
		return a.divide(record, change)
	case ownership.ShardJoin:
		return a.join(record, change)
	}
	return true
}

// canAssign reports whether the back end exists and belongs to the shard's
// service.
func (a *applyContext) canAssign(record *shard, id topology.BackendID) bool {
	target, known := a.state.backends[id]
	return known && target.Service == record.ID.Service
}

// giveToTarget sets a new owner: the target of a completed move, or the back end
// that the leader chose after the previous owner's lease expired.
func (a *applyContext) giveToTarget(record *shard, change *OwnershipChange) bool {
	released := change.Event == ownership.EventCompleteMove
	to := change.To
	if released {
		to = record.Target
	}
	if !a.canAssign(record, to) {
		return false
	}
	previous := a.state.backends[record.Owner]
	if previous != nil && !released {
		previous.revokedAt = a.revision
	}
	a.clearTarget(record)
	a.setOwner(record, to)
	record.Epoch++
	return true
}

func (a *applyContext) setOwner(record *shard, to topology.BackendID) {
	s := a.state
	if previous := s.backends[record.Owner]; previous != nil {
		delete(previous.owned, record.ID)
	}
	delete(s.unassigned, record.ID)
	record.Owner = to
	s.backends[to].owned[record.ID] = struct{}{}
}

func (a *applyContext) setTarget(record *shard, to topology.BackendID) bool {
	if to == record.Owner || !a.canAssign(record, to) {
		return false
	}
	target := a.state.backends[to]
	if target.State != topology.BackendActive {
		return false
	}
	record.Target = to
	target.incoming[record.ID] = struct{}{}
	a.state.moving[record.ID] = struct{}{}
	return true
}

func (a *applyContext) clearTarget(record *shard) {
	if target := a.state.backends[record.Target]; target != nil {
		delete(target.incoming, record.ID)
	}
	delete(a.state.moving, record.ID)
	record.Target = 0
}

// divide splits a shard; the right part becomes a new shard. Both parts get a
// new epoch, so that requests routed by the old ranges are rejected and routed
// again.
func (a *applyContext) divide(record *shard, change *OwnershipChange) bool {
	parent := a.state.services[record.ID.Service]
	index := parent.shardIndex(record.Start)
	atEnd := index+1 == len(parent.shardsByStart)
	inside := change.SplitAt > record.Start && (atEnd || change.SplitAt < parent.shardsByStart[index+1].Start)
	if !inside {
		return false
	}
	record.Epoch++
	parent.lastShardNumber++
	right := &shard{Shard: record.Shard}
	right.ID.Shard = parent.lastShardNumber
	right.Start = change.SplitAt
	parent.shardsByStart = slices.Insert(parent.shardsByStart, index+1, right)
	parent.shardsByNumber[right.ID.Shard] = right
	a.state.backends[right.Owner].owned[right.ID] = struct{}{}
	a.recordShardChange(right, change.Reason)
	return true
}

// join merges the right neighbour of a shard into it and removes the neighbour.
func (a *applyContext) join(record *shard, change *OwnershipChange) bool {
	parent := a.state.services[record.ID.Service]
	index := parent.shardIndex(record.Start)
	if index+1 == len(parent.shardsByStart) {
		return false
	}
	right := parent.shardsByStart[index+1]
	matches := right.ID.Shard == change.MergeWith && right.Epoch == change.MergeWithEpoch
	sameOwner := right.Phase == topology.ShardOwned && right.Owner == record.Owner
	if !matches || !sameOwner {
		return false
	}
	record.Epoch = max(record.Epoch, right.Epoch) + 1
	parent.shardsByStart = slices.Delete(parent.shardsByStart, index+1, index+2)
	delete(parent.shardsByNumber, right.ID.Shard)
	delete(a.state.backends[right.Owner].owned, right.ID)
	a.delta.RemovedShards = append(a.delta.RemovedShards, right.ID)
	return true
}

func (a *applyContext) recordShardChange(record *shard, reason string) {
	record.changedUnixMilli = a.command.UnixMilli
	if len(reason) > MaximumReason {
		reason = reason[:MaximumReason]
	}
	if len(record.history) == MaximumHistory {
		record.history = append(record.history[:0], record.history[1:]...)
	}
	record.history = append(record.history, ShardChange{
		Revision:  a.revision,
		UnixMilli: a.command.UnixMilli,
		Phase:     record.Phase,
		Owner:     record.Owner,
		Target:    record.Target,
		Epoch:     record.Epoch,
		Reason:    reason,
	})
	a.delta.Shards = append(a.delta.Shards, record.Shard)
}
