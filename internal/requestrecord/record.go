package requestrecord

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Errors of Record.
var (
	// ErrNotServing: Begin was not called for the epoch, or it was released.
	ErrNotServing = errors.New("shard is not served at this epoch")
	// ErrFuture: the id's stamp is further ahead than ClockBound.
	ErrFuture = errors.New("request id is stamped in the future")
	// ErrJournal: a write or sync failed; nothing is admitted any more.
	ErrJournal = errors.New("request journal failed")
)

// Defaults of Config.
const (
	DefaultRetention      = 10 * time.Minute
	DefaultMaxEntries     = 200_000
	DefaultMaxAnswerBytes = 16 << 10
	DefaultMaxKeptBytes   = 16 << 20
	DefaultClockBound     = 250 * time.Millisecond
)

// Config of a Record. Zero fields take the defaults.
type Config struct {
	// Directory for the journal, inside the data folder; made when missing.
	Directory string
	// Retention is how long an id is remembered after its admission. A resend
	// after that is answered "unknown", not run.
	Retention time.Duration
	// MaxEntries bounds the ids remembered, over all shards.
	MaxEntries int
	// MaxAnswerBytes is the longest body that is kept for repeats.
	MaxAnswerBytes int
	// MaxKeptBytes bounds all kept bodies together.
	MaxKeptBytes int
	// ClockBound is the most by which the wall clocks of two agents differ,
	// and by which a caller's may be ahead.
	ClockBound time.Duration
	// RewriteBytes is how long the journal grows before it is written anew.
	RewriteBytes int64
	// Now is the wall clock; nil is time.Now.
	Now func() time.Time
}

func (config Config) withDefaults() Config {
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	if config.MaxEntries == 0 {
		config.MaxEntries = DefaultMaxEntries
	}
	if config.MaxAnswerBytes == 0 {
		config.MaxAnswerBytes = DefaultMaxAnswerBytes
	}
	if config.MaxKeptBytes == 0 {
		config.MaxKeptBytes = DefaultMaxKeptBytes
	}
	if config.ClockBound == 0 {
		config.ClockBound = DefaultClockBound
	}
	if config.RewriteBytes == 0 {
		config.RewriteBytes = DefaultRewriteBytes
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return config
}

// Stats are counts since Open, and present sizes.
type Stats struct {
	Entries, KeptBytes int
	// Fresh, Repeated and Lost count decisions of Admit: admitted, found, and
	// refused with RecordLost.
	Fresh, Repeated, Lost uint64
	// Dropped counts entries that retention removed.
	Dropped uint64
	// Syncs of the journal, and the changes that they made durable.
	Syncs, Synced uint64
}

// Record is what an agent remembers of non-repeatable requests. Its methods
// may be called from any goroutine.
type Record struct {
	config  Config
	journal *journal

	mutex sync.Mutex
	state *state
	stats Stats
}

// Open reads the journal in Config.Directory and writes it anew. Where the
// journal has a damaged or unfinished end, every shard's floor is raised as
// after a loss of the record.
func Open(config Config) (*Record, error) {
	config = config.withDefaults()
	replayed := newState()
	segments, damaged, err := readJournal(config.Directory, replayed)
	if err != nil {
		return nil, fmt.Errorf("open request journal: %w", err)
	}
	record := &Record{config: config, state: replayed}
	if damaged {
		record.raiseFloors()
	}
	replayed.endRunning()
	record.stats.Dropped += uint64(replayed.trim(config, record.nowUnixMilli()))
	record.journal, err = startJournal(config.Directory, config.RewriteBytes, segments, record.changes)
	if err != nil {
		return nil, fmt.Errorf("open request journal: %w", err)
	}
	return record, nil
}

// Close writes what is pending, syncs and closes the journal.
func (record *Record) Close() error { return record.journal.close() }

func (record *Record) nowUnixMilli() int64 { return record.config.Now().UnixMilli() }

func (record *Record) raiseFloors() {
	floor := record.nowUnixMilli() + record.config.ClockBound.Milliseconds()
	for _, shard := range record.state.shards {
		shard.takeoverFloor = max(shard.takeoverFloor, floor)
	}
}

// changes returns what rebuilds the present state. It may already contain
// changes that the journal has yet to write; applying them twice does no harm.
func (record *Record) changes() []change {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return record.state.changes()
}

// endRunning marks what ran when the process stopped as unknown.
func (state *state) endRunning() {
	for _, shard := range state.shards {
		for _, kept := range shard.entries {
			if kept.state == stateRunning {
				kept.state = stateUnknown
			}
		}
	}
}

// Begin must be called before ids of the shard are admitted at the epoch, and
// after no earlier owner can admit any more: the back end has accepted the
// grant of this epoch. It reports whether the record of the previous owner is
// at hand. ErrNotServing is returned for an epoch that was released.
//
// A shard that a split made continues the record of the shard that it was part
// of, provided that it begins before that one does at its new epoch. A shard
// that a merge extended keeps the entries of both, with a raised floor.
func (record *Record) Begin(shard topology.ShardID, epoch topology.Epoch, covers Range) (continued bool, err error) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	held := record.state.shard(shard)
	if epoch <= held.released || epoch < held.epoch {
		return false, fmt.Errorf("begin shard %s at epoch %d: %w", shard, epoch, ErrNotServing)
	}
	continued = held.continues(epoch, covers)
	if !continued {
		continued = record.takeOver(shard, epoch, covers)
	} else if held.epoch != epoch {
		record.make(change{Begun: &begunChange{Shard: shard, Epoch: epoch, Covers: covers,
			TakeoverFloor: held.takeoverFloor}}, false)
	}
	held.begun = epoch
	return continued, nil
}

// takeOver begins without an exact record of the shard itself.
func (record *Record) takeOver(shard topology.ShardID, epoch topology.Epoch, covers Range) (continued bool) {
	begun := &begunChange{
		Shard:         shard,
		Epoch:         epoch,
		Covers:        covers,
		TakeoverFloor: record.nowUnixMilli() + record.config.ClockBound.Milliseconds(),
	}
	for id, other := range record.state.shards {
		if id == shard || id.Service != shard.Service || !other.covers.overlaps(covers) {
			continue
		}
		begun.From = append(begun.From, id)
		if other.epoch+1 == epoch && other.covers.contains(covers) {
			continued = true
			begun.TakeoverFloor = other.floor()
		}
	}
	record.make(change{Begun: begun}, false)
	return continued
}

// make applies a change and appends it to the journal in the same order. The
// caller holds the mutex.
func (record *Record) make(made change, sync bool) *commit {
	record.state.apply(made)
	return record.journal.append(made, sync)
}

// Admit decides about a request that carries an id, and when it is Fresh
// returns only after its entry is synced. Fingerprint tells requests apart
// that carry the same id by mistake. ErrFuture, ErrNotServing, ErrJournal and
// the context's error are proof that the request was not admitted by this
// call.
func (record *Record) Admit(ctx context.Context, shard topology.ShardID, epoch topology.Epoch, id requestid.ID, fingerprint uint64) (Verdict, error) {
	if err := record.waitForStamp(ctx, id); err != nil {
		return Verdict{}, err
	}
	verdict, pending, err := record.decide(shard, epoch, id, fingerprint)
	if err != nil || verdict.Decision != Fresh {
		return verdict, err
	}
	if err := pending.wait(); err != nil {
		record.Abandon(shard, id)
		return Verdict{}, err
	}
	return verdict, nil
}

func (record *Record) decide(shard topology.ShardID, epoch topology.Epoch, id requestid.ID, fingerprint uint64) (Verdict, *commit, error) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	held := record.state.shards[shard]
	if !held.serves(epoch) {
		return Verdict{}, nil, fmt.Errorf("admit to shard %s at epoch %d: %w", shard, epoch, ErrNotServing)
	}
	verdict := held.lookup(id, fingerprint)
	record.count(verdict.Decision)
	if verdict.Decision != Fresh {
		return verdict, nil, nil
	}
	now := record.nowUnixMilli()
	admitted := &admittedChange{Shard: shard, ID: id, Fingerprint: fingerprint, AtUnixMilli: now}
	pending := record.make(change{Admitted: admitted}, true)
	record.stats.Dropped += uint64(record.state.trim(record.config, now))
	return verdict, pending, nil
}

func (record *Record) count(decision Decision) {
	switch decision {
	case Fresh:
		record.stats.Fresh++
	case RecordLost:
		record.stats.Lost++
	default:
		record.stats.Repeated++
	}
}

// waitForStamp returns once the wall clock has reached the id's stamp, so that
// no id is admitted before its own time.
func (record *Record) waitForStamp(ctx context.Context, id requestid.ID) error {
	for {
		ahead := time.UnixMilli(id.UnixMilli()).Sub(record.config.Now())
		if ahead <= 0 {
			return nil
		}
		if ahead > record.config.ClockBound {
			return fmt.Errorf("%w by %v", ErrFuture, ahead)
		}
		timer := time.NewTimer(ahead)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return context.Cause(ctx)
		}
	}
}

// Finish keeps the answer of an admitted request that ran. An answer longer
// than MaxAnswerBytes is noted as run without being kept; nil says the same.
func (record *Record) Finish(shard topology.ShardID, id requestid.ID, answer *Answer) {
	if answer != nil && len(answer.Body) > record.config.MaxAnswerBytes {
		answer = nil
	}
	record.end(change{Finished: &finishedChange{Shard: shard, ID: id, Answered: true, Answer: answer}})
}

// Lose notes that it is not known whether an admitted request ran.
func (record *Record) Lose(shard topology.ShardID, id requestid.ID) {
	record.end(change{Finished: &finishedChange{Shard: shard, ID: id}})
}

// Abandon frees the id of an admitted request that is proved not to have run.
func (record *Record) Abandon(shard topology.ShardID, id requestid.ID) {
	record.end(change{Abandoned: &abandonedChange{Shard: shard, ID: id}})
}

// end needs no sync: when the change is lost the entry reads "unknown".
func (record *Record) end(made change) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.make(made, false)
}

// Export promises, synced, that the shard is never again served at the epoch
// or below, and then returns its record. Running requests should have ended;
// those that have not are listed without an outcome.
func (record *Record) Export(shard topology.ShardID, epoch topology.Epoch) (wire.RecordTransfer, error) {
	if err := record.Release(shard, epoch); err != nil {
		return wire.RecordTransfer{}, err
	}
	record.mutex.Lock()
	defer record.mutex.Unlock()
	held := record.state.shard(shard)
	if held.epoch != epoch {
		return wire.RecordTransfer{}, fmt.Errorf("export shard %s at epoch %d: record is of epoch %d: %w",
			shard, epoch, held.epoch, ErrNotServing)
	}
	return held.export(shard), nil
}

// Release promises, synced, that the shard is never again served at the epoch
// or below.
func (record *Record) Release(shard topology.ShardID, epoch topology.Epoch) error {
	record.mutex.Lock()
	pending := record.make(change{Released: &releasedChange{Shard: shard, Epoch: epoch}}, true)
	record.mutex.Unlock()
	return pending.wait()
}

// Import keeps a previous owner's record, synced. It may come before Begin or,
// late, after it.
func (record *Record) Import(transfer wire.RecordTransfer) error {
	if !transfer.Last {
		return errors.New("import of an unfinished record")
	}
	record.mutex.Lock()
	pending := record.make(change{Imported: &transfer}, true)
	record.state.trim(record.config, record.nowUnixMilli())
	record.mutex.Unlock()
	return pending.wait()
}

// Stats returns the counts.
func (record *Record) Stats() Stats {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	stats := record.stats
	stats.Entries = len(record.state.order)
	stats.KeptBytes = record.state.keptBytes
	stats.Syncs, stats.Synced = record.journal.counts()
	return stats
}
