package datadir

import (
	"encoding/json"
	"errors"
	"fmt"
	iofs "io/fs"
	"path"

	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
)

// A folder that was restored from an older copy lacks the votes and entries that
// its replica has acknowledged since. Within one session of the file system (one
// boot, one mount) a copy can only be restored file by file, which gives the
// newest log segment a different inode or change time. After each write the
// run record, run.json, is therefore updated with the identity and change time of
// the newest segment. The record is not synced: it has to survive the process,
// not the machine. If it matches at the next start, the disk is as the last run
// left it. Otherwise the disk is unproven, and the replica asks the other members
// before it votes (consensus.Config.Unproven).

const (
	runRecordName = "run.json"
	// trustName is a file that an operator creates to confirm that the disk
	// holds everything that the last run wrote.
	trustName = "trust-this-disk"
	// unusableName is a file that the replica creates when the other members show
	// that its disk does not hold everything it acknowledged.
	unusableName = "older-copy"
	// runRecordSize is the size of the record in bytes, padded with spaces.
	runRecordSize = 512
)

// run is the run record, the content of run.json.
type run struct {
	Session  string
	Segment  string
	Identity vfs.FileIdentity
}

// runRecordFile is the open run record and the file system session in which it
// was opened.
type runRecordFile struct {
	file    vfs.File
	session string
}

func (r *runRecordFile) close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}

// Proven reports whether the disk is known to be as the last run left it: the
// folder is new, the run record matches, or the operator has confirmed it. It must
// be called before the log is opened, because opening changes the log.
func (f *Folder) Proven() (bool, error) {
	trusted, err := f.consumeTrustFile()
	if trusted || err != nil || f.created {
		return trusted || f.created, err
	}
	content, err := vfs.ReadAll(f.fs, f.dir+"/"+runRecordName)
	if errors.Is(err, iofs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("data folder: %w", err)
	}
	var last run
	if json.Unmarshal(content, &last) != nil || last.Session == "" || last.Session != f.fs.Session(f.dir) {
		return false, nil
	}
	names, err := f.fs.List(f.WAL())
	if err != nil || len(names) == 0 || names[len(names)-1] != last.Segment {
		return false, nil
	}
	found, err := f.fs.Identify(f.WAL() + "/" + last.Segment)
	return err == nil && found == last.Identity, nil
}

// consumeTrustFile reports whether the operator has confirmed the disk. It removes
// the file, so that a confirmation counts for one start only.
func (f *Folder) consumeTrustFile() (bool, error) {
	err := f.fs.Remove(f.dir + "/" + trustName)
	if errors.Is(err, iofs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, fmt.Errorf("data folder: %w", err)
	}
	if err := f.fs.SyncDir(f.dir); err != nil {
		return false, &storage.SyncError{File: f.dir, Err: err}
	}
	return true, nil
}

// RemoveRunRecord removes the run record, so that the next start cannot take the disk of
// an unproven run as proven.
func (f *Folder) RemoveRunRecord() error {
	err := f.fs.Remove(f.dir + "/" + runRecordName)
	if err != nil && !errors.Is(err, iofs.ErrNotExist) {
		return fmt.Errorf("data folder: %w", err)
	}
	return nil
}

// RecordWrite updates the run record after a write to a log segment. Errors are
// ignored: the record then no longer matches, and the next start is unproven.
func (f *Folder) RecordWrite(segment string) {
	if f.run.file == nil {
		file, err := f.fs.Create(f.dir + "/" + runRecordName)
		if err != nil {
			return
		}
		f.run = runRecordFile{file: file, session: f.fs.Session(f.dir)}
	}
	identity, err := f.fs.Identify(segment)
	if err != nil {
		return
	}
	content, err := json.Marshal(run{f.run.session, path.Base(segment), identity})
	if err != nil || len(content) > runRecordSize {
		return
	}
	for len(content) < runRecordSize {
		content = append(content, ' ')
	}
	_, _ = f.run.file.WriteAt(content, 0)
}

// MarkUnusable marks the folder as unusable for all later starts, because the group
// has shown that it lacks data that the replica acknowledged.
func (f *Folder) MarkUnusable(reason string) error {
	return vfs.WriteAtomically(f.fs, f.dir, unusableName, []byte(reason))
}

func (f *Folder) checkMarkedUnusable() error {
	reason, err := vfs.ReadAll(f.fs, f.dir+"/"+unusableName)
	if errors.Is(err, iofs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	return &storage.DamageError{File: f.dir, Reason: string(reason), Advice: storage.AdviceReplace}
}
