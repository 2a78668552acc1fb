// Package wal stores a replica's hard state and log entries in segment files.
//
// # Writing
//
// Each Append writes one frame at the end of the newest segment and syncs it
// before it returns, so at most the last frame of the newest segment can be
// torn. Segments are allocated at full size; if no further segment can be
// allocated, Append returns storage.ErrDiskFull before it has written anything.
// The end of each segment is reserved for frames without entries, so a replica
// whose disk is full can still vote and record new terms.
//
// # Reading
//
// An invalid frame in the newest segment with no valid frame after it is a torn
// write: it was never acknowledged, and it is truncated. An invalid frame with
// valid frames after it was once synced: this is damage, and Open returns a
// *storage.DamageError without changing any file. Damage to the very last frame
// cannot be distinguished from a torn write by the file alone; the replica
// detects it by asking its peers when it starts (docs/decisions/003-storage-and-lost-disks.md).
package wal

import (
	"errors"
	"fmt"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
)

// Options configures a Log. Zero fields take the defaults.
type Options struct {
	// SegmentBytes is the size of a segment file.
	SegmentBytes int64
	// ReserveBytes is the space at the end of each segment that is reserved for
	// frames without entries.
	ReserveBytes int64
}

// Defaults of Options.
const (
	DefaultSegmentBytes = 16 << 20
	DefaultReserveBytes = 64 << 10
)

// position is the index and term of a log entry.
type position struct{ index, term uint64 }

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	fs      vfs.FS
	dir     string
	options Options
	// segments are ordered from oldest to newest; frames are written to the last.
	segments    []segment
	file        vfs.File
	writeOffset int64
	segmentSize int64
	sequence    uint64
	hardState   consensus.HardState
	// end is the position of the last entry.
	end    position
	buffer []byte
	// failed is the error after which all writes are rejected.
	failed error
}

// segment is a segment file and the highest entry index in it.
type segment struct {
	name     string
	maxIndex uint64
}

// Append writes entries and, if it is not nil, a hard state, and syncs them.
// The entries replace existing ones at the same and higher indexes. After any
// error other than storage.ErrDiskFull, all later writes fail with that error.
func (l *Log) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	state := l.hardState
	if hard != nil {
		state = *hard
	}
	payload := appendHardState(l.buffer[:0], state)
	payload = appendEntries(payload, entries)
	l.buffer = payload
	if err := l.write(kindAppend, payload, len(entries) == 0); err != nil {
		return err
	}
	l.hardState = state
	if count := len(entries); count > 0 {
		l.setEnd(position{entries[count-1].Index, entries[count-1].Term})
	}
	return nil
}

// Reset empties the log after a snapshot was installed. The next entry is the
// one after the snapshot's index.
func (l *Log) Reset(hard consensus.HardState, snapshotIndex, snapshotTerm uint64) error {
	if l.failed != nil {
		return l.failed
	}
	at := position{snapshotIndex, snapshotTerm}
	payload := appendPosition(appendHardState(nil, hard), at)
	if err := l.write(kindReset, payload, true); err != nil {
		return err
	}
	l.hardState = hard
	l.setEnd(at)
	return nil
}

func (l *Log) setEnd(at position) {
	l.end = at
	newest := &l.segments[len(l.segments)-1]
	newest.maxIndex = max(newest.maxIndex, at.index)
}

// write writes and syncs one frame. Reserved space is used only for frames
// without entries.
func (l *Log) write(kind frameKind, payload []byte, mayUseReserve bool) error {
	need := paddedSize(int64(len(payload)))
	limit := l.segmentSize - l.options.ReserveBytes
	if l.writeOffset+need > limit {
		err := l.roll(need)
		if err != nil && !(mayUseReserve && errors.Is(err, storage.ErrDiskFull) && l.writeOffset+need <= l.segmentSize) {
			return err
		}
	}
	data := appendFrame(nil, kind, l.sequence+1, payload)
	if _, err := l.file.WriteAt(data, l.writeOffset); err != nil {
		return l.writeError(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(&storage.SyncError{File: l.newest(), Err: err})
	}
	l.sequence++
	l.writeOffset += int64(len(data))
	return nil
}

// writeError handles a failed write. A file system that does not honor
// allocations may be full; the partial write is then truncated, and the segment
// accepts no further frames.
func (l *Log) writeError(err error) error {
	if !vfs.IsDiskFull(err) {
		return l.fail(fmt.Errorf("write log: %w", err))
	}
	if err := l.file.Truncate(l.writeOffset); err != nil {
		return l.fail(fmt.Errorf("write log: %w", err))
	}
	l.segmentSize = l.writeOffset
	return fmt.Errorf("%s: %w", l.newest(), storage.ErrDiskFull)
}

func (l *Log) fail(err error) error {
	l.failed = err
	return err
}

func (l *Log) newest() string { return l.path(l.segments[len(l.segments)-1].name) }

func (l *Log) path(name string) string { return l.dir + "/" + name }

// roll starts a new segment with space for a frame of need bytes. If the disk is
// full, the current segment stays in use.
func (l *Log) roll(need int64) error {
	header := appendPosition(appendHardState(nil, l.hardState), l.end)
	headerSize := paddedSize(int64(len(header)))
	size := max(l.options.SegmentBytes, headerSize+need+l.options.ReserveBytes)
	name := segmentName(l.sequence + 1)
	file, err := l.allocate(name, size)
	if err != nil {
		return err
	}
	data := appendFrame(nil, kindSegment, l.sequence+1, header)
	if _, err := file.WriteAt(data, 0); err != nil {
		return l.fail(fmt.Errorf("write log: %w", err))
	}
	if err := file.Sync(); err != nil {
		return l.fail(&storage.SyncError{File: l.path(name), Err: err})
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail(&storage.SyncError{File: l.dir, Err: err})
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return l.fail(fmt.Errorf("close log: %w", err))
		}
	}
	l.file, l.writeOffset, l.segmentSize = file, int64(len(data)), size
	l.sequence++
	l.segments = append(l.segments, segment{name: name})
	return nil
}

// allocate creates a segment file and allocates its full size. If that fails, it
// leaves no file.
func (l *Log) allocate(name string, size int64) (vfs.File, error) {
	file, err := l.fs.Create(l.path(name))
	if err != nil {
		return nil, l.allocationError(name, err)
	}
	if err := file.Allocate(size); err != nil {
		file.Close()
		if removeErr := l.fs.Remove(l.path(name)); removeErr != nil {
			return nil, l.fail(fmt.Errorf("remove unused log segment: %w", removeErr))
		}
		return nil, l.allocationError(name, err)
	}
	return file, nil
}

func (l *Log) allocationError(name string, err error) error {
	if vfs.IsDiskFull(err) {
		return fmt.Errorf("%s: %w", l.path(name), storage.ErrDiskFull)
	}
	return l.fail(fmt.Errorf("allocate log segment: %w", err))
}

// HasSpaceFor reports whether an Append with the given number of bytes needs no
// new segment. It is a hint for rejecting proposals early.
func (l *Log) HasSpaceFor(bytes int64) bool {
	return l.writeOffset+paddedSize(bytes) <= l.segmentSize-l.options.ReserveBytes
}

// EnsureSpaceFor starts a new segment if an Append with the given number of bytes would
// need one, and returns storage.ErrDiskFull if there is not enough space.
func (l *Log) EnsureSpaceFor(bytes int64) error {
	if l.failed != nil || l.HasSpaceFor(bytes) {
		return l.failed
	}
	return l.roll(paddedSize(bytes))
}

// Compact removes the oldest segments that hold only entries before index. The
// entry at index is kept, because the caller compares it with the snapshot when
// it opens the log.
func (l *Log) Compact(index uint64) error {
	removed := 0
	for removed < len(l.segments)-1 && l.segments[removed].maxIndex < index {
		if err := l.fs.Remove(l.path(l.segments[removed].name)); err != nil {
			return l.fail(fmt.Errorf("remove log segment: %w", err))
		}
		removed++
	}
	if removed == 0 {
		return nil
	}
	l.segments = l.segments[removed:]
	if err := l.fs.SyncDir(l.dir); err != nil {
		return l.fail(&storage.SyncError{File: l.dir, Err: err})
	}
	return nil
}

// Newest returns the path of the segment that is being written.
func (l *Log) Newest() string { return l.newest() }

// Segments returns the number of segment files.
func (l *Log) Segments() int { return len(l.segments) }

// Close closes the log.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
