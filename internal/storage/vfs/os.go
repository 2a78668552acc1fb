package vfs

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// OS is the operating system's file system.
type OS struct{}

const (
	fileMode = 0o600
	dirMode  = 0o700
)

// MakeDir implements FS.
func (fs OS) MakeDir(name string) error {
	if _, err := os.Stat(name); err == nil {
		return nil
	}
	parent := filepath.Dir(name)
	if err := fs.MakeDir(parent); err != nil {
		return err
	}
	if err := os.Mkdir(name, dirMode); err != nil && !errors.Is(err, os.ErrExist) {
		return err
	}
	return fs.SyncDir(parent)
}

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return openFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC)
}

// Open implements FS.
func (OS) Open(name string) (File, error) { return openFile(name, os.O_RDWR) }

func openFile(name string, flags int) (File, error) {
	file, err := os.OpenFile(name, flags, fileMode)
	if err != nil {
		return nil, err
	}
	return osFile{file}, nil
}

// Rename implements FS.
func (OS) Rename(oldName, newName string) error { return os.Rename(oldName, newName) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer folder.Close()
	return folder.Sync()
}

// Lock implements FS.
func (OS) Lock(name string) (io.Closer, error) {
	file, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return file, nil
	}
	file.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, ErrLocked
	}
	return nil, err
}

// Identify implements FS.
func (OS) Identify(name string) (FileIdentity, error) {
	var stat syscall.Stat_t
	if err := syscall.Stat(name, &stat); err != nil {
		return FileIdentity{}, &os.PathError{Op: "stat", Path: name, Err: err}
	}
	return FileIdentity{Device: uint64(stat.Dev), Inode: stat.Ino, Changed: stat.Ctim.Nano()}, nil
}

type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
