package agent

import (
	"maps"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// A split, a merge or a cancelled move gives a shard a new epoch while its owner
// stays. What was admitted before goes on: no other owner can have been in
// between, since the lease was never without a successor and this agent has
// promised no release. Four things follow.
//
//   - The back end keeps the grant that it has, at its epoch, as long as the
//     ownership continues, so that its fence lets running requests finish.
//   - A shard whose epoch ended stays in lingering until nothing of it runs. Its
//     answers may be released unless it was ended.
//   - Requests whose end the agent never learned may still run at the back end,
//     and after a split its fence, which knows shards by number, would let them
//     act for keys of a part that has moved. So before a shard moves away, grants
//     that continue and had such requests are replaced by ones of the present
//     epoch. What runs under them is then not kept by the back end.
//   - A shard moves away only when no lingering shard runs requests that may
//     concern its keys, or the drain limit has passed; then they are ended.

const (
	// followPoll and followLimit are for the wait until the control goroutine
	// has followed a table that is in force.
	followPoll  = time.Millisecond
	followLimit = time.Second
)

// closeEnded closes the shards whose epoch has ended, and reports whether there
// were any.
func (control *controlLoop) closeEnded() bool {
	closed := false
	for id, shard := range control.shards {
		if owned, ok := control.mine.owned[id]; ok && owned.Epoch == shard.epoch {
			continue
		}
		shard.close()
		delete(control.shards, id)
		control.lingering = append(control.lingering, shard)
		closed = true
	}
	control.endInterrupted()
	return closed
}

// endInterrupted ends what lingers of ranges that this agent does not own
// altogether any more.
func (control *controlLoop) endInterrupted() {
	owned := slices.Collect(maps.Values(control.mine.covers))
	control.lingering = slices.DeleteFunc(control.lingering, func(shard *served) bool {
		if !shard.covers.CoveredBy(owned) {
			shard.ended.Store(true)
		}
		return shard.ended.Load() || shard.isIdle()
	})
}

// lingers says whether requests of an ended epoch of the shard still run.
func (control *controlLoop) lingers(id topology.ShardID) bool {
	return slices.ContainsFunc(control.lingering, func(shard *served) bool {
		return shard.id == id && !shard.isIdle()
	})
}

// lingeringIn returns the shards of ended epochs that may still run requests
// for keys of a range.
func (control *controlLoop) lingeringIn(covers requestrecord.Range) []*served {
	var found []*served
	for _, shard := range control.lingering {
		if shard.covers.Overlaps(covers) && !shard.isIdle() {
			found = append(found, shard)
		}
	}
	return found
}

// endAll lets nothing of a shard that moves away be answered as done any more.
// Nor may what the back end still runs of before a split act for its keys.
func (control *controlLoop) endAll(running *release) {
	if held, serving := control.shards[running.shard]; serving {
		held.ended.Store(true)
	}
	for _, shard := range control.lingeringIn(running.covers) {
		shard.ended.Store(true)
		control.unanswered.note(shard)
	}
	control.grants.EndContinued(control.unanswered.under)
}

// continues says whether a request that was admitted at an ended epoch may go
// on.
func (agent *Agent) continues(shard *served) bool {
	return shard != nil && agent.followed() && !shard.ended.Load() && agent.leased() == nil
}

// heirs returns the other shards whose records took entries of a shard over
// when its epoch ended.
func (agent *Agent) heirs(shard *served) []topology.ShardID {
	if !shard.isClosed() || !agent.followed() {
		return nil
	}
	var found []topology.ShardID
	for id, other := range agent.view.Load().shards {
		if id != shard.id && other.covers.Overlaps(shard.covers) {
			found = append(found, id)
		}
	}
	return found
}

// followed waits until the control goroutine has followed the table in force,
// and thereby ended what that table takes away.
func (agent *Agent) followed() bool {
	wanted := agent.table.Load()
	if wanted == nil {
		return false
	}
	deadline := agent.now() + followLimit
	for agent.following.Load() < uint64(wanted.Revision()) {
		if agent.now() >= deadline {
			return false
		}
		time.Sleep(followPoll)
	}
	return true
}
