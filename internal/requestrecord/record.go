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

// ErrJournal is returned after a write or sync of the journal has failed. From
// then on no request is admitted.
var ErrJournal = errors.New("request journal failed")

// Config configures a Record. Zero fields take the defaults.
type Config struct {
	Limits
	// Directory of the journal, inside the data folder; created if missing.
	Directory string
	// RewriteBytes is the segment size beyond which the journal is rewritten.
	RewriteBytes int64
	// Now is the wall clock; nil means time.Now.
	Now func() time.Time
}

func (config Config) withDefaults() Config {
	config.Limits = config.Limits.withDefaults()
	if config.RewriteBytes == 0 {
		config.RewriteBytes = DefaultRewriteBytes
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return config
}

// Stats holds counts since Open and current sizes.
type Stats struct {
	LedgerCounts
	Entries, KeptBytes int
	// Syncs counts the syncs of the journal, Synced the changes that they made
	// durable.
	Syncs, Synced uint64
}

// Record is an agent's record of non-repeatable requests: a Ledger with a journal.
// Its methods may be called from any goroutine; those that make a durable change
// return once it is synced.
type Record struct {
	config  Config
	journal *journal

	mutex  sync.Mutex
	ledger *Ledger
	// last is the commit that contains the latest change.
	last *commit
}

// Open replays the journal in Config.Directory and rewrites it. If a segment of
// the journal is damaged or incomplete, every shard's floor is raised as after a
// loss of the record.
func Open(config Config) (*Record, error) {
	config = config.withDefaults()
	record := &Record{config: config}
	record.ledger = NewLedger(config.Limits, record.append)
	segments, damaged, err := readJournal(config.Directory, record.ledger.Replay)
	if err != nil {
		return nil, fmt.Errorf("open request journal: %w", err)
	}
	record.ledger.Restart(damaged, record.nowUnixMilli())
	record.journal, err = startJournal(config.Directory, config.RewriteBytes, segments, record.changes)
	if err != nil {
		return nil, fmt.Errorf("open request journal: %w", err)
	}
	return record, nil
}

// Close writes and syncs the pending changes and closes the journal.
func (record *Record) Close() error { return record.journal.close() }

func (record *Record) nowUnixMilli() int64 { return record.config.Now().UnixMilli() }

// append is the ledger's ChangeFunc. The caller holds the mutex, so changes reach
// the journal in the order in which they were made.
func (record *Record) append(change Change, durable bool) {
	record.last = record.journal.append(change, durable)
}

// changes returns the changes that rebuild the current state. They may include
// some that are still pending in the journal; applying those twice is harmless.
func (record *Record) changes() []Change {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return record.ledger.Changes()
}

// Begin calls Ledger.Begin.
func (record *Record) Begin(shard topology.ShardID, epoch topology.Epoch, covers Range) (continued bool, err error) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	return record.ledger.Begin(shard, epoch, covers, record.nowUnixMilli())
}

// Admit calls Ledger.Admit once the clock has reached the id's stamp. For a Fresh
// request it returns only after the entry is synced. ErrFuture, ErrNotServing,
// ErrJournal and the context's error are proof that this call did not admit the
// request.
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
	verdict, err := record.ledger.Admit(shard, epoch, id, fingerprint, record.nowUnixMilli())
	return verdict, record.last, err
}

// waitForStamp waits until the wall clock has reached the id's stamp, so that no
// id is admitted before its stamp.
func (record *Record) waitForStamp(ctx context.Context, id requestid.ID) error {
	for {
		ahead, err := record.ledger.StampAhead(id, record.nowUnixMilli())
		if err != nil || ahead <= 0 {
			return err
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

// Finish calls Ledger.Finish.
func (record *Record) Finish(shard topology.ShardID, id requestid.ID, answer *Answer) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.ledger.Finish(shard, id, answer)
}

// MarkOutcomeUnknown calls Ledger.MarkOutcomeUnknown.
func (record *Record) MarkOutcomeUnknown(shard topology.ShardID, id requestid.ID) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.ledger.MarkOutcomeUnknown(shard, id)
}

// Abandon calls Ledger.Abandon.
func (record *Record) Abandon(shard topology.ShardID, id requestid.ID) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	record.ledger.Abandon(shard, id)
}

// Export calls Release and then exports the record. Admissions to other shards
// continue while the answers are unpacked.
func (record *Record) Export(shard topology.ShardID, epoch topology.Epoch) (wire.RecordTransfer, error) {
	released := record.nowUnixMilli()
	if err := record.Release(shard, epoch); err != nil {
		return wire.RecordTransfer{}, err
	}
	record.mutex.Lock()
	snap, err := record.ledger.snapshot(shard, epoch, released)
	record.mutex.Unlock()
	if err != nil {
		return wire.RecordTransfer{}, err
	}
	return snap.transfer(), nil
}

// Release calls Ledger.Release and waits for its sync.
func (record *Record) Release(shard topology.ShardID, epoch topology.Epoch) error {
	record.mutex.Lock()
	record.ledger.Release(shard, epoch)
	pending := record.last
	record.mutex.Unlock()
	return pending.wait()
}

// Import calls Ledger.Import and waits for its sync.
func (record *Record) Import(transfer wire.RecordTransfer) error {
	record.mutex.Lock()
	err := record.ledger.Import(transfer, record.nowUnixMilli())
	pending := record.last
	record.mutex.Unlock()
	if err != nil {
		return err
	}
	return pending.wait()
}

// Stats returns the counts.
func (record *Record) Stats() Stats {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	stats := Stats{LedgerCounts: record.ledger.Counts()}
	stats.Entries, stats.KeptBytes = record.ledger.Size()
	stats.Syncs, stats.Synced = record.journal.counts()
	return stats
}
