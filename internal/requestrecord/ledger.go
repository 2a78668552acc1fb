package requestrecord

import (
	"errors"
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Errors of Ledger and Record.
var (
	// ErrNotServing is returned if Begin was not called for the epoch, or the
	// epoch was released.
	ErrNotServing = errors.New("shard is not served at this epoch")
	// ErrFuture is returned if the id's stamp is ahead by more than ClockBound.
	ErrFuture = errors.New("request id is stamped in the future")
	// ErrEarly is returned if the id's stamp is ahead by at most ClockBound.
	ErrEarly = errors.New("request id is stamped ahead of the clock")
	// ErrUnfinished is returned for a transfer without its last part.
	ErrUnfinished = errors.New("import of an unfinished record")
)

// Defaults of Limits.
const (
	DefaultRetention      = 10 * time.Minute
	DefaultMaxEntries     = 200_000
	DefaultMaxAnswerBytes = 16 << 10
	DefaultMaxKeptBytes   = 16 << 20
	DefaultClockBound     = 250 * time.Millisecond
)

// Limits configures a Ledger. Zero fields take the defaults.
type Limits struct {
	// Retention is how long an entry is kept after its admission. A resend after
	// that is refused with RecordLost, not run.
	Retention time.Duration
	// MaxEntries bounds the number of entries of all shards together.
	MaxEntries int
	// MaxAnswerBytes is the maximum length of a body that is kept for repeats.
	MaxAnswerBytes int
	// MaxKeptBytes bounds the total length of the kept bodies.
	MaxKeptBytes int
	// ClockBound is the maximum difference between the wall clocks of two
	// agents, and by how much a caller's clock may be ahead.
	ClockBound time.Duration
}

func (limits Limits) withDefaults() Limits {
	if limits.Retention == 0 {
		limits.Retention = DefaultRetention
	}
	if limits.MaxEntries == 0 {
		limits.MaxEntries = DefaultMaxEntries
	}
	if limits.MaxAnswerBytes == 0 {
		limits.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if limits.MaxKeptBytes == 0 {
		limits.MaxKeptBytes = DefaultMaxKeptBytes
	}
	if limits.ClockBound == 0 {
		limits.ClockBound = DefaultClockBound
	}
	return limits
}

// ChangeFunc is called with each change of a Ledger, in order. A durable change
// must be synced before the caller acts on the method that made it: before an
// admitted request is sent, a released record is transferred, or an import is
// acknowledged. Other changes may be lost with the process.
type ChangeFunc func(change Change, durable bool)

// Ledger implements the rules of the record of request ids. It has no clock,
// goroutines or I/O: wall-clock readings are arguments, in milliseconds since
// 1970 UTC, and changes are passed to a ChangeFunc. It is not safe for concurrent
// use.
//
// A process that starts creates a Ledger, replays the changes in its journal and
// calls Restart before any other method.
type Ledger struct {
	limits   Limits
	onChange ChangeFunc
	state    *state
	counts   LedgerCounts
}

// LedgerCounts holds totals since NewLedger.
type LedgerCounts struct {
	// Fresh, Repeated and Lost count the decisions of Admit: admitted, answered
	// from an entry, and refused with RecordLost.
	Fresh, Repeated, Lost uint64
	// Dropped counts entries that retention removed.
	Dropped uint64
}

// NewLedger returns an empty ledger. If onChange is nil, changes are not passed
// on.
func NewLedger(limits Limits, onChange ChangeFunc) *Ledger {
	if onChange == nil {
		onChange = func(Change, bool) {}
	}
	return &Ledger{limits: limits.withDefaults(), onChange: onChange, state: newState()}
}

// Replay applies a change that an earlier process passed to its ChangeFunc.
func (ledger *Ledger) Replay(change Change) { ledger.state.apply(change) }

// Restart must be called after Replay. No shard is served until Begin, and the
// outcome of requests that ran when the process stopped becomes unknown. The
// argument damaged means that changes may be missing, durable ones only at the
// end; every shard's floor is then raised as after a loss of the record. Without a
// journal, or after damage, the record is complete only from now on: this agent
// may have admitted ids earlier that have no entry.
func (ledger *Ledger) Restart(damaged bool, nowUnixMilli int64) {
	for _, shard := range ledger.state.shards {
		shard.servingEpoch = 0
		shard.markRunningUnknown()
		if damaged {
			shard.takeoverFloor = max(shard.takeoverFloor, ledger.newOwnerFloor(nowUnixMilli))
		}
	}
	if damaged || ledger.state.completeSince == 0 {
		ledger.state.completeSince = ledger.newOwnerFloor(nowUnixMilli)
	}
	ledger.trim(nowUnixMilli)
}

// Changes returns the changes that rebuild the current state in an empty ledger.
func (ledger *Ledger) Changes() []Change { return ledger.state.changes() }

// newOwnerFloor returns a floor that is not below the stamp of any id that any
// owner can have admitted by now.
func (ledger *Ledger) newOwnerFloor(nowUnixMilli int64) int64 {
	return nowUnixMilli + ledger.limits.ClockBound.Milliseconds()
}

// applyChange applies a change and passes it to onChange.
func (ledger *Ledger) applyChange(change Change, durable bool) {
	ledger.state.apply(change)
	ledger.onChange(change, durable)
}

// trim drops entries beyond the limits.
func (ledger *Ledger) trim(nowUnixMilli int64) {
	ledger.counts.Dropped += uint64(ledger.state.trim(ledger.limits, nowUnixMilli))
}

// Begin must be called before ids of the shard are admitted at the epoch, but not
// before the back end has accepted the grant of this epoch, since from then on no
// earlier owner can admit. It reports whether the record of the previous owner is
// continued. It returns ErrNotServing for an epoch that was released.
//
// A shard created by a split continues the record of the shard that it was part
// of, if it begins before that shard begins at its new epoch. A shard extended by
// a merge keeps the entries of both, with a raised floor.
func (ledger *Ledger) Begin(shard topology.ShardID, epoch topology.Epoch, covers Range, nowUnixMilli int64) (continued bool, err error) {
	record := ledger.state.shard(shard)
	if epoch <= record.released || epoch < record.epoch {
		return false, fmt.Errorf("begin shard %s at epoch %d: %w", shard, epoch, ErrNotServing)
	}
	continued = record.isExactFor(epoch, covers)
	if !continued {
		continued = ledger.takeOver(shard, epoch, covers, nowUnixMilli)
	} else if record.epoch != epoch {
		ledger.applyChange(Change{Begun: &begunChange{Shard: shard, Epoch: epoch, Covers: covers,
			TakeoverFloor: record.takeoverFloor}}, false)
	}
	record.servingEpoch = epoch
	return continued, nil
}

// takeOver begins a shard without an exact record of its own. It copies the
// entries of the shards of the service that overlap its range.
func (ledger *Ledger) takeOver(shard topology.ShardID, epoch topology.Epoch, covers Range, nowUnixMilli int64) (continued bool) {
	begun := &begunChange{
		Shard:         shard,
		Epoch:         epoch,
		Covers:        covers,
		TakeoverFloor: ledger.newOwnerFloor(nowUnixMilli),
	}
	for _, id := range ledger.state.sortedShards() {
		other := ledger.state.shards[id]
		if id == shard || id.Service != shard.Service || !other.covers.Overlaps(covers) {
			continue
		}
		begun.From = append(begun.From, id)
		other.stopServingBefore(epoch)
		if other.epoch+1 == epoch && other.covers.contains(covers) {
			continued = true
			begun.TakeoverFloor = other.floor()
		}
	}
	ledger.applyChange(Change{Begun: begun}, false)
	return continued
}

// StampAhead returns by how much the id's stamp is ahead of the clock, and
// ErrFuture if that is more than ClockBound.
func (ledger *Ledger) StampAhead(id requestid.ID, nowUnixMilli int64) (time.Duration, error) {
	ahead := time.Duration(id.UnixMilli()-nowUnixMilli) * time.Millisecond
	if ahead > ledger.limits.ClockBound {
		return ahead, fmt.Errorf("%w by %v", ErrFuture, ahead)
	}
	return ahead, nil
}

// Admit decides what to do with a request that carries an id. A Fresh request is
// recorded by a durable change. The fingerprint distinguishes requests that carry
// the same id by mistake. An error is proof that this call did not admit the
// request. After ErrEarly, call again once the clock has reached the stamp.
func (ledger *Ledger) Admit(shard topology.ShardID, epoch topology.Epoch, id requestid.ID, fingerprint uint64, nowUnixMilli int64) (Verdict, error) {
	if ahead, err := ledger.StampAhead(id, nowUnixMilli); err != nil {
		return Verdict{}, err
	} else if ahead > 0 {
		return Verdict{}, fmt.Errorf("%w by %v", ErrEarly, ahead)
	}
	record := ledger.state.shards[shard]
	if !record.serves(epoch) {
		return Verdict{}, fmt.Errorf("admit to shard %s at epoch %d: %w", shard, epoch, ErrNotServing)
	}
	verdict := record.lookup(id, fingerprint)
	ledger.count(verdict.Decision)
	if verdict.Decision == Fresh {
		ledger.applyChange(Change{Admitted: &admittedChange{Shard: shard, ID: id, Fingerprint: fingerprint,
			AtUnixMilli: nowUnixMilli}}, true)
		ledger.trim(nowUnixMilli)
	}
	return verdict, nil
}

func (ledger *Ledger) count(decision Decision) {
	switch decision {
	case Fresh:
		ledger.counts.Fresh++
	case RecordLost:
		ledger.counts.Lost++
	default:
		ledger.counts.Repeated++
	}
}

// Finish records that an admitted request ran, and its answer. An answer whose
// body is longer than MaxAnswerBytes, or nil, is not kept. The change, like those
// of MarkOutcomeUnknown and Abandon, need not be durable: if it is lost, the outcome of the
// entry becomes unknown.
func (ledger *Ledger) Finish(shard topology.ShardID, id requestid.ID, answer *Answer) {
	if answer != nil && len(answer.Body) > ledger.limits.MaxAnswerBytes {
		answer = nil
	}
	ledger.applyChange(Change{Finished: newFinished(shard, id, answer)}, false)
}

// MarkOutcomeUnknown records that the outcome of an admitted request is unknown.
func (ledger *Ledger) MarkOutcomeUnknown(shard topology.ShardID, id requestid.ID) {
	ledger.applyChange(Change{Finished: &finishedChange{Shard: shard, ID: id}}, false)
}

// Abandon removes the entry of an admitted request that is proved not to have run,
// so that its id can be admitted again.
func (ledger *Ledger) Abandon(shard topology.ShardID, id requestid.ID) {
	ledger.applyChange(Change{Abandoned: &abandonedChange{Shard: shard, ID: id}}, false)
}

// Release promises, by a durable change, that the shard is not served again at
// the epoch or a lower one.
func (ledger *Ledger) Release(shard topology.ShardID, epoch topology.Epoch) {
	ledger.applyChange(Change{Released: &releasedChange{Shard: shard, Epoch: epoch}}, true)
}

// Export returns the record of a shard that was released at the epoch, no
// earlier than at releasedUnixMilli. Running requests should have ended; those
// that have not are listed without an outcome.
func (ledger *Ledger) Export(shard topology.ShardID, epoch topology.Epoch, releasedUnixMilli int64) (wire.RecordTransfer, error) {
	snap, err := ledger.snapshot(shard, epoch, releasedUnixMilli)
	if err != nil {
		return wire.RecordTransfer{}, err
	}
	return snap.transfer(), nil
}

// snapshot does the part of Export that needs the ledger.
func (ledger *Ledger) snapshot(shard topology.ShardID, epoch topology.Epoch, releasedUnixMilli int64) (snapshot, error) {
	record := ledger.state.shard(shard)
	if record.epoch != epoch || record.released < epoch {
		return snapshot{}, fmt.Errorf("export shard %s at epoch %d: record is of epoch %d, released %d: %w",
			shard, epoch, record.epoch, record.released, ErrNotServing)
	}
	snap := record.snapshot(shard)
	snap.releasedUnixMilli = releasedUnixMilli
	return snap, nil
}

// Import adds a previous owner's record by a durable change. It may be called
// before or after Begin.
func (ledger *Ledger) Import(transfer wire.RecordTransfer, nowUnixMilli int64) error {
	if !transfer.Last {
		return ErrUnfinished
	}
	ledger.applyChange(Change{Imported: &transfer}, true)
	ledger.trim(nowUnixMilli)
	return nil
}

// Counts returns the totals.
func (ledger *Ledger) Counts() LedgerCounts { return ledger.counts }

// Size returns the number of entries, including recently abandoned ones, and the
// total length of the kept bodies.
func (ledger *Ledger) Size() (entries, keptBytes int) {
	return len(ledger.state.admissions), ledger.state.keptBytes
}
