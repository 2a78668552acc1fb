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

// tickInterval is how often the control goroutine looks at what has no event:
// fitness, repeats of messages, retries of grants.
const tickInterval = 50 * time.Millisecond

// controlLoop is the state of the control goroutine. Everything in it, and its
// methods, belong to that goroutine; others send it work by Agent.post.
type controlLoop struct {
	*Agent

	// mine is what the present table gives this agent.
	mine *share
	// shards that are granted and begun, or finishing.
	shards  map[topology.ShardID]*served
	unbound *served
	// leavingSince is when the back end began to leave; zero while it does not.
	leavingSince time.Duration
	grants       *grants.State
	warmings     map[topology.ShardID]*warming
	releases     map[topology.ShardID]*release
	// lingering are shards whose epoch ended while requests ran.
	lingering []*served
	state     statechart.State
	rest      rest
	fitReport string
	// releaseSignalled: the controller was told that the lease was given up.
	releaseSignalled bool
}

func newControl(agent *Agent) *controlLoop {
	return &controlLoop{
		Agent:    agent,
		mine:     &share{},
		shards:   make(map[topology.ShardID]*served),
		grants:   grants.New(agent.config.ClockDrift, agent.now()),
		warmings: make(map[topology.ShardID]*warming),
		releases: make(map[topology.ShardID]*release),
		state:    backendTable.Initial(),
		rest:     rest{config: agent.config.Fitness},
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
	if reason := control.fitness.verdict(now); reason != "" && control.state == stateFit {
		control.fitReport = reason
		control.fitness.giveUp()
		control.fire(eventFailed)
	}
	if control.state == stateFit && control.grants.Lost(now) {
		control.fitReport = "grants were not answered"
		control.fire(eventLost)
	}
	control.rested(now)
	control.closeLeaving(now)
	control.syncGrants()
	control.signalRelease(now)
	control.stepReleases(now)
	control.repeatWarmed()
}

// rested asks the back end for its health once a rest has passed.
func (control *controlLoop) rested(now time.Duration) {
	if control.state == stateResting && now >= control.rest.until && control.healthy.Load() {
		control.fire(eventRested)
	}
}

// fire makes a transition of backend.chart.
func (control *controlLoop) fire(event statechart.Event) {
	next, action, ok := backendTable.Next(control.state, event)
	if !ok {
		return
	}
	now := control.now()
	control.config.Log.Info("back end state", slog.String("from", stateNames[control.state]),
		slog.String("to", stateNames[next]), slog.String("reason", control.fitReport))
	if next == stateResting {
		control.rest.begin(now)
	}
	control.state = next
	control.backendState.Store(uint32(next))
	switch action {
	case actionResumeLease:
		if control.releasing.Load() {
			return
		}
		control.fitReport = ""
		control.fitness.reset(now)
		control.lease.resume(now)
		control.wantLease.Store(true)
		control.subscription.RenewNow()
	case actionGiveUpLease:
		control.lease.withhold()
		control.wantLease.Store(false)
		control.releaseSignalled = false
		control.syncGrants()
	}
}

// tableChanged follows a new routing table, which the holder already has.
func (control *controlLoop) tableChanged(mine *share) {
	control.mine = mine
	if mine.backend != nil {
		control.applyLimits(mine.backend)
		control.followState(mine.backend)
		control.followMoves(mine)
		control.followWarmings(mine.warming)
	}
	control.reconcile()
	if mine.table != nil {
		control.following.Store(uint64(mine.table.Revision()))
	}
}

// refollow looks at the present table again.
func (control *controlLoop) refollow() { control.tableChanged(control.mine) }

// reconcile closes what is no longer owned and lets releases begin.
func (control *controlLoop) reconcile() {
	if control.closeEnded() {
		control.publish()
	}
	control.followReleases()
	control.syncGrants()
}

// publish gives the requests a new view.
func (control *controlLoop) publish() {
	previous := control.view.Swap(newView(maps.Clone(control.shards), control.unbound))
	close(previous.changed)
}

// begin lets shards be served that the back end was just granted. A part that
// a split made has a higher number and begins before the shard it was part of,
// whose record it continues.
func (control *controlLoop) begin(granted []topology.Shard) {
	if len(granted) == 0 {
		return
	}
	slices.SortFunc(granted, func(a, b topology.Shard) int { return int(b.ID.Shard) - int(a.ID.Shard) })
	changed := false
	for _, shard := range granted {
		owned, still := control.mine.owned[shard.ID]
		if !still || owned.Epoch != shard.Epoch {
			continue
		}
		changed = control.beginShard(owned, control.mine.covers[shard.ID]) || changed
	}
	if changed {
		control.publish()
	}
}

func (control *controlLoop) beginShard(shard topology.Shard, covers requestrecord.Range) bool {
	granted := uint64(control.grants.Epoch(shard.ID))
	if held, ok := control.shards[shard.ID]; ok && held.epoch == shard.Epoch {
		held.granted.Store(granted) // the back end was restarted
		return false
	}
	continued, err := control.record.Begin(shard.ID, shard.Epoch, covers)
	if err != nil {
		control.config.Log.Warn("shard not served", slog.String("shard", shard.ID.String()), slog.Any("error", err))
		return false
	}
	if !continued {
		control.counts.recordsLost.Add(1)
	}
	begun := newServed(shard.ID, shard.Epoch, covers)
	begun.granted.Store(granted)
	control.shards[shard.ID] = begun
	return true
}
