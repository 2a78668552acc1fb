package simulate

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
)

// journal is the emulated file of an agent's ledger. Changes that were not
// synced may be lost with the process, from the end.
type journal struct {
	world   *world
	owner   *process
	changes []requestrecord.Change
	// durable counts the changes that were synced.
	durable int
	waiting []func()
	syncing bool
	// unsynced defers no one to a sync.
	unsynced bool
	// damaged: changes were lost in the middle of the file.
	damaged bool
}

// open replays the journal into a ledger, as a process does that starts.
func (j *journal) open(owner *process, unsynced bool) *requestrecord.Ledger {
	j.owner = owner
	j.unsynced = unsynced
	j.syncing, j.waiting = false, nil
	ledger := requestrecord.NewLedger(requestrecord.Limits{Retention: retention}, func(made requestrecord.Change, _ bool) {
		j.changes = append(j.changes, made)
	})
	for _, change := range j.changes {
		ledger.Replay(change)
	}
	ledger.Restart(j.damaged, owner.unixMilli())
	j.damaged = false
	j.changes = ledger.Changes()
	j.durable = len(j.changes)
	return ledger
}

// retention of request ids: short, so that it is exercised.
const retention = 45 * time.Second

// afterSync calls back once all changes made so far are durable.
func (j *journal) afterSync(done func()) {
	if j.unsynced {
		done()
		return
	}
	j.waiting = append(j.waiting, done)
	j.sync()
}

// sync starts a sync unless one is running; the next takes all that came
// meanwhile.
func (j *journal) sync() {
	if j.syncing || len(j.waiting) == 0 {
		return
	}
	j.syncing = true
	upTo, waiting := len(j.changes), j.waiting
	j.waiting = nil
	life := j.owner.life
	j.world.after(j.world.between(syncLeast, syncMost), func() {
		if j.owner.life != life {
			return
		}
		j.durable = upTo
		j.owner.do(life, func() {
			j.syncing = false
			for _, done := range waiting {
				done()
			}
			j.sync()
		})
	})
}

// crash loses changes that were not synced, from a random place on.
func (j *journal) crash() {
	unsynced := len(j.changes) - j.durable
	kept := j.durable
	if unsynced > 0 && !j.unsynced {
		kept += j.world.random.IntN(unsynced + 1)
	}
	if j.unsynced {
		kept = max(0, len(j.changes)-unsyncedLoss)
	}
	j.changes = j.changes[:min(kept, len(j.changes))]
}

// unsyncedLoss is how many changes a crash takes from a journal that is never
// synced.
const unsyncedLoss = 30

// lose empties the journal's disk.
func (j *journal) lose() {
	j.changes = nil
	j.durable = 0
	j.damaged = false
}
