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

// A folder that was put back from an older copy forgets what its replica
// promised since. Within one session of the file system (one boot, one mount)
// a copy can only have been put back file by file, which gives the newest log
// segment another inode or another time of change. After each write the folder
// therefore notes in run.json what the newest segment is and when it was
// changed. The note is not synced: it has to outlive the process, not the
// machine. Where it matches at the next start, the disk is as it was left;
// otherwise nothing is proven, and the replica asks the others before it votes
// (consensus.Config.Unproven).

const (
	runName = "run.json"
	// trustName is made by an operator who knows that the disk is whole.
	trustName = "trust-this-disk"
	// condemnedName is made where the others know that it is not.
	condemnedName = "older-copy"
	// runSize is the size of the note, padded with spaces.
	runSize = 512
)

// run is the content of the note.
type run struct {
	Session  string
	Segment  string
	Identity vfs.FileIdentity
}

// runFile is the open note.
type runFile struct {
	file    vfs.File
	session string
}

func (r *runFile) close() error {
	if r.file == nil {
		return nil
	}
	return r.file.Close()
}

// Proven reports whether the disk is known to be as the last run left it: the
// folder is new, or the note matches, or the operator vouches for it. It is
// called before the log is opened, because that changes the log.
func (f *Folder) Proven() (bool, error) {
	trusted, err := f.takeTrust()
	if trusted || err != nil || f.made {
		return trusted || f.made, err
	}
	content, err := vfs.ReadAll(f.fs, f.dir+"/"+runName)
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

// takeTrust uses the operator's word up.
func (f *Folder) takeTrust() (bool, error) {
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

// Forget removes the note, so that a run that is not proven proves nothing to
// the next one.
func (f *Folder) Forget() error {
	err := f.fs.Remove(f.dir + "/" + runName)
	if err != nil && !errors.Is(err, iofs.ErrNotExist) {
		return fmt.Errorf("data folder: %w", err)
	}
	return nil
}

// NoteWrite notes that the log segment was written. A note that cannot be
// written is given up: it then proves nothing.
func (f *Folder) NoteWrite(segment string) {
	if f.run.file == nil {
		file, err := f.fs.Create(f.dir + "/" + runName)
		if err != nil {
			return
		}
		f.run = runFile{file: file, session: f.fs.Session(f.dir)}
	}
	identity, err := f.fs.Identify(segment)
	if err != nil {
		return
	}
	content, err := json.Marshal(run{f.run.session, path.Base(segment), identity})
	if err != nil || len(content) > runSize {
		return
	}
	for len(content) < runSize {
		content = append(content, ' ')
	}
	_, _ = f.run.file.WriteAt(content, 0)
}

// Condemn lets no later start use the folder, because the group knows that it
// lacks what the replica acknowledged.
func (f *Folder) Condemn(reason string) error {
	return vfs.WriteAtomically(f.fs, f.dir, condemnedName, []byte(reason))
}

func (f *Folder) checkCondemned() error {
	reason, err := vfs.ReadAll(f.fs, f.dir+"/"+condemnedName)
	if errors.Is(err, iofs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	return &storage.DamageError{File: f.dir, Reason: string(reason), Advice: storage.AdviceReplace}
}
