// Package snap stores snapshots of a replica's state machine in files.
//
// A file holds, in this order: a magic number, the length of the encoded
// metadata, the metadata (gob), the state machine's data, and the SHA-256 digest
// of everything before it. Files are written under a temporary name, synced and
// then renamed, so a file with a final name is complete; if its digest does not
// match, the disk has damaged it.
package snap

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	iofs "io/fs"
	"slices"
	"strings"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
)

const (
	magic  = "QDSNAP01"
	suffix = ".snap"
	// retainedSnapshots is the number of snapshots that are retained. The older
	// one is for inspection only.
	retainedSnapshots = 2
)

// Store manages the snapshots in one folder. It is not safe for concurrent use.
type Store struct {
	fs  vfs.FS
	dir string
}

// Open returns the store of a folder and creates the folder if it does not exist.
func Open(fs vfs.FS, dir string) (*Store, error) {
	if err := fs.MakeDir(dir); err != nil {
		return nil, fmt.Errorf("open snapshots: %w", err)
	}
	s := &Store{fs: fs, dir: dir}
	return s, s.removeUnfinished()
}

// removeUnfinished removes the partial files of saves that a crash interrupted.
func (s *Store) removeUnfinished() error {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return fmt.Errorf("open snapshots: %w", err)
	}
	for _, name := range names {
		if !strings.HasSuffix(name, vfs.TemporarySuffix) {
			continue
		}
		if err := s.fs.Remove(s.path(name)); err != nil {
			return fmt.Errorf("remove unfinished snapshot: %w", err)
		}
	}
	return nil
}

// Load returns the newest snapshot; ok is false if there is none. If the snapshot
// does not match its digest, the error is a *storage.DamageError.
func (s *Store) Load() (snapshot consensus.Snapshot, ok bool, err error) {
	names, err := s.list()
	if err != nil || len(names) == 0 {
		return consensus.Snapshot{}, false, err
	}
	newest := names[len(names)-1]
	content, err := vfs.ReadAll(s.fs, s.path(newest))
	if err != nil {
		return consensus.Snapshot{}, false, fmt.Errorf("read snapshot: %w", err)
	}
	snapshot, err = Decode(content)
	if err != nil {
		return consensus.Snapshot{}, false, &storage.DamageError{File: s.path(newest), Reason: err.Error(), Advice: storage.AdviceReplace}
	}
	return snapshot, true, nil
}

// Save writes a snapshot durably and then removes all but the newest
// retainedSnapshots.
func (s *Store) Save(snapshot consensus.Snapshot) error {
	name := fmt.Sprintf("%016x%s", snapshot.Meta.Index, suffix)
	if err := vfs.WriteAtomically(s.fs, s.dir, name, Encode(snapshot)); err != nil {
		if vfs.IsDiskFull(err) {
			return s.discardPartialSave(name)
		}
		return &storage.SyncError{File: s.path(name), Err: err}
	}
	return s.prune()
}

// discardPartialSave removes the partial file of a snapshot that did not fit on
// the disk.
func (s *Store) discardPartialSave(name string) error {
	err := s.fs.Remove(s.path(name + vfs.TemporarySuffix))
	if err != nil && !errors.Is(err, iofs.ErrNotExist) {
		return fmt.Errorf("remove unfinished snapshot: %w", err)
	}
	return fmt.Errorf("%s: %w", s.path(name), storage.ErrDiskFull)
}

func (s *Store) prune() error {
	names, err := s.list()
	if err != nil {
		return err
	}
	if len(names) <= retainedSnapshots {
		return nil
	}
	for _, name := range names[:len(names)-retainedSnapshots] {
		if err := s.fs.Remove(s.path(name)); err != nil {
			return fmt.Errorf("remove old snapshot: %w", err)
		}
	}
	return nil
}

func (s *Store) list() ([]string, error) {
	names, err := s.fs.List(s.dir)
	if err != nil {
		return nil, fmt.Errorf("list snapshots: %w", err)
	}
	names = slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, suffix) })
	slices.Sort(names)
	return names, nil
}

func (s *Store) path(name string) string { return s.dir + "/" + name }

// Encode returns a snapshot in the format in which it is stored and sent.
func Encode(snapshot consensus.Snapshot) []byte {
	var meta bytes.Buffer
	if err := gob.NewEncoder(&meta).Encode(snapshot.Meta); err != nil {
		panic(err) // cannot fail: plain fields encoded into memory
	}
	content := make([]byte, 0, len(magic)+4+meta.Len()+len(snapshot.Data)+sha256.Size)
	content = append(content, magic...)
	content = binary.LittleEndian.AppendUint32(content, uint32(meta.Len()))
	content = append(content, meta.Bytes()...)
	content = append(content, snapshot.Data...)
	digest := sha256.Sum256(content)
	return append(content, digest[:]...)
}

// Errors of Decode.
var (
	errShort  = errors.New("the snapshot is too short")
	errMagic  = errors.New("the file is not a snapshot")
	errDigest = errors.New("the snapshot does not match its digest")
)

// Decode decodes the output of Encode and checks its digest.
func Decode(content []byte) (consensus.Snapshot, error) {
	if len(content) < len(magic)+4+sha256.Size {
		return consensus.Snapshot{}, errShort
	}
	if string(content[:len(magic)]) != magic {
		return consensus.Snapshot{}, errMagic
	}
	body := content[:len(content)-sha256.Size]
	digest := sha256.Sum256(body)
	if !bytes.Equal(digest[:], content[len(body):]) {
		return consensus.Snapshot{}, errDigest
	}
	rest := body[len(magic)+4:]
	metaLength := int64(binary.LittleEndian.Uint32(body[len(magic):]))
	if metaLength > int64(len(rest)) {
		return consensus.Snapshot{}, errShort
	}
	var snapshot consensus.Snapshot
	if err := gob.NewDecoder(bytes.NewReader(rest[:metaLength])).Decode(&snapshot.Meta); err != nil {
		return consensus.Snapshot{}, fmt.Errorf("snapshot metadata: %w", err)
	}
	snapshot.Data = rest[metaLength:]
	return snapshot, nil
}
