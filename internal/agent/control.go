package agent

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/grants"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/statechart"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// tickInterval is how often the control goroutine checks what no event
// announces: the back end's fitness, messages to send again, and grants to
// retry.
const tickInterval = 50 * time.Millisecond

// controlLoop is the state of the control goroutine. Its fields and methods
// must be used by that goroutine only; others pass it events by Agent.post.
type controlLoop struct {
	*Agent

	// assigned is the part of the current routing table that concerns this
	// agent.
	assigned *assignment
	// shards holds those that are served, or closed and draining. Each has been
	// granted and its request record is open.
	shards  map[topology.ShardID]*servedShard
	unbound *servedShard
	// leavingSince is when the back end began to leave, or zero if it does not.
	leavingSince time.Duration
	grants       *grants.State
	warmings     map[topology.ShardID]*warming
	releases     map[topology.ShardID]*shardRelease
	// superseded holds shards whose epoch was superseded while requests were in
	// progress.
	superseded  []*servedShard
	state       statechart.State
	backoff     backoff
	stateReason string
	// releaseSignalled is set once the controller was told that the lease was
	// given up.
	releaseSignalled bool
}

func newControlLoop(agent *Agent) *controlLoop {
	return &controlLoop{
		Agent:    agent,
		assigned: &assignment{},
		shards:   make(map[topology.ShardID]*servedShard),
		grants:   grants.New(agent.config.ClockDrift, agent.now()),
		warmings: make(map[topology.ShardID]*warming),
		releases: make(map[topology.ShardID]*shardRelease),
		state:    backendTable.Initial(),
		backoff:  backoff{config: agent.config.Fitness},
	}
}

// run handles events until the context ends.
func (control *controlLoop) run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	control.syncGrants()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-control.events:
			event(control)
		case <-ticker.C:
			control.tick()
		}
	}
}

func (control *controlLoop) tick() {
	now := control.now()
	if reason := control.fitness.failureReason(now); reason != "" && control.state == stateFit {
		control.stateReason = reason
		control.fitness.countWaitingAsFailed()
		control.fire(eventFailed)
	}
	if control.state == stateFit && control.grants.Lost(now) {
		control.stateReason = "grants were not answered"
		control.fire(eventLost)
	}
	control.checkBackoffEnd(now)
	control.updateClosedToNew(now)
	control.syncGrants()
	control.signalRelease(now)
	control.advanceReleases(now)
	control.resendWarmed()
}

// checkBackoffEnd ends the resting state once the backoff has passed and the
// back end reports that it is healthy.
func (control *controlLoop) checkBackoffEnd(now time.Duration) {
	if control.state == stateResting && now >= control.backoff.until && control.healthy.Load() {
		control.fire(eventRested)
	}
}

// fire performs the transition of backend.chart for an event, if there is one.
func (control *controlLoop) fire(event statechart.Event) {
	next, action, ok := backendTable.Next(control.state, event)
	if !ok {
		return
	}
	now := control.now()
	control.config.Log.Info("back end state", slog.String("from", stateNames[control.state]),
		slog.String("to", stateNames[next]), slog.String("reason", control.stateReason))
	if next == stateResting {
		control.backoff.start(now)
	}
	control.state = next
	control.backendState.Store(uint32(next))
	switch action {
	case actionResumeLease:
		if control.releasingLease.Load() {
			return
		}
		control.stateReason = ""
		control.fitness.reset(now)
		control.lease.resume(now)
		control.wantLease.Store(true)
		control.subscription.RenewNow()
	case actionGiveUpLease:
		control.lease.suspend()
		control.wantLease.Store(false)
		control.releaseSignalled = false
		control.syncGrants()
	}
}

// applyTable applies a new routing table. The holder already has it.
func (control *controlLoop) applyTable(assigned *assignment) {
	control.assigned = assigned
	if assigned.backend != nil {
		control.applyLimits(assigned.backend)
		control.updateLeaving(assigned.backend)
		control.updateMoves(assigned)
		control.updateWarmings(assigned.warming)
	}
	control.reconcile()
	if assigned.table != nil {
		control.appliedRevision.Store(uint64(assigned.table.Revision()))
	}
}

// reapplyTable applies the current routing table again after other inputs have
// changed.
func (control *controlLoop) reapplyTable() { control.applyTable(control.assigned) }

// reconcile closes shards that are no longer owned at their epoch and begins
// releases.
func (control *controlLoop) reconcile() {
	if control.closeSuperseded() {
		control.publish()
	}
	control.updateReleases()
	control.syncGrants()
}

// publish makes the current decisions visible to request goroutines.
func (control *controlLoop) publish() {
	previous := control.view.Swap(newView(maps.Clone(control.shards), control.unbound))
	close(previous.changed)
}

// beginServing starts serving shards that the back end was just granted. Shards
// are started in descending order of their numbers: a part created by a split
// has a higher number and must begin before the shard that it was split from,
// whose request record it continues.
func (control *controlLoop) beginServing(granted []topology.Shard) {
	if len(granted) == 0 {
		return
	}
	slices.SortFunc(granted, func(a, b topology.Shard) int { return int(b.ID.Shard) - int(a.ID.Shard) })
	changed := false
	for _, shard := range granted {
		owned, still := control.assigned.owned[shard.ID]
		if !still || owned.Epoch != shard.Epoch {
			continue
		}
		changed = control.beginShard(owned, control.assigned.keyRange[shard.ID]) || changed
	}
	if changed {
		control.publish()
	}
}

func (control *controlLoop) beginShard(shard topology.Shard, keyRange requestrecord.Range) bool {
	granted := uint64(control.grants.Epoch(shard.ID))
	if held, ok := control.shards[shard.ID]; ok && held.epoch == shard.Epoch {
		held.grantedEpoch.Store(granted) // the back end was restarted
		return false
	}
	continued, err := control.record.Begin(shard.ID, shard.Epoch, keyRange)
	if err != nil {
		control.config.Log.Warn("shard not served", slog.String("shard", shard.ID.String()), slog.Any("error", err))
		return false
	}
	if !continued {
		control.counts.recordsLost.Add(1)
	}
	begun := newServedShard(shard.ID, shard.Epoch, keyRange)
	begun.grantedEpoch.Store(granted)
	control.shards[shard.ID] = begun
	return true
}
