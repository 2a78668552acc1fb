// Package datadir opens the data folder of a replica and stores the replica's
// identity: the group, the ReplicaID once it is assigned, and the incarnation, a
// random number generated when the folder is created. A replica that lost its
// disk gets a new folder and therefore a new incarnation, so no member of the
// group mistakes it for the old replica.
package datadir

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	iofs "io/fs"

	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	identityName = "identity.json"
	lockName     = "lock"
)

// Identity identifies the replica that a data folder belongs to.
type Identity struct {
	Group       topology.GroupID
	Incarnation topology.Incarnation
	// Replica is zero until the group has assigned an ID.
	Replica topology.ReplicaID
	// File identifies the identity file itself, so that a copied folder can be
	// distinguished from the folder that was used last.
	File vfs.FileIdentity
}

// stored is the content of the identity file.
type stored struct {
	Identity Identity
	// Checksum is the CRC-32C of Identity as JSON.
	Checksum uint32
}

// Folder is an open data folder, locked against other processes.
type Folder struct {
	fs       vfs.FS
	dir      string
	lock     io.Closer
	identity Identity
	created  bool
	run      runRecordFile
}

// ErrCopied reports that the folder is a copy of the one that was used last. It
// lacks the votes and entries that the replica acknowledged after the copy was
// taken.
var ErrCopied = errors.New("the data folder is a copy: its identity file is not the file that was written here; start with an empty data folder and replace the member, or, if the folder was only moved to another file system and nothing was lost, see docs/operators/replace-a-lost-disk.md, \"A moved data folder\"")

// Open opens a data folder and creates it if it does not exist. It rejects a copy
// of the folder with ErrCopied.
func Open(fs vfs.FS, dir string, group topology.GroupID) (*Folder, error) {
	return openFolder(fs, dir, group, rejectCopies)
}

// OpenTrusted is like Open, for storage that never restores a folder from a copy.
// It does not check file identities, which may change there each time the machine
// starts.
func OpenTrusted(fs vfs.FS, dir string, group topology.GroupID) (*Folder, error) {
	return openFolder(fs, dir, group, acceptCopies)
}

// copyPolicy decides whether a folder that looks like a copy is accepted.
type copyPolicy bool

const (
	rejectCopies copyPolicy = false
	acceptCopies copyPolicy = true
)

func openFolder(fs vfs.FS, dir string, group topology.GroupID, policy copyPolicy) (*Folder, error) {
	if err := fs.MakeDir(dir); err != nil {
		return nil, fmt.Errorf("data folder: %w", err)
	}
	lock, err := fs.Lock(dir + "/" + lockName)
	if err != nil {
		return nil, fmt.Errorf("data folder %s: %w", dir, err)
	}
	folder := &Folder{fs: fs, dir: dir, lock: lock}
	if err := folder.load(group, policy); err != nil {
		lock.Close()
		return nil, err
	}
	return folder, nil
}

func (f *Folder) load(group topology.GroupID, policy copyPolicy) error {
	content, err := vfs.ReadAll(f.fs, f.path())
	if errors.Is(err, iofs.ErrNotExist) {
		if err := f.checkNoStoredData(); err != nil {
			return err
		}
		f.created = true
		return f.write(Identity{Group: group, Incarnation: newIncarnation()})
	}
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	if err := f.checkMarkedUnusable(); err != nil {
		return err
	}
	identity, err := decode(content)
	if err != nil {
		return &storage.DamageError{File: f.path(), Reason: err.Error(), Advice: storage.AdviceReplace}
	}
	if identity.Group != group {
		return fmt.Errorf("data folder %s: belongs to group %d, not %d", f.dir, identity.Group, group)
	}
	actual, err := f.fs.Identify(f.path())
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	if policy == rejectCopies && actual.Inode != identity.File.Inode {
		return fmt.Errorf("data folder %s: %w", f.dir, ErrCopied)
	}
	f.identity = identity
	return nil
}

// checkNoStoredData rejects a folder that holds a log or snapshots but no
// identity: they must not be assigned to a new identity.
func (f *Folder) checkNoStoredData() error {
	for _, dir := range []string{f.WAL(), f.Snapshots()} {
		names, err := f.fs.List(dir)
		if err != nil && !errors.Is(err, iofs.ErrNotExist) {
			return fmt.Errorf("data folder: %w", err)
		}
		if len(names) > 0 {
			return &storage.DamageError{File: f.path(), Reason: "the file is missing, but " + dir + " is not empty", Advice: storage.AdviceReplace}
		}
	}
	return nil
}

func newIncarnation() topology.Incarnation {
	var random [8]byte
	_, _ = rand.Read(random[:]) // never fails (crypto/rand since Go 1.24)
	return topology.Incarnation(binary.LittleEndian.Uint64(random[:]) | 1)
}

// Identity returns the folder's identity.
func (f *Folder) Identity() Identity { return f.identity }

// Created reports whether Open created the folder.
func (f *Folder) Created() bool { return f.created }

// SetReplica stores the ReplicaID that the group assigned. It cannot be changed
// afterwards.
func (f *Folder) SetReplica(id topology.ReplicaID) error {
	if f.identity.Replica == id {
		return nil
	}
	if f.identity.Replica != 0 {
		return fmt.Errorf("data folder %s: belongs to replica %d and cannot become replica %d", f.dir, f.identity.Replica, id)
	}
	identity := f.identity
	identity.Replica = id
	return f.write(identity)
}

// write stores the identity together with the inode number of its own file. The
// file is therefore created first, then identified, then written.
func (f *Folder) write(identity Identity) error {
	temporary := f.path() + vfs.TemporarySuffix
	file, err := f.fs.Create(temporary)
	if err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	defer file.Close()
	if identity.File, err = f.fs.Identify(temporary); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	if _, err := file.WriteAt(encode(identity), 0); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	if err := file.Sync(); err != nil {
		return &storage.SyncError{File: temporary, Err: err}
	}
	if err := f.fs.Rename(temporary, f.path()); err != nil {
		return fmt.Errorf("data folder: %w", err)
	}
	if err := f.fs.SyncDir(f.dir); err != nil {
		return &storage.SyncError{File: f.dir, Err: err}
	}
	f.identity = identity
	return nil
}

func (f *Folder) path() string { return f.dir + "/" + identityName }

// WAL returns the path of the log's folder.
func (f *Folder) WAL() string { return f.dir + "/wal" }

// Snapshots returns the path of the snapshots' folder.
func (f *Folder) Snapshots() string { return f.dir + "/snap" }

// FS returns the file system that holds the folder.
func (f *Folder) FS() vfs.FS { return f.fs }

// Close closes run.json and releases the lock.
func (f *Folder) Close() error { return errors.Join(f.run.close(), f.lock.Close()) }

func encode(identity Identity) []byte {
	content, err := json.MarshalIndent(stored{identity, checksum(identity)}, "", "  ")
	if err != nil {
		panic(err) // cannot fail: the type has only plain fields
	}
	return append(content, '\n')
}

func decode(content []byte) (Identity, error) {
	var found stored
	if err := json.Unmarshal(content, &found); err != nil {
		return Identity{}, err
	}
	if found.Checksum != checksum(found.Identity) {
		return Identity{}, errors.New("the checksum does not match")
	}
	return found.Identity, nil
}

func checksum(identity Identity) uint32 {
	content, err := json.Marshal(identity)
	if err != nil {
		panic(err) // cannot fail: the type has only plain fields
	}
	return crc32.Checksum(content, crc32.MakeTable(crc32.Castagnoli))
}
