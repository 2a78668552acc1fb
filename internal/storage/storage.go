// Package storage defines the error types that its subpackages share. The data
// folder of a replica has this layout:
//
//	identity.json   group, replica and incarnation    (datadir)
//	run.json        the last log write of the last run (datadir)
//	lock            held while a process uses the folder
//	wal/NNN.wal     segments of the log                (wal)
//	snap/NNN.snap   snapshots                          (snap)
package storage

import (
	"errors"
	"fmt"
)

// DamageError reports that previously synced data in a file is no longer
// readable. The replica does not start, and nothing is overwritten.
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

// AdviceReplace is the advice for damage that is repaired only by replacing the
// member.
const AdviceReplace = "keep the folder for inspection, start this controller with an empty data folder and replace the member (docs/operators/replace-a-lost-disk.md)"

// SyncError reports that a sync failed. The state of the disk is then unknown,
// and a second sync may succeed without having written anything, so the process
// must exit (Rebello et al., "Can Applications Recover from fsync Failures?",
// 2020).
type SyncError struct {
	File string
	Err  error
}

// Error implements error.
func (e *SyncError) Error() string { return fmt.Sprintf("%s: sync failed: %v", e.File, e.Err) }

// Unwrap returns the operating system's error.
func (e *SyncError) Unwrap() error { return e.Err }

// ErrDiskFull reports that there was not enough space and that nothing was
// written. The call may be retried later.
var ErrDiskFull = errors.New("the disk is full")
