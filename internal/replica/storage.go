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

// files are the replica's durable state.
type files struct {
	// headroom is what the log has to have space for, in bytes, for changes to
	// be accepted: what was accepted then finds space.
	headroom int64
	folder   *datadir.Folder
	log      *wal.Log
	snaps    *snap.Store
	saving   sync.Mutex
}

// loaded is what the files held at the start.
type loaded struct {
	founded  bool
	snapshot consensus.Snapshot
	hard     consensus.HardState
	entries  []consensus.Entry
	torn     int64
	// unproven: the disk may be an older copy, or may lack its end.
	unproven bool
}

func openFiles(config Config) (*files, loaded, error) {
	open := datadir.Open
	if config.TrustSynced {
		open = datadir.OpenTrusted
	}
	folder, err := open(config.FS, config.DataDir, config.Group)
	if err != nil {
		return nil, loaded{}, err
	}
	f := &files{folder: folder, headroom: headroom(config.WAL)}
	found, err := f.load(config)
	if err != nil {
		return nil, loaded{}, errors.Join(err, f.close())
	}
	return f, found, nil
}

// maxHeadroom is the most space that is kept ahead.
const maxHeadroom = 1 << 20

func headroom(options wal.Options) int64 {
	if options.SegmentBytes == 0 {
		return maxHeadroom
	}
	return min(maxHeadroom, options.SegmentBytes/4)
}

// ensureRoom begins a segment ahead of need. It returns storage.ErrDiskFull
// where there is no space for one.
func (f *files) ensureRoom() error { return f.log.TryRoll(f.headroom) }

func (f *files) load(config Config) (loaded, error) {
	var found loaded
	var err error
	if f.snaps, err = snap.Open(config.FS, f.folder.Snapshots()); err != nil {
		return loaded{}, err
	}
	if found.snapshot, found.founded, err = f.snaps.Load(); err != nil {
		return loaded{}, err
	}
	proven, err := f.folder.Proven()
	if err != nil {
		return loaded{}, err
	}
	if err := f.checkLogThere(); err != nil {
		return loaded{}, err
	}
	var contents wal.Contents
	if f.log, contents, err = wal.Open(config.FS, f.folder.WAL(), config.WAL); err != nil {
		return loaded{}, err
	}
	found.hard, found.torn = contents.HardState, contents.TornBytes
	if !found.founded && (contents.HardState != consensus.HardState{} || len(contents.Entries) > 0) {
		return loaded{}, f.damage(f.folder.Snapshots(), "there is a log but no snapshot")
	}
	if found.entries, err = f.join(found.snapshot.Meta, contents); err != nil {
		return loaded{}, err
	}
	found.unproven = !config.TrustSynced && (!proven || found.torn > 0)
	return found, f.noteRun(!found.unproven)
}

// checkLogThere refuses a folder that had a log and has none: the votes in it
// are forgotten. It is called before a new log is begun.
func (f *files) checkLogThere() error {
	if f.folder.Identity().Replica == 0 {
		return nil
	}
	names, err := f.folder.FS().List(f.folder.WAL())
	if err != nil && !errors.Is(err, iofs.ErrNotExist) {
		return err
	}
	if len(names) == 0 {
		return f.damage(f.folder.WAL(), "the log is missing")
	}
	return nil
}

func (f *files) damage(file, reason string) error {
	return &storage.DamageError{File: file, Reason: reason, Advice: storage.AdviceReplace}
}

// noteRun keeps the note of what was written last, or removes it where this
// run proves nothing.
func (f *files) noteRun(proven bool) error {
	if !proven {
		return f.folder.Forget()
	}
	f.folder.NoteWrite(f.log.Newest())
	return nil
}

// join returns the log's entries after the snapshot. Where the log does not
// hold the snapshot's entry, the snapshot came from a leader and the crash was
// before the log was reset; the log is then reset now.
func (f *files) join(meta consensus.SnapshotMeta, contents wal.Contents) ([]consensus.Entry, error) {
	if meta.Index < contents.BaseIndex {
		return nil, f.damage(f.folder.Snapshots(),
			fmt.Sprintf("the log begins after entry %d, but the newest snapshot ends at entry %d", contents.BaseIndex, meta.Index))
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

// saveSnapshot saves a snapshot, from the writer or in the background.
func (f *files) saveSnapshot(snapshot consensus.Snapshot) error {
	f.saving.Lock()
	defer f.saving.Unlock()
	return f.snaps.Save(snapshot)
}

func (f *files) close() error {
	var findings []error
	if f.log != nil {
		findings = append(findings, f.log.Close())
	}
	findings = append(findings, f.folder.Close())
	return errors.Join(findings...)
}
