package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// A split, a merge or a cancelled move gives a shard a new epoch while its owner
// stays the same. The requests admitted at the old, superseded epoch continue:
// no other owner can have served the shard in between, since the lease was
// renewed without a gap and the agent has not released the shard.
// Four rules follow.
//
//   - The back end keeps the grant that it has, at its epoch, as long as the
//     ownership continues, so that its fencing check lets running requests
//     finish.
//   - A shard whose epoch was superseded stays in superseded until none of its
//     requests is in progress. Their answers may be released unless the shard
//     was revoked.
//   - Requests whose end the agent never learned may still run at the back end.
//     After a split its fencing check, which knows shards by number, would let
//     them act on keys of a part that has moved. So before a shard moves away,
//     grants that continue from an earlier epoch and had such requests are
//     replaced by grants of the present epoch. The back end then discards the
//     results of requests that run under the replaced grants.
//   - A shard moves away only when no superseded shard runs requests that may
//     concern its keys, or when the drain limit has passed. Then they are
//     revoked.

const (
	// applyPollInterval and applyTimeout are for the wait until the control
	// goroutine has applied the newest routing table.
	applyPollInterval = time.Millisecond
	applyTimeout      = time.Second
)

// closeSuperseded closes the shards whose epoch was superseded or that this
// agent lost, and reports whether there were any.
func (control *controlLoop) closeSuperseded() bool {
	closed := false
	for id, shard := range control.shards {
		if owned, ok := control.assigned.owned[id]; ok && owned.Epoch == shard.epoch {
			continue
		}
		shard.close()
		delete(control.shards, id)
		control.superseded = append(control.superseded, shard)
		closed = true
	}
	control.pruneSuperseded()
	return closed
}

// pruneSuperseded revokes superseded shards whose range this agent no longer
// owns as a whole, and forgets those that are revoked or idle.
func (control *controlLoop) pruneSuperseded() {
	owned := slices.Collect(maps.Values(control.assigned.keyRange))
	control.superseded = slices.DeleteFunc(control.superseded, func(shard *servedShard) bool {
		if !shard.keyRange.CoveredBy(owned) {
			shard.revoked.Store(true)
		}
		return shard.revoked.Load() || shard.isIdle()
	})
}

// hasSupersededRequests reports whether requests of a superseded epoch of the
// shard are in progress.
func (control *controlLoop) hasSupersededRequests(id topology.ShardID) bool {
	return slices.ContainsFunc(control.superseded, func(shard *servedShard) bool {
		return shard.id == id && !shard.isIdle()
	})
}

// supersededIn returns the superseded shards that may have requests in progress
// for keys of a range.
func (control *controlLoop) supersededIn(keyRange requestrecord.Range) []*servedShard {
	var found []*servedShard
	for _, shard := range control.superseded {
		if shard.keyRange.Overlaps(keyRange) && !shard.isIdle() {
			found = append(found, shard)
		}
	}
	return found
}

// revokeInFlight makes the answers of requests in progress for a shard that
// moves away unreleasable, including those of superseded epochs. It also
// replaces the grants under which unanswered requests from before a split could
// still act on the shard's keys.
func (control *controlLoop) revokeInFlight(current *shardRelease) {
	if held, serving := control.shards[current.shard]; serving {
		held.revoked.Store(true)
	}
	for _, shard := range control.supersededIn(current.keyRange) {
		shard.revoked.Store(true)
		control.unanswered.add(shard)
	}
	control.grants.RevokeContinued(control.unanswered.sentUnder)
}

// mayContinue reports whether a request that was admitted at a superseded epoch
// may continue.
func (agent *Agent) mayContinue(shard *servedShard) bool {
	return shard != nil && agent.awaitTableApplied() && !shard.revoked.Load() && agent.checkLease() == nil
}

// successorShards returns the other shards whose request records took over
// entries of a shard when its epoch was superseded.
func (agent *Agent) successorShards(shard *servedShard) []topology.ShardID {
	if !shard.isClosed() || !agent.awaitTableApplied() {
		return nil
	}
	var found []topology.ShardID
	for id, other := range agent.view.Load().shards {
		if id != shard.id && other.keyRange.Overlaps(shard.keyRange) {
			found = append(found, id)
		}
	}
	return found
}

// awaitTableApplied waits until the control goroutine has applied the newest
// routing table, and so has revoked what that table takes away. It returns
// false if there is no table or on a timeout.
func (agent *Agent) awaitTableApplied() bool {
	wanted := agent.table.Load()
	if wanted == nil {
		return false
	}
	deadline := agent.now() + applyTimeout
	for agent.appliedRevision.Load() < uint64(wanted.Revision()) {
		if agent.now() >= deadline {
			return false
		}
		time.Sleep(applyPollInterval)
	}
	return true
}
