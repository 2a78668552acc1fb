package replica

import (
	"errors"
	"fmt"
	"slices"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/datadir"
	"github.com/quartzdock/quartzdock/internal/storage/snap"
	"github.com/quartzdock/quartzdock/internal/storage/wal"
)

// files are the replica's durable state.
type files struct {
	folder *datadir.Folder
	log    *wal.Log
	snaps  *snap.Store
}

// loaded is what the files held at the start.
type loaded struct {
	founded  bool
	snapshot consensus.Snapshot
	hard     consensus.HardState
	entries  []consensus.Entry
	torn     int64
}

func openFiles(config Config) (*files, loaded, error) {
	folder, err := datadir.Open(config.FS, config.DataDir, config.Group)
	if err != nil {
		return nil, loaded{}, err
	}
	f := &files{folder: folder}
	found, err := f.load(config)
	if err != nil {
		return nil, loaded{}, errors.Join(err, f.close())
	}
	return f, found, nil
}

func (f *files) load(config Config) (loaded, error) {
	var found loaded
	var err error
	if f.snaps, err = snap.Open(config.FS, f.folder.Snapshots()); err != nil {
		return loaded{}, err
	}
	if found.snapshot, found.founded, err = f.snaps.Load(); err != nil {
		return loaded{}, err
	}
	var contents wal.Contents
	if f.log, contents, err = wal.Open(config.FS, f.folder.WAL(), config.WAL); err != nil {
		return loaded{}, err
	}
	found.hard, found.torn = contents.HardState, contents.TornBytes
	found.entries, err = f.join(found.snapshot.Meta, contents)
	return found, err
}

// join returns the log's entries after the snapshot. Where the log does not
// hold the snapshot's entry, the snapshot came from a leader and the crash was
// before the log was reset; the log is then reset now.
func (f *files) join(meta consensus.SnapshotMeta, contents wal.Contents) ([]consensus.Entry, error) {
	if meta.Index < contents.BaseIndex {
		return nil, &storage.DamageError{
			File:   f.folder.Snapshots(),
			Reason: fmt.Sprintf("the log begins after entry %d, but the newest snapshot ends at entry %d", contents.BaseIndex, meta.Index),
			Advice: storage.AdviceReplace,
		}
	}
	if meta.Index == contents.BaseIndex && (contents.BaseTerm == meta.Term || contents.BaseTerm == 0) {
		return contents.Entries, nil
	}
	at := slices.IndexFunc(contents.Entries, func(entry consensus.Entry) bool { return entry.Index == meta.Index })
	if at >= 0 && contents.Entries[at].Term == meta.Term {
		return contents.Entries[at+1:], nil
	}
	return nil, f.log.Reset(contents.HardState, meta.Index, meta.Term)
}

// write makes a Ready's facts durable. Without space for the entries it writes
// the hard state alone and returns storage.ErrDiskFull.
func (f *files) write(ready consensus.Ready) error {
	if ready.HardState == nil {
		return nil
	}
	if ready.Snapshot != nil {
		if err := f.snaps.Save(*ready.Snapshot); err != nil {
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

// saveSnapshot saves the state machine's state and removes the log before it.
func (f *files) saveSnapshot(snapshot consensus.Snapshot) error {
	if err := f.snaps.Save(snapshot); err != nil {
		return err
	}
	return f.log.Compact(snapshot.Meta.Index)
}

func (f *files) close() error {
	var findings []error
	if f.log != nil {
		findings = append(findings, f.log.Close())
	}
	findings = append(findings, f.folder.Close())
	return errors.Join(findings...)
}
