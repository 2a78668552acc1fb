package simulate

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	transferTimeout  = time.Second
	transferAttempts = 3
	releaseWait      = time.Second
	stopPoll         = 10 * time.Millisecond
)

// releaseStage is how far the release of a shard has come.
type releaseStage uint8

const (
	stageDraining releaseStage = iota + 1
	stageTransferring
	stageReleased
)

// release is a shard that moves away in order.
type release struct {
	shard              topology.ShardID
	epoch              topology.Epoch
	target             topology.BackendID
	stage              releaseStage
	drainUntil         time.Duration
	transferred, moved bool
	grantEndsBy        time.Duration
}

// followReleases begins a release for each shard that the table says is
// releasing, and forgets those that the table has gone past.
func (a *agent) followReleases() {
	for id, running := range a.releases {
		owned, ok := a.owned[id]
		if !ok || owned.Epoch != running.epoch || owned.Phase != topology.ShardReleasing {
			delete(a.releases, id)
		}
	}
	for _, id := range sortedShards(a.owned) {
		shard := a.owned[id]
		if _, begun := a.releases[id]; !begun && shard.Phase == topology.ShardReleasing {
			a.beginRelease(shard)
		}
	}
	a.stepReleases()
}

func (a *agent) beginRelease(shard topology.Shard) {
	a.releases[shard.ID] = &release{
		shard: shard.ID, epoch: shard.Epoch, target: shard.Target,
		stage: stageDraining, drainUntil: a.clock() + drainLimit,
	}
	if held, serving := a.served[shard.ID]; serving {
		held.onIdle = func() { a.later(a.stepReleases) }
		held.close()
	}
}

// later runs a function as the next event of the process.
func (a *agent) later(run func()) { a.after(0, run) }

// stepReleases takes each release as far as it can go now.
func (a *agent) stepReleases() {
	now := a.clock()
	for _, id := range sortedShards(a.releases) {
		running := a.releases[id]
		if running.stage == stageDraining && a.drained(running, now) {
			a.beginTransfer(running)
		}
		if running.stage == stageTransferring && running.transferred && a.grantGone(running, now) {
			running.stage = stageReleased
		}
		if running.stage == stageReleased || a.cluster.has(DefectReleaseEarly) {
			a.send(wire.ToController{Released: &wire.Released{
				Shard: running.shard, Epoch: running.epoch, RecordMoved: running.moved,
			}})
		}
	}
}

func (a *agent) drained(running *release, now time.Duration) bool {
	held, serving := a.served[running.shard]
	return !serving || now >= running.drainUntil || held.running == 0
}

// grantGone says that the back end can't act on the shard's grant any more.
func (a *agent) grantGone(running *release, now time.Duration) bool {
	return !a.grants.MayHold(running.shard) || now >= running.grantEndsBy
}

// beginTransfer promises never to serve the epoch again and sends the record
// to the next owner.
func (a *agent) beginTransfer(running *release) {
	running.stage = stageTransferring
	running.grantEndsBy = a.grants.AllExpiredBy()
	a.syncGrants()
	ended := func(moved bool) {
		if running.transferred {
			return
		}
		running.transferred, running.moved = true, moved
		a.stepReleases()
	}
	released := a.unixMilli()
	a.ledger.Release(running.shard, running.epoch)
	a.journal.afterSync(func() {
		transfer, err := a.ledger.Export(running.shard, running.epoch, released)
		if err != nil {
			ended(false)
			return
		}
		a.sendRecord(running.target, transfer, transferAttempts, ended)
	})
	a.after(transferTimeout, func() { ended(false) })
}

func (a *agent) sendRecord(target topology.BackendID, transfer wire.RecordTransfer, attempts int, ended func(bool)) {
	to := a.cluster.agentOf(target, a.table)
	if to == nil || attempts == 0 {
		ended(false)
		return
	}
	life := a.life
	again := func() { a.sendRecord(target, transfer, attempts-1, ended) }
	a.cluster.network.send(a.process, to.process, func() {
		to.takeRecord(transfer, func() {
			a.cluster.network.answer(to.process, a.process, life, func() { ended(true) })
		})
	}, again)
}

// takeRecord keeps a record that another agent sends and confirms it once it
// is synced.
func (a *agent) takeRecord(transfer wire.RecordTransfer, kept func()) {
	if a.cluster.has(DefectRecordNotMoved) {
		transfer.Entries = nil
	}
	if err := a.ledger.Import(transfer, a.unixMilli()); err == nil {
		a.journal.afterSync(kept)
	}
}

// stop is a planned stop: it announces that the back end leaves, serves until
// its shards have moved, finishes what runs, ends the grants and releases the
// lease.
func (a *agent) stop(ended func()) {
	deadline := a.clock() + agentStopTimeout
	a.leaving = true
	a.followState(topology.BackendDraining)
	a.renewNow()
	if a.cluster.has(DefectStopAtOnce) {
		a.exit(ended)
		return
	}
	a.waitUntil(a.clock()+agentStopTimeout/2, func() bool { return len(a.served) == 0 }, func() {
		for _, id := range sortedShards(a.served) {
			a.served[id].close()
		}
		a.waitUntil(deadline, a.idle, func() { a.releaseLease(ended) })
	})
}

func (a *agent) idle() bool { return a.running == 0 && len(a.queue) == 0 }

// waitUntil goes on once the condition holds or the time has come.
func (a *agent) waitUntil(deadline time.Duration, condition func() bool, next func()) {
	if condition() || a.clock() >= deadline {
		next()
		return
	}
	a.after(stopPoll, func() { a.waitUntil(deadline, condition, next) })
}

func (a *agent) releaseLease(ended func()) {
	a.withheld = true
	a.holder.Release()
	a.releasing = true
	a.syncGrants()
	a.waitUntil(a.clock()+releaseWait, a.mustRelease, func() {
		a.renewNow()
		a.after(stopPoll, func() { a.exit(ended) })
	})
}

// exit ends the process of a planned stop.
func (a *agent) exit(ended func()) {
	if !a.idle() {
		a.world.violate(PlannedStop, "%s ended with %d requests in progress", a.name, a.running+len(a.queue))
	}
	a.crash()
	ended()
}

// crash kills the process.
func (a *agent) crash() {
	if !a.up {
		return
	}
	a.process.kill()
	a.journal.crash()
}
