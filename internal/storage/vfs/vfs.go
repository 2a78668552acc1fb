// Package vfs is the narrow part of a file system that the storage packages
// use: the operating system's (OS), or one in memory that loses what was not
// synced (Memory), for tests and the simulator.
package vfs

import (
	"errors"
	"io"
	"syscall"
)

// FS is a file system. Names are slash-separated paths.
type FS interface {
	// MakeDir makes a folder and its parents and syncs the parents.
	MakeDir(name string) error
	// Create makes an empty file, or empties an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	// Rename replaces newName atomically; it lasts once SyncDir returns.
	Rename(oldName, newName string) error
	// Remove deletes a file; it lasts once SyncDir returns.
	Remove(name string) error
	// List returns the names in a folder in ascending order.
	List(dir string) ([]string, error)
	// SyncDir makes created, renamed and removed names of a folder durable.
	SyncDir(dir string) error
	// Lock holds a file exclusively until the result is closed or the process
	// ends. It returns ErrLocked where another process holds it.
	Lock(name string) (io.Closer, error)
	// Identify returns what tells a file from a copy of it.
	Identify(name string) (FileIdentity, error)
	// Session names the time for which a folder has been mounted without a
	// break: in one session nobody can have put another disk in its place. It is
	// empty where that is not known.
	Session(dir string) string
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	// Size is the length in bytes, allocated space included.
	Size() (int64, error)
	// Truncate sets the length.
	Truncate(size int64) error
	// Allocate reserves disk space for size bytes from the start, so that
	// writing there cannot fail for want of space. New bytes read as zeros.
	Allocate(size int64) error
	// Sync makes content and length durable. After an error nothing is known
	// about what is durable, and a second Sync may wrongly succeed.
	Sync() error
}

// FileIdentity tells a file from a copy of it.
type FileIdentity struct {
	Device uint64
	Inode  uint64
	// Changed is when the file was last written, in nanoseconds of the
	// kernel's own stamp, which no program can set.
	Changed int64
}

// ErrLocked is returned by Lock.
var ErrLocked = errors.New("held by another process")

// IsFull reports whether an error says that the disk, or a quota, is full.
func IsFull(err error) bool {
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

// WriteAtomically replaces a file's content so that after a crash either the
// old or the new content is there: it writes and syncs a temporary file,
// renames it and syncs the folder.
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

// TemporarySuffix ends the names of files that are not complete; they may be
// removed at a start.
const TemporarySuffix = ".tmp"

func writeAndSync(file File, content []byte) error {
	if _, err := file.WriteAt(content, 0); err != nil {
		return err
	}
	return file.Sync()
}
