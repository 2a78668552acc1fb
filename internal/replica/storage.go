package replica

import (
	"errors"
	"fmt"
	iofs "io/fs"
	"slices"
	"sync"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/datadir"
	"github.com/quartzdock/quartzdock/internal/storage/snap"
	"github.com/quartzdock/quartzdock/internal/storage/wal"
)

// files holds the durable state of the replica.
type files struct {
	// headroom is the space in bytes that must be reserved for the log before
	// proposals are accepted, so that accepted entries can be written.
	headroom      int64
	folder        *datadir.Folder
	log           *wal.Log
	snapshots     *snap.Store
	snapshotMutex sync.Mutex
}

// recoveredState is the state that was read from the files at the start.
type recoveredState struct {
	bootstrapped bool
	snapshot     consensus.Snapshot
	hardState    consensus.HardState
	entries      []consensus.Entry
	tornBytes    int64
	// unverified is set if the disk may be an older copy, or the end of the log
	// may be missing.
	unverified bool
}

func openFiles(config Config) (*files, recoveredState, error) {
	open := datadir.Open
	if config.TrustSynced {
		open = datadir.OpenTrusted
	}
	folder, err := open(config.FS, config.DataDir, config.Group)
	if err != nil {
		return nil, recoveredState{}, err
	}
	f := &files{folder: folder, headroom: headroomFor(config.WAL)}
	recovered, err := f.load(config)
	if err != nil {
		return nil, recoveredState{}, errors.Join(err, f.close())
	}
	return f, recovered, nil
}

// maxHeadroom is the maximum space that is reserved for the log.
const maxHeadroom = 1 << 20

func headroomFor(options wal.Options) int64 {
	if options.SegmentBytes == 0 {
		return maxHeadroom
	}
	return min(maxHeadroom, options.SegmentBytes/4)
}

// reserveSpace starts a new log segment if the current one has less than the
// headroom left. It returns storage.ErrDiskFull if there is no space for one.
func (f *files) reserveSpace() error { return f.log.EnsureSpaceFor(f.headroom) }

func (f *files) load(config Config) (recoveredState, error) {
	var recovered recoveredState
	var err error
	if f.snapshots, err = snap.Open(config.FS, f.folder.Snapshots()); err != nil {
		return recoveredState{}, err
	}
	if recovered.snapshot, recovered.bootstrapped, err = f.snapshots.Load(); err != nil {
		return recoveredState{}, err
	}
	verified, err := f.folder.Proven()
	if err != nil {
		return recoveredState{}, err
	}
	if err := f.checkLogExists(); err != nil {
		return recoveredState{}, err
	}
	var contents wal.Contents
	if f.log, contents, err = wal.Open(config.FS, f.folder.WAL(), config.WAL); err != nil {
		return recoveredState{}, err
	}
	recovered.hardState, recovered.tornBytes = contents.HardState, contents.TornBytes
	if !recovered.bootstrapped && (contents.HardState != consensus.HardState{} || len(contents.Entries) > 0) {
		return recoveredState{}, f.damageError(f.folder.Snapshots(), "there is a log but no snapshot")
	}
	if recovered.entries, err = f.entriesAfter(recovered.snapshot.Meta, contents); err != nil {
		return recoveredState{}, err
	}
	recovered.unverified = !config.TrustSynced && (!verified || recovered.tornBytes > 0)
	return recovered, f.updateWriteNote(!recovered.unverified)
}

// checkLogExists returns an error if the replica had a log and the log is
// missing, because the votes recorded in it are lost. It is called before a new
// log is created.
func (f *files) checkLogExists() error {
	if f.folder.Identity().Replica == 0 {
		return nil
	}
	names, err := f.folder.FS().List(f.folder.WAL())
	if err != nil && !errors.Is(err, iofs.ErrNotExist) {
		return err
	}
	if len(names) == 0 {
		return f.damageError(f.folder.WAL(), "the log is missing")
	}
	return nil
}

func (f *files) damageError(file, reason string) error {
	return &storage.DamageError{File: file, Reason: reason, Advice: storage.AdviceReplace}
}

// updateWriteNote updates the data folder's note of the last write. If this run
// cannot verify that the disk is complete, it removes the note, so that the note
// doesn't verify the disk at the next start.
func (f *files) updateWriteNote(verified bool) error {
	if !verified {
		return f.folder.RemoveRunRecord()
	}
	f.folder.RecordWrite(f.log.Newest())
	return nil
}

// entriesAfter returns the log entries after the snapshot. If the log does not
// contain the last entry of the snapshot, the snapshot was received from a
// leader and the process crashed before the log was reset. The log is then reset
// now.
func (f *files) entriesAfter(meta consensus.SnapshotMeta, contents wal.Contents) ([]consensus.Entry, error) {
	if meta.Index < contents.BaseIndex {
		return nil, f.damageError(f.folder.Snapshots(),
			fmt.Sprintf("the log begins after entry %d, but the newest snapshot ends at entry %d", contents.BaseIndex, meta.Index))
	}
	if meta.Index == contents.BaseIndex && (contents.BaseTerm == meta.Term || contents.BaseTerm == 0) {
		return contents.Entries, nil
	}
	position := slices.IndexFunc(contents.Entries, func(entry consensus.Entry) bool { return entry.Index == meta.Index })
	if position >= 0 && contents.Entries[position].Term == meta.Term {
		return contents.Entries[position+1:], nil
	}
	return nil, f.log.Reset(contents.HardState, meta.Index, meta.Term)
}

// write makes the data of a Ready durable. If there is no space for the entries,
// it writes only the hard state and returns storage.ErrDiskFull.
func (f *files) write(ready consensus.Ready) error {
	if ready.HardState == nil {
		return nil
	}
	if ready.Snapshot != nil {
		if err := f.saveSnapshot(*ready.Snapshot); err != nil {
			return err
		}
		meta := ready.Snapshot.Meta
		if err := f.log.Reset(*ready.HardState, meta.Index, meta.Term); err != nil {
			return err
		}
	}
	err := f.log.Append(ready.HardState, ready.Entries)
	if errors.Is(err, storage.ErrDiskFull) && len(ready.Entries) > 0 {
		if err := f.log.Append(ready.HardState, nil); err != nil {
			return err
		}
	}
	return err
}

// saveSnapshot saves a snapshot. It is called by the writer and by the goroutine
// that saves snapshots in the background.
func (f *files) saveSnapshot(snapshot consensus.Snapshot) error {
	f.snapshotMutex.Lock()
	defer f.snapshotMutex.Unlock()
	return f.snapshots.Save(snapshot)
}

func (f *files) close() error {
	var errs []error
	if f.log != nil {
		errs = append(errs, f.log.Close())
	}
	errs = append(errs, f.folder.Close())
	return errors.Join(errs...)
}
