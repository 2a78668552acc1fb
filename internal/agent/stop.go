package agent

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// ErrStopTimeout says that requests were still in progress when a planned stop
// ran out of time.
var ErrStopTimeout = errors.New("planned stop ran out of time")

const (
	// stopPoll is how often a planned stop looks whether it may go on.
	stopPoll = 10 * time.Millisecond
	// closeNotice is for how long requests are refused before idle connections
	// are closed. Each refusal closes its connection in order, so that a router
	// does not write to one that is just being closed, which would leave the
	// outcome of a request that never ran unknown.
	closeNotice = 200 * time.Millisecond
	// moveGap is the longest time between two moves of one plan.
	moveGap = 500 * time.Millisecond
	// releaseWait bounds the wait for the controller to be told of the release;
	// without it the lease runs out by itself.
	releaseWait = time.Second
	// closeWait is kept of a planned stop, after the release, for the end of the
	// session and the record's files. An assumption: they take milliseconds.
	closeWait = 500 * time.Millisecond
	// leastDrainShare is the part of a short planned stop that the drain has in
	// any case; the release gets the rest, as 1 of leastDrainShare+1.
	leastDrainShare = 3
)

// drainTime is how much of a planned stop's time the drain may take, so that
// there is time left to release the lease and to close.
func drainTime(stopTimeout time.Duration) time.Duration {
	return max(stopTimeout-releaseWait-closeWait, stopTimeout*leastDrainShare/(leastDrainShare+1))
}

// stop is a planned stop. It announces that the back end leaves and serves on
// while its shards move, for LeavingGrace; then it takes no new requests. What
// may outlast the drain it refuses from the begin on. It waits for moves in
// progress for at most half of StopTimeout, and for running requests for
// drainTime. Then it ends the grants and releases the lease.
func (agent *Agent) stop() error {
	begun := agent.now()
	deadline := begun + drainTime(agent.config.StopTimeout)
	agent.admission.Begin(agent.start.Add(deadline))
	agent.leaving.Store(true)
	agent.post(func(control *controlLoop) { control.refollow() })
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

// awaitMoves returns once nothing is owned, or nothing has been moving for
// moveGap and either the shards wait for the restart and no long request runs,
// or the grace has passed. It does so before new work is refused, so that
// callers are told when to come back.
func (agent *Agent) awaitMoves() {
	begun := agent.now()
	lastMove := begun
	agent.waitUntil(begun+agent.config.StopTimeout/2, func() bool {
		now := agent.now()
		if agent.moving.Load() > 0 {
			lastMove = now
		}
		planned := now-lastMove >= min(moveGap, agent.config.LeavingGrace/2)
		idle := !agent.runsLong() || now-begun >= agent.config.LeavingGrace*9/10
		stays := agent.waitsForRestart.Load() && planned && idle
		stuck := now-begun >= agent.config.LeavingGrace && now-lastMove >= moveGap
		return stays || stuck || agent.ownsNothing()
	})
}

// runsLong says whether a request runs for which the restart would have to wait
// noticeably, while nobody is served.
func (agent *Agent) runsLong() bool {
	for _, shard := range agent.view.Load().shards {
		if shard.runsLong() {
			return true
		}
	}
	return false
}

func (agent *Agent) ownsNothing() bool { return len(agent.view.Load().shards) == 0 }

// waitUntil returns whether the condition came true in time.
func (agent *Agent) waitUntil(deadline time.Duration, condition func() bool) bool {
	ticker := time.NewTicker(stopPoll)
	defer ticker.Stop()
	for !condition() {
		if agent.now() >= deadline {
			return false
		}
		<-ticker.C
	}
	return true
}

// drain closes all shards to new requests and lets the server finish. It
// returns false where requests were cut off.
func (agent *Agent) drain(deadline time.Duration) bool {
	agent.stopping.Store(true)
	agent.post(func(control *controlLoop) {
		for _, shard := range control.shards {
			shard.close()
		}
	})
	time.Sleep(min(closeNotice, max(deadline-agent.now(), 0)))
	ctx, cancel := context.WithTimeout(context.Background(), deadline-agent.now())
	defer cancel()
	return agent.server.Stop(ctx) == nil
}

// releaseLease ends the lease in this process and at the back end, and tells
// the controller once the back end can't act on its grants any more. The end is
// that of the stop.
func (agent *Agent) releaseLease(end time.Duration) {
	agent.post(func(control *controlLoop) {
		control.lease.withhold()
		control.releasing.Store(true)
		control.wantLease.Store(false)
		control.releaseSignalled = false
		control.syncGrants()
	})
	agent.waitUntil(min(agent.now()+releaseWait, end), agent.releaseSent)
}

// releaseSent asks for one more renewal once the release was reported: when
// that one is made, the message before it has been sent.
func (agent *Agent) releaseSent() bool {
	reports := agent.releaseReports.Load()
	if reports == 1 {
		agent.subscription.RenewNow()
	}
	return reports > 1
}
