// Package storage holds what its subpackages share: the typed errors of a
// replica's files. The data folder of a replica has this layout:
//
//	identity.json   group, replica and incarnation    (datadir)
//	run.json        what the last run wrote last       (datadir)
//	lock            held while a process uses the folder
//	wal/NNN.wal     segments of the log                (wal)
//	snap/NNN.snap   snapshots                          (snap)
package storage

import (
	"errors"
	"fmt"
)

// DamageError says that a file holds something that was once synced and can
// not be read any more. The start stops and nothing is overwritten.
type DamageError struct {
	File   string
	Offset int64
	Reason string
	// Advice tells the operator what to do.
	Advice string
}

// Error implements error.
func (e *DamageError) Error() string {
	return fmt.Sprintf("%s: damaged at offset %d: %s; %s", e.File, e.Offset, e.Reason, e.Advice)
}

// AdviceReplace is the advice for damage that only a new member mends.
const AdviceReplace = "keep the folder for inspection, start this controller with an empty data folder and replace the member (docs/operators/replace-a-lost-disk.md)"

// SyncError says that a sync failed. What is on the disk is then unknown, and
// a second sync may succeed without having written anything, so the process
// must end (Rebello et al., "Can Applications Recover from fsync Failures?",
// 2020).
type SyncError struct {
	File string
	Err  error
}

// Error implements error.
func (e *SyncError) Error() string { return fmt.Sprintf("%s: sync failed: %v", e.File, e.Err) }

// Unwrap returns the operating system's error.
func (e *SyncError) Unwrap() error { return e.Err }

// ErrDiskFull says that there was no space and that nothing was written. The
// call may be repeated later.
var ErrDiskFull = errors.New("the disk is full")
