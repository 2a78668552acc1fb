package agent

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// updateLeaving records since when the back end has been leaving, because it is
// drained or because this process performs a planned stop. From then on
// requests without a shard are refused; requests for shards are refused once
// LeavingGrace has passed.
func (control *controlLoop) updateLeaving(backend *topology.Backend) {
	now := control.now()
	accepts := backend.State == topology.BackendActive && !control.leaving.Load()
	switch {
	case accepts && control.unbound == nil:
		control.unbound = newServedShard(topology.ShardID{}, 0, requestrecord.Range{})
		control.leavingSince = 0
		control.publish()
	case !accepts && control.leavingSince == 0:
		control.leavingSince = control.leavingStart(now)
		control.closeUnbound()
	}
	control.updateClosedToNew(now)
}

// leavingStart returns since when the back end counts as leaving if the agent
// learns of it now. An agent without a lease was disconnected or has just
// started: the back end may have been leaving for a long time, and gets no
// grace.
func (control *controlLoop) leavingStart(now time.Duration) time.Duration {
	if control.holder.Valid(now) {
		return now
	}
	return now - control.config.LeavingGrace
}

func (control *controlLoop) closeUnbound() {
	if control.unbound == nil {
		return
	}
	control.unbound.close()
	control.unbound = nil
	control.publish()
}

// updateClosedToNew refuses all new requests once the back end has been leaving
// for LeavingGrace.
func (control *controlLoop) updateClosedToNew(now time.Duration) {
	leaves := control.leavingSince != 0
	control.closedToNew.Store(leaves && now-control.leavingSince >= control.config.LeavingGrace)
}

// updateMoves counts the shards that are being moved and records whether the
// others wait for the restart. A planned stop waits by both; see awaitMoves.
func (control *controlLoop) updateMoves(assigned *assignment) {
	moving := int32(0)
	for _, shard := range assigned.owned {
		if shard.Target != 0 {
			moving++
		}
	}
	control.movingShards.Store(moving)
	waits := assigned.service != nil && assigned.backend.State == topology.BackendActive &&
		placement.WaitsForRestart(assigned.service.Placement)
	control.waitsForRestart.Store(waits)
}
