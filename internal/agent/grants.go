package agent

import (
	"context"
	"log/slog"
	"time"

	"github.com/quartzdock/quartzdock/internal/backendapi"
	"github.com/quartzdock/quartzdock/internal/grants"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// grantTimeout bounds the exchange of one grant message with the back end.
const grantTimeout = 250 * time.Millisecond

// syncGrants sends the back end changes of its grants and of the lease's end,
// one message at a time.
func (control *controlLoop) syncGrants() {
	next := control.grants.Next(grants.Wanted{
		Backend:    control.assigned.self,
		Owned:      control.assigned.owned,
		Closing:    control.closing,
		Draining:   control.hasSupersededRequests,
		LeaseUntil: control.holder.ValidUntil(),
		Repeat:     control.state == stateUnreachable,
	}, control.now())
	if next == nil {
		return
	}
	control.grantsPossibleUntil.Store(int64(control.grants.AllExpiredBy()))
	control.background.Go(func() { control.sendGrants(next) })
}

// closing returns how the grant of a shard that is being released is to be
// ended.
func (control *controlLoop) closing(id topology.ShardID) (grants.Closing, bool) {
	releasing, found := control.releases[id]
	if !found {
		return grants.Closing{}, false
	}
	return grants.Closing{Epoch: releasing.epoch, KeepGrant: releasing.stage == stageDraining}, true
}

func (control *controlLoop) sendGrants(sent *grants.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	reading, err := control.backend.Grant(ctx, sent.Grants)
	received := control.now()
	control.post(func(control *controlLoop) { control.grantsAnswered(sent, reading, received, err) })
}

func (control *controlLoop) grantsAnswered(sent *grants.Message, reading backendapi.Reading, received time.Duration, err error) {
	outcome := control.grants.Answered(sent, reading, received, err)
	switch {
	case outcome.Accepted:
		control.beginServing(outcome.Granted)
		if control.state == stateUnreachable {
			control.fire(eventAnswered)
		}
	case outcome.Restarted:
		control.config.Log.Info("back end started", slog.String("boot", reading.Boot))
	case outcome.Refused != nil:
		control.config.Log.Warn("back end refused an epoch", slog.Any("error", outcome.Refused))
	case outcome.Failed:
		control.counts.grantFailures.Add(1)
	}
	if outcome.FirstFailure {
		control.config.Log.Info("grants not answered", slog.Any("error", err))
	}
	control.signalRelease(control.now())
	control.syncGrants()
}

// signalRelease sends a renewal with Release set at once, after the lease was
// given up and the back end can no longer act on its grants.
func (control *controlLoop) signalRelease(now time.Duration) {
	until := control.grants.AllExpiredBy()
	control.grantsPossibleUntil.Store(int64(until))
	if control.wantLease.Load() || control.releaseSignalled || now < until {
		return
	}
	control.releaseSignalled = true
	control.subscription.RenewNow()
}
