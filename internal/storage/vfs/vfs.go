// Package vfs defines the file system interface that the storage packages use,
// with two implementations: the operating system's file system (OS), and one in
// memory whose crashes lose unsynced data (Memory), for tests and the simulator.
package vfs

import (
	"errors"
	"io"
	"syscall"
)

// FS is a file system. Names are slash-separated paths.
type FS interface {
	// MakeDir creates a folder and its missing parents and syncs the parents.
	MakeDir(name string) error
	// Create creates an empty file or truncates an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	// Rename replaces newName atomically. It is durable once SyncDir returns.
	Rename(oldName, newName string) error
	// Remove deletes a file. It is durable once SyncDir returns.
	Remove(name string) error
	// List returns the names in a folder in ascending order.
	List(dir string) ([]string, error)
	// SyncDir makes the creation, renaming and removal of files in a folder durable.
	SyncDir(dir string) error
	// Lock locks a file exclusively until the result is closed or the process
	// ends. It returns ErrLocked if another process holds the lock.
	Lock(name string) (io.Closer, error)
	// Identify returns the properties that distinguish a file from a copy of it.
	Identify(name string) (FileIdentity, error)
	// Session identifies the period for which a folder has been mounted without
	// interruption: within one session the disk cannot have been replaced. It is
	// empty if that is not known.
	Session(dir string) string
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Size returns the length in bytes, allocated space included.
	Size() (int64, error)
	// Truncate sets the length.
	Truncate(size int64) error
	// Allocate reserves disk space for size bytes from the start, so that
	// writing there cannot fail for lack of space. New bytes read as zeros.
	Allocate(size int64) error
	// Sync makes content and length durable. After an error it is unknown what is
	// durable, and a second Sync may succeed although data was lost.
	Sync() error
}

// FileIdentity distinguishes a file from a copy of it.
type FileIdentity struct {
	Device uint64
	Inode  uint64
	// Changed is the file's status change time (ctime) in nanoseconds, which no
	// program can set.
	Changed int64
}

// ErrLocked is returned by FS.Lock.
var ErrLocked = errors.New("held by another process")

// IsDiskFull reports whether an error says that the disk is full or a quota is
// exhausted.
func IsDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// ReadAll returns a file's whole content.
func ReadAll(fs FS, name string) ([]byte, error) {
	file, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	size, err := file.Size()
	if err != nil {
		return nil, err
	}
	content := make([]byte, size)
	if _, err := io.ReadFull(io.NewSectionReader(file, 0, size), content); err != nil {
		return nil, err
	}
	return content, nil
}

// WriteAtomically replaces a file's content so that a crash leaves either the old
// or the new content: it writes and syncs a temporary file, renames it and syncs
// the folder.
func WriteAtomically(fs FS, dir, name string, content []byte) error {
	temporary := dir + "/" + name + TemporarySuffix
	file, err := fs.Create(temporary)
	if err != nil {
		return err
	}
	if err := writeAndSync(file, content); err != nil {
		file.Close()
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := fs.Rename(temporary, dir+"/"+name); err != nil {
		return err
	}
	return fs.SyncDir(dir)
}

// TemporarySuffix is the suffix of the names of incomplete files. They may be
// removed at startup.
const TemporarySuffix = ".tmp"

func writeAndSync(file File, content []byte) error {
	if _, err := file.WriteAt(content, 0); err != nil {
		return err
	}
	return file.Sync()
}
