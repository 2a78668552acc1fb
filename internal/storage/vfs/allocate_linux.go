package vfs

import (
	"errors"
	"os"
	"syscall"
)

// Allocate implements File.
func (f osFile) Allocate(size int64) error {
	err := syscall.Fallocate(int(f.Fd()), 0, 0, size)
	if err == nil {
		return nil
	}
	if errors.Is(err, syscall.EOPNOTSUPP) {
		return f.Truncate(size)
	}
	return &os.PathError{Op: "allocate", Path: f.Name(), Err: err}
}

// Sync implements File. fdatasync also writes the length if it changed.
func (f osFile) Sync() error {
	for {
		err := syscall.Fdatasync(int(f.Fd()))
		if err == nil {
			return nil
		}
		if !errors.Is(err, syscall.EINTR) {
			return &os.PathError{Op: "sync", Path: f.Name(), Err: err}
		}
	}
}
