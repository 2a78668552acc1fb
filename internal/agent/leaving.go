package agent

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// followState notes since when the back end leaves: it is drained, or this
// process stops as planned. Requests that are not bound to a shard are refused
// from then on, those that are once LeavingGrace has passed.
func (control *controlLoop) followState(backend *topology.Backend) {
	now := control.now()
	takes := backend.State == topology.BackendActive && !control.leaving.Load()
	switch {
	case takes && control.unbound == nil:
		control.unbound = newServed(topology.ShardID{}, 0, requestrecord.Range{})
		control.leavingSince = 0
		control.publish()
	case !takes && control.leavingSince == 0:
		control.leavingSince = control.leavingFrom(now)
		control.closeUnbound()
	}
	control.closeLeaving(now)
}

// leavingFrom is since when a back end leaves whose agent learns of it now. An
// agent without a lease was cut off or has just started: the back end may have
// been leaving for long, and gets no grace.
func (control *controlLoop) leavingFrom(now time.Duration) time.Duration {
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

// closeLeaving closes a back end to new work that has been leaving for long.
func (control *controlLoop) closeLeaving(now time.Duration) {
	leaves := control.leavingSince != 0
	control.closedToNew.Store(leaves && now-control.leavingSince >= control.config.LeavingGrace)
}

// followMoves notes what a planned stop waits for.
func (control *controlLoop) followMoves(mine *share) {
	moving := int32(0)
	for _, shard := range mine.owned {
		if shard.Target != 0 {
			moving++
		}
	}
	control.moving.Store(moving)
	waits := mine.service != nil && mine.backend.State == topology.BackendActive &&
		placement.WaitsForRestart(mine.service.Placement)
	control.waitsForRestart.Store(waits)
}
