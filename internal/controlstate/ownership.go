package controlstate

import (
	"slices"

	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

func (a *application) changeOwnership(batch *ChangeOwnership) {
	for index := range batch.Changes {
		if a.changeShard(&batch.Changes[index]) {
			a.result.OwnershipApplied++
		} else {
			a.result.OwnershipSkipped++
		}
	}
}

// changeShard makes one change. It reports false where the shard has gone on
// since the leader decided, or the back end may not take it any more.
func (a *application) changeShard(step *OwnershipChange) bool {
	record := a.state.shard(step.Shard)
	if record == nil || record.Epoch != step.Epoch {
		return false
	}
	next, action, allowed := ownership.NextPhase(record.Phase, step.Event)
	if !allowed || !a.act(record, action, step) {
		return false
	}
	record.Phase = next
	a.shardChanged(record, step.Reason)
	return true
}

func (a *application) act(record *shard, action ownership.ShardAction, step *OwnershipChange) bool {
	switch action {
	case ownership.ShardGiveToTarget:
		return a.giveToTarget(record, step)
	case ownership.ShardSetTarget:
		return a.setTarget(record, step.To)
	case ownership.ShardClearTarget:
		a.clearTarget(record)
	case ownership.ShardGiveBack:
		a.clearTarget(record)
		record.Epoch++
	case ownership.ShardDivide:
		return a.divide(record, step)
	case ownership.ShardJoin:
		return a.join(record, step)
	}
	return true
}

// mayTake reports whether a back end of the shard's service may be given it.
func (a *application) mayTake(record *shard, id topology.BackendID) bool {
	target, known := a.state.backends[id]
	return known && target.Service == record.ID.Service
}

// giveToTarget makes a new owner: the target of a completed move, or the one
// that the leader names after the present owner's lease has ended.
func (a *application) giveToTarget(record *shard, step *OwnershipChange) bool {
	promised := step.Event == ownership.EventCompleteMove
	to := step.To
	if promised {
		to = record.Target
	}
	if !a.mayTake(record, to) {
		return false
	}
	previous := a.state.backends[record.Owner]
	if previous != nil && !promised {
		previous.revokedAt = a.revision
	}
	a.clearTarget(record)
	a.setOwner(record, to)
	record.Epoch++
	return true
}

func (a *application) setOwner(record *shard, to topology.BackendID) {
	s := a.state
	if previous := s.backends[record.Owner]; previous != nil {
		delete(previous.owned, record.ID)
	}
	delete(s.unassigned, record.ID)
	record.Owner = to
	s.backends[to].owned[record.ID] = struct{}{}
}

func (a *application) setTarget(record *shard, to topology.BackendID) bool {
	if to == record.Owner || !a.mayTake(record, to) {
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

func (a *application) clearTarget(record *shard) {
	if target := a.state.backends[record.Target]; target != nil {
		delete(target.incoming, record.ID)
	}
	delete(a.state.moving, record.ID)
	record.Target = 0
}

// divide gives the right part of a shard a number of its own. Both parts get a
// new epoch, so that a request which was routed by the old division is refused
// and routed again.
func (a *application) divide(record *shard, step *OwnershipChange) bool {
	owner := a.state.services[record.ID.Service]
	index := owner.indexOf(record.Start)
	atEnd := index+1 == len(owner.ordered)
	inside := step.SplitAt > record.Start && (atEnd || step.SplitAt < owner.ordered[index+1].Start)
	if !inside {
		return false
	}
	record.Epoch++
	owner.lastShard++
	right := &shard{Shard: record.Shard}
	right.ID.Shard = owner.lastShard
	right.Start = step.SplitAt
	owner.ordered = slices.Insert(owner.ordered, index+1, right)
	owner.byNumber[right.ID.Shard] = right
	a.state.backends[right.Owner].owned[right.ID] = struct{}{}
	a.shardChanged(right, step.Reason)
	return true
}

// join extends a shard over its right neighbour, which ends.
func (a *application) join(record *shard, step *OwnershipChange) bool {
	owner := a.state.services[record.ID.Service]
	index := owner.indexOf(record.Start)
	if index+1 == len(owner.ordered) {
		return false
	}
	right := owner.ordered[index+1]
	matches := right.ID.Shard == step.MergeWith && right.Epoch == step.MergeWithEpoch
	sameOwner := right.Phase == topology.ShardOwned && right.Owner == record.Owner
	if !matches || !sameOwner {
		return false
	}
	record.Epoch = max(record.Epoch, right.Epoch) + 1
	owner.ordered = slices.Delete(owner.ordered, index+1, index+2)
	delete(owner.byNumber, right.ID.Shard)
	delete(a.state.backends[right.Owner].owned, right.ID)
	a.delta.RemovedShards = append(a.delta.RemovedShards, right.ID)
	return true
}

func (a *application) shardChanged(record *shard, reason string) {
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
