package agent

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrStopTimeout is returned if requests were still in progress when a planned
// stop ran out of time.
var ErrStopTimeout = errors.New("planned stop ran out of time")

const (
	// stopPollInterval is how often a planned stop checks whether it may
	// continue.
	stopPollInterval = 10 * time.Millisecond
	// idleCloseDelay is how long requests are refused before idle connections
	// are closed. Each refusal closes its connection after the response, so
	// that a router does not write to a connection that is just being closed,
	// which would leave the outcome of a request that never ran unknown.
	idleCloseDelay = 200 * time.Millisecond
	// maxMoveGap is the longest time between two moves of one placement plan.
	maxMoveGap = 500 * time.Millisecond
	// leaseReleaseTimeout bounds the wait until the controller is told that the
	// lease is released. If it is not told, the lease expires by itself.
	leaseReleaseTimeout = time.Second
	// closeReserve is the part of a planned stop reserved, after the release,
	// for closing the session and the record's files. They are expected to take
	// milliseconds.
	closeReserve = 500 * time.Millisecond
	// minDrainShare is the minimum share of the drain in a short planned stop,
	// relative to a share of 1 for the release.
	minDrainShare = 3
)

// drainBudget returns how much of a planned stop's time the drain may take, so
// that time is left to release the lease and to close.
func drainBudget(stopTimeout time.Duration) time.Duration {
	return max(stopTimeout-leaseReleaseTimeout-closeReserve, stopTimeout*minDrainShare/(minDrainShare+1))
}

// stop performs a planned stop. It announces that the back end is leaving and
// continues to serve for LeavingGrace while its shards move; then it refuses
// new requests. Requests that may outlast the drain are refused from the
// beginning. It waits for moves in progress for at most half of StopTimeout,
// and for requests in progress for drainBudget. Then it ends the grants and
// releases the lease.
func (agent *Agent) stop() error {
	begun := agent.now()
	deadline := begun + drainBudget(agent.config.StopTimeout)
	agent.admission.Begin(agent.start.Add(deadline))
	agent.leaving.Store(true)
	agent.post(func(control *controlLoop) { control.reapplyTable() })
	agent.subscription.RenewNow()
	agent.awaitMoves()
	drained := agent.drain(deadline)
	agent.releaseLease(begun + agent.config.StopTimeout)
	agent.subscription.Stop()
	if !drained {
		return fmt.Errorf("%w: %d requests were cut off", ErrStopTimeout, agent.gate.Running()+agent.gate.Waiting())
	}
	return nil
}

// awaitMoves waits for shards to move away. It returns once nothing is owned,
// or no shard has been moving for maxMoveGap and either LeavingGrace has
// passed, or the shards wait for the restart and no long request is running.
// All this happens before new requests are refused, so that callers are told
// when to retry.
func (agent *Agent) awaitMoves() {
	begun := agent.now()
	lastMove := begun
	agent.waitUntil(begun+agent.config.StopTimeout/2, func() bool {
		now := agent.now()
		if agent.movingShards.Load() > 0 {
			lastMove = now
		}
		movesOver := now-lastMove >= min(maxMoveGap, agent.config.LeavingGrace/2)
		noLongRequest := !agent.hasLongRunning() || now-begun >= agent.config.LeavingGrace*9/10
		waitsForRestart := agent.waitsForRestart.Load() && movesOver && noLongRequest
		graceOver := now-begun >= agent.config.LeavingGrace && now-lastMove >= maxMoveGap
		return waitsForRestart || graceOver || agent.ownsNoShards()
	})
}

// hasLongRunning reports whether a request is running that would delay the
// restart noticeably, while no requests are served.
func (agent *Agent) hasLongRunning() bool {
	for _, shard := range agent.view.Load().shards {
		if shard.hasLongRunning() {
			return true
		}
	}
	return false
}

func (agent *Agent) ownsNoShards() bool { return len(agent.view.Load().shards) == 0 }

// waitUntil polls the condition and returns whether it became true before the
// deadline.
func (agent *Agent) waitUntil(deadline time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for !condition() {
		if agent.now() >= deadline {
			return false
		}
		<-ticker.C
	}
	return true
}

// drain closes all shards to new requests and stops the server once it has
// finished those in progress. It returns false if requests were cut off.
func (agent *Agent) drain(deadline time.Duration) bool {
	agent.stopping.Store(true)
	agent.post(func(control *controlLoop) {
		for _, shard := range control.shards {
			shard.close()
		}
	})
	time.Sleep(min(idleCloseDelay, max(deadline-agent.now(), 0)))
	ctx, cancel := context.WithTimeout(context.Background(), deadline-agent.now())
	defer cancel()
	return agent.server.Stop(ctx) == nil
}

// releaseLease ends the lease in this process and the grants at the back end,
// and tells the controller once the back end can no longer act on its grants.
// It waits until the end of the stop at the latest.
func (agent *Agent) releaseLease(end time.Duration) {
	agent.post(func(control *controlLoop) {
		control.lease.suspend()
		control.releasingLease.Store(true)
		control.wantLease.Store(false)
		control.releaseSignalled = false
		control.syncGrants()
	})
	agent.waitUntil(min(agent.now()+leaseReleaseTimeout, end), agent.releaseSent)
}

// releaseSent reports whether the release has been sent. Once a renewal has
// reported it, one more renewal is requested: when that one is built, the
// previous message has been sent.
func (agent *Agent) releaseSent() bool {
	reports := agent.releaseReports.Load()
	if reports == 1 {
		agent.subscription.RenewNow()
	}
	return reports > 1
}
