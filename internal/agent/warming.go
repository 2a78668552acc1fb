package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// warmTimeout bounds the warming of one shard.
const warmTimeout = time.Minute

// warming is a shard that is to move here, whose state the back end prepares.
type warming struct {
	shard topology.ShardID
	// epoch of the present owner.
	epoch  topology.Epoch
	cancel context.CancelFunc
	// done: the back end has answered.
	done bool
	err  string
}

// followWarmings begins and ends warmings as the table says.
func (control *controlLoop) followWarmings(wanted map[topology.ShardID]topology.Epoch) {
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
		control.post(func(control *controlLoop) { control.warmed(started, err) })
	})
}

func (control *controlLoop) warmed(finished *warming, err error) {
	finished.done = true
	if err != nil {
		finished.err = err.Error()
		control.config.Log.Warn("shard not warmed", slog.String("shard", finished.shard.String()), slog.Any("error", err))
	}
	if control.warmings[finished.shard] == finished {
		control.sendWarmed(finished)
	}
}

// repeatWarmed tells the controller again, until the table shows that it
// knows: a message may be lost with its session.
func (control *controlLoop) repeatWarmed() {
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
