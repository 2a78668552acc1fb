package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// transferTimeout bounds the transfer of a record to the next owner, during
// which routers hold the shard's requests back.
const transferTimeout = time.Second

// releaseStage is the progress of a shard's release.
type releaseStage uint8

const (
	// stageDraining: new requests are refused, requests in progress continue.
	stageDraining releaseStage = iota + 1
	// stageTransferring: the record is being sent to the next owner and the
	// back end's grant is being revoked.
	stageTransferring
	// stageReleased: the controller is told repeatedly until its routing table
	// reflects the release.
	stageReleased
)

// shardRelease is the planned move of a shard to another owner, at the side of
// the present owner.
type shardRelease struct {
	shard    topology.ShardID
	epoch    topology.Epoch
	target   topology.BackendID
	keyRange requestrecord.Range
	stage    releaseStage
	// drainUntil is when waiting for requests in progress ends.
	drainUntil time.Duration
	// transferDone is set once the transfer of the record has ended;
	// recordMoved says whether it succeeded.
	transferDone, recordMoved bool
	// grantEndsBy is when the grant has expired even if the back end never
	// answered the revocation.
	grantEndsBy time.Duration
}

// updateReleases begins a release for each shard that is releasing in the
// routing table, and forgets releases that are over or outdated by the table.
func (control *controlLoop) updateReleases() {
	for id, current := range control.releases {
		owned, ok := control.assigned.owned[id]
		if !ok || owned.Epoch != current.epoch || owned.Phase != topology.ShardReleasing {
			delete(control.releases, id)
		}
	}
	now := control.now()
	for id, shard := range control.assigned.owned {
		if _, begun := control.releases[id]; !begun && shard.Phase == topology.ShardReleasing {
			control.beginRelease(shard, now)
		}
	}
	control.advanceReleases(now)
}

func (control *controlLoop) beginRelease(shard topology.Shard, now time.Duration) {
	begun := &shardRelease{
		shard:      shard.ID,
		epoch:      shard.Epoch,
		target:     shard.Target,
		keyRange:   control.assigned.keyRange[shard.ID],
		stage:      stageDraining,
		drainUntil: now + control.drainLimit(),
	}
	control.releases[shard.ID] = begun
	held, serving := control.shards[shard.ID]
	if !serving {
		return
	}
	held.close()
	control.background.Go(func() {
		select {
		case <-held.idle:
			control.post(func(control *controlLoop) { control.advanceReleases(control.now()) })
		case <-control.stopped:
		}
	})
}

// drainLimit returns the service's limit for requests in progress during a
// move.
func (control *controlLoop) drainLimit() time.Duration {
	service := control.assigned.service
	if service == nil || service.DrainLimit == 0 {
		return DefaultDrainLimit
	}
	return service.DrainLimit
}

// advanceReleases moves each release to the furthest stage that it can reach
// now.
func (control *controlLoop) advanceReleases(now time.Duration) {
	for _, current := range control.releases {
		if current.stage == stageDraining && control.drained(current, now) {
			control.beginTransfer(current)
		}
		if current.stage == stageTransferring && current.transferDone && control.grantEnded(current, now) {
			current.stage = stageReleased
		}
		if current.stage == stageReleased {
			control.send(wire.ToController{Released: &wire.Released{
				Shard: current.shard, Epoch: current.epoch, RecordMoved: current.recordMoved,
			}})
		}
	}
}

func (control *controlLoop) drained(current *shardRelease, now time.Duration) bool {
	if now >= current.drainUntil {
		return true
	}
	held, serving := control.shards[current.shard]
	return (!serving || held.isIdle()) && len(control.supersededIn(current.keyRange)) == 0
}

// grantEnded reports whether the back end can no longer act on the shard's
// grant.
func (control *controlLoop) grantEnded(current *shardRelease, now time.Duration) bool {
	gone := !control.grants.MayHold(current.shard) || now >= current.grantEndsBy
	return gone && !control.grants.RevocationPending()
}

func (control *controlLoop) beginTransfer(current *shardRelease) {
	current.stage = stageTransferring
	control.revokeInFlight(current)
	current.grantEndsBy = control.grants.AllExpiredBy()
	if !control.grants.Replaced() {
		control.config.Log.Info("shard release waits until an earlier process's grants are replaced at the back end or expire",
			slog.String("shard", current.shard.String()), slog.Duration("at_most", current.grantEndsBy-control.now()))
	}
	control.syncGrants()
	target, known := control.assigned.table.Backend(current.target)
	address := ""
	if known {
		address = target.AgentAddress
	}
	control.background.Go(func() {
		moved := control.transferRecord(current.shard, current.epoch, address)
		control.post(func(control *controlLoop) {
			current.transferDone = true
			current.recordMoved = moved
			control.advanceReleases(control.now())
		})
	})
}

// transferRecord exports the record, after which the agent never serves the
// epoch again, and sends it to the target. It reports whether the target has
// it.
func (agent *Agent) transferRecord(shard topology.ShardID, epoch topology.Epoch, address string) bool {
	transfer, err := agent.record.Export(shard, epoch)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		defer cancel()
		err = agent.sendRecord(ctx, address, transfer)
	}
	if err != nil {
		agent.counts.transfersFailed.Add(1)
		agent.config.Log.Warn("request record not transferred", slog.String("shard", shard.String()), slog.Any("error", err))
		return false
	}
	return true
}
