package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// transferTimeout bounds the sending of a record to the next owner. While it
// lasts, routers hold the shard's requests.
const transferTimeout = time.Second

// releaseStage is how far the release of a shard has come.
type releaseStage uint8

const (
	// stageDraining: nothing is admitted, running requests go on.
	stageDraining releaseStage = iota + 1
	// stageTransferring: the record is on its way to the next owner; the back
	// end's grant is being revoked.
	stageTransferring
	// stageReleased: the controller is told, again and again until its table
	// shows it.
	stageReleased
)

// release is a shard that moves away in order.
type release struct {
	shard  topology.ShardID
	epoch  topology.Epoch
	target topology.BackendID
	covers requestrecord.Range
	stage  releaseStage
	// drainUntil ends the wait for running requests.
	drainUntil time.Duration
	// transferred: the attempt to send the record is over; moved says how.
	transferred, moved bool
	// grantEndsBy: after it the grant can't be in force, even if the
	// revocation was never answered.
	grantEndsBy time.Duration
}

// followReleases begins a release for each shard that the table says is
// releasing, and forgets those that the table has gone past.
func (control *controlLoop) followReleases() {
	for id, running := range control.releases {
		owned, ok := control.mine.owned[id]
		if !ok || owned.Epoch != running.epoch || owned.Phase != topology.ShardReleasing {
			delete(control.releases, id)
		}
	}
	now := control.now()
	for id, shard := range control.mine.owned {
		if _, begun := control.releases[id]; !begun && shard.Phase == topology.ShardReleasing {
			control.beginRelease(shard, now)
		}
	}
	control.stepReleases(now)
}

func (control *controlLoop) beginRelease(shard topology.Shard, now time.Duration) {
	begun := &release{
		shard:      shard.ID,
		epoch:      shard.Epoch,
		target:     shard.Target,
		covers:     control.mine.covers[shard.ID],
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
			control.post(func(control *controlLoop) { control.stepReleases(control.now()) })
		case <-control.stopped:
		}
	})
}

// drainLimit is the service's own bound for running requests.
func (control *controlLoop) drainLimit() time.Duration {
	service := control.mine.service
	if service == nil || service.DrainLimit == 0 {
		return DefaultDrainLimit
	}
	return service.DrainLimit
}

// stepReleases takes each release as far as it can go now.
func (control *controlLoop) stepReleases(now time.Duration) {
	for _, running := range control.releases {
		if running.stage == stageDraining && control.drained(running, now) {
			control.beginTransfer(running)
		}
		if running.stage == stageTransferring && running.transferred && control.grantGone(running, now) {
			running.stage = stageReleased
		}
		if running.stage == stageReleased {
			control.send(wire.ToController{Released: &wire.Released{
				Shard: running.shard, Epoch: running.epoch, RecordMoved: running.moved,
			}})
		}
	}
}

func (control *controlLoop) drained(running *release, now time.Duration) bool {
	if now >= running.drainUntil {
		return true
	}
	held, serving := control.shards[running.shard]
	return (!serving || held.isIdle()) && len(control.lingeringIn(running.covers)) == 0
}

// grantGone says that the back end can't act on the shard's grant any more.
func (control *controlLoop) grantGone(running *release, now time.Duration) bool {
	gone := !control.grants.MayHold(running.shard) || now >= running.grantEndsBy
	return gone && !control.grants.RevocationPending()
}

func (control *controlLoop) beginTransfer(running *release) {
	running.stage = stageTransferring
	control.endAll(running)
	running.grantEndsBy = control.grants.AllExpiredBy()
	if !control.grants.Replaced() {
		control.config.Log.Info("release waits until the back end has replaced an earlier process's grants or they have ended",
			slog.String("shard", running.shard.String()), slog.Duration("at_most", running.grantEndsBy-control.now()))
	}
	control.syncGrants()
	target, known := control.mine.table.Backend(running.target)
	address := ""
	if known {
		address = target.AgentAddress
	}
	control.background.Go(func() {
		moved := control.moveRecord(running.shard, running.epoch, address)
		control.post(func(control *controlLoop) {
			running.transferred = true
			running.moved = moved
			control.stepReleases(control.now())
		})
	})
}

// moveRecord promises never to serve the epoch again and sends the record on.
// It returns whether the target has it.
func (agent *Agent) moveRecord(shard topology.ShardID, epoch topology.Epoch, address string) bool {
	transfer, err := agent.record.Export(shard, epoch)
	if err == nil {
		ctx, cancel := context.WithTimeout(context.Background(), transferTimeout)
		defer cancel()
		err = agent.sendRecord(ctx, address, transfer)
	}
	if err != nil {
		agent.counts.transfersFailed.Add(1)
		agent.config.Log.Warn("record not moved", slog.String("shard", shard.String()), slog.Any("error", err))
		return false
	}
	return true
}
