package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// warmTimeout bounds the preparation of one shard.
const warmTimeout = time.Minute

// warming is a shard that is to move here and for which the back end prepares
// its state.
type warming struct {
	shard topology.ShardID
	// epoch is that of the present owner.
	epoch  topology.Epoch
	cancel context.CancelFunc
	// done is set once the back end has answered.
	done bool
	err  string
}

// updateWarmings starts and cancels the preparation of shards as the routing
// table demands.
func (control *controlLoop) updateWarmings(wanted map[topology.ShardID]topology.Epoch) {
	for id, running := range control.warmings {
		if epoch, ok := wanted[id]; !ok || epoch != running.epoch {
			running.cancel()
			delete(control.warmings, id)
		}
	}
	for id, epoch := range wanted {
		if _, ok := control.warmings[id]; !ok {
			control.startWarming(id, epoch)
		}
	}
}

func (control *controlLoop) startWarming(id topology.ShardID, epoch topology.Epoch) {
	ctx, cancel := context.WithTimeout(context.Background(), warmTimeout)
	started := &warming{shard: id, epoch: epoch, cancel: cancel}
	control.warmings[id] = started
	control.background.Go(func() {
		defer cancel()
		err := control.backend.Warm(ctx, id)
		control.post(func(control *controlLoop) { control.finishWarming(started, err) })
	})
}

func (control *controlLoop) finishWarming(finished *warming, err error) {
	finished.done = true
	if err != nil {
		finished.err = err.Error()
		control.config.Log.Warn("back end did not warm the shard", slog.String("shard", finished.shard.String()), slog.Any("error", err))
	}
	if control.warmings[finished.shard] == finished {
		control.sendWarmed(finished)
	}
}

// resendWarmed tells the controller again until its routing table reflects the
// result, because a message may be lost with its session.
func (control *controlLoop) resendWarmed() {
	for _, finished := range control.warmings {
		if finished.done {
			control.sendWarmed(finished)
		}
	}
}

func (control *controlLoop) sendWarmed(finished *warming) {
	control.send(wire.ToController{Warmed: &wire.Warmed{
		Shard: finished.shard, Epoch: finished.epoch, Error: finished.err,
	}})
}
