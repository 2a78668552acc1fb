// Package wal keeps a replica's hard state and log entries in segment files.
//
// # Writing
//
// Each Append is one frame, written at the end of the newest segment and
// synced before Append returns, so at most the last frame of the newest
// segment can be torn. Segments are allocated whole; where no further segment
// can be allocated, Append returns storage.ErrDiskFull before it has written
// anything. The end of each segment is reserved for hard states, so a replica
// whose disk is full still votes and follows terms.
//
// # Reading
//
// An invalid frame in the newest segment after which no valid frame follows is
// a torn write: it was never acknowledged, and it is cut off. An invalid frame
// that valid frames follow was synced once: that is damage, and Open returns a
// *storage.DamageError without changing any file. Damage to the very last
// frame cannot be told from a torn write by the file alone; the replica finds
// it by asking its peers when it starts (docs/decisions/003-storage-and-lost-disks.md).
package wal

import (
	"errors"
	"fmt"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
)

// Options of a Log. Zero fields take the defaults.
type Options struct {
	// SegmentBytes is the size of a segment file.
	SegmentBytes int64
	// ReserveBytes at the end of each segment take hard states only.
	ReserveBytes int64
}

// Defaults of Options.
const (
	DefaultSegmentBytes = 16 << 20
	DefaultReserveBytes = 64 << 10
)

// position is an entry's place in the log.
type position struct{ index, term uint64 }

// Log is an open log. It is not safe for use by several goroutines.
type Log struct {
	fs      vfs.FS
	dir     string
	options Options
	// segments by age; the last one is written.
	segments []segment
	file     vfs.File
	offset   int64
	size     int64
	sequence uint64
	hard     consensus.HardState
	end      position
	buffer   []byte
	failed   error
}

// segment is a file and the highest entry in it.
type segment struct {
	name     string
	maxIndex uint64
}

// Append writes a hard state, if it is not nil, and entries, and syncs them.
// Entries replace those of the same and higher indexes. After any error but
// storage.ErrDiskFull the log takes nothing more.
func (l *Log) Append(hard *consensus.HardState, entries []consensus.Entry) error {
	if l.failed != nil {
		return l.failed
	}
	state := l.hard
	if hard != nil {
		state = *hard
	}
	payload := appendHardState(l.buffer[:0], state)
	payload = appendEntries(payload, entries)
	l.buffer = payload
	if err := l.write(kindAppend, payload, len(entries) == 0); err != nil {
		return err
	}
	l.hard = state
	if count := len(entries); count > 0 {
		l.noteEnd(position{entries[count-1].Index, entries[count-1].Term})
	}
	return nil
}

// Reset empties the log after a snapshot was installed: it goes on after the
// snapshot's index.
func (l *Log) Reset(hard consensus.HardState, snapshotIndex, snapshotTerm uint64) error {
	if l.failed != nil {
		return l.failed
	}
	at := position{snapshotIndex, snapshotTerm}
	payload := appendPosition(appendHardState(nil, hard), at)
	if err := l.write(kindReset, payload, true); err != nil {
		return err
	}
	l.hard = hard
	l.noteEnd(at)
	return nil
}

func (l *Log) noteEnd(at position) {
	l.end = at
	newest := &l.segments[len(l.segments)-1]
	newest.maxIndex = max(newest.maxIndex, at.index)
}

// write writes and syncs one frame. Reserved space is used only for frames
// without entries.
func (l *Log) write(kind frameKind, payload []byte, mayUseReserve bool) error {
	need := paddedSize(int64(len(payload)))
	limit := l.size - l.options.ReserveBytes
	if l.offset+need > limit {
		err := l.roll(need)
		if err != nil && !(mayUseReserve && errors.Is(err, storage.ErrDiskFull) && l.offset+need <= l.size) {
			return err
		}
	}
	data := appendFrame(nil, kind, l.sequence+1, payload)
	if _, err := l.file.WriteAt(data, l.offset); err != nil {
		return l.writeError(err)
	}
	if err := l.file.Sync(); err != nil {
		return l.fail(&storage.SyncError{File: l.newest(), Err: err})
	}
	l.sequence++
	l.offset += int64(len(data))
	return nil
}

// writeError handles a failed write. A file system that does not keep its
// reservations may be full; the part that was written is then cut off, and the
// segment takes no more.
func (l *Log) writeError(err error) error {
	if !vfs.IsFull(err) {
		return l.fail(fmt.Errorf("write log: %w", err))
	}
	if err := l.file.Truncate(l.offset); err != nil {
		return l.fail(fmt.Errorf("write log: %w", err))
	}
	l.size = l.offset
	return fmt.Errorf("%s: %w", l.newest(), storage.ErrDiskFull)
}

func (l *Log) fail(err error) error {
	l.failed = err
	return err
}

func (l *Log) newest() string { return l.path(l.segments[len(l.segments)-1].name) }

func (l *Log) path(name string) string { return l.dir + "/" + name }

// roll begins a segment that has room for a frame of need bytes. Where there
// is no space, the log goes on with the present segment.
func (l *Log) roll(need int64) error {
	header := appendPosition(appendHardState(nil, l.hard), l.end)
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
	l.file, l.offset, l.size = file, int64(len(data)), size
	l.sequence++
	l.segments = append(l.segments, segment{name: name})
	return nil
}

// allocate makes a segment file of full size, or none.
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
	if vfs.IsFull(err) {
		return fmt.Errorf("%s: %w", l.path(name), storage.ErrDiskFull)
	}
	return l.fail(fmt.Errorf("allocate log segment: %w", err))
}

// HasRoom reports whether an Append of a number of bytes of entries needs no
// new segment. It is a hint for refusing proposals early.
func (l *Log) HasRoom(bytes int64) bool {
	return l.offset+paddedSize(bytes) <= l.size-l.options.ReserveBytes
}

// TryRoll begins a new segment if an Append of a number of bytes would need
// one, and returns storage.ErrDiskFull where there is no space.
func (l *Log) TryRoll(bytes int64) error {
	if l.failed != nil || l.HasRoom(bytes) {
		return l.failed
	}
	return l.roll(paddedSize(bytes))
}

// Compact removes the oldest segments that hold only entries before index. The
// entry at index stays, because Open compares it with the snapshot.
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

// Newest is the path of the segment that is written.
func (l *Log) Newest() string { return l.newest() }

// Segments counts the segment files.
func (l *Log) Segments() int { return len(l.segments) }

// Close closes the log.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	return l.file.Close()
}
