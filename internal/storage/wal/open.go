package wal

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/storage"
	"github.com/quartzdock/quartzdock/internal/storage/vfs"
)

// Contents is what a log held when it was opened.
type Contents struct {
	HardState consensus.HardState
	// BaseIndex and BaseTerm name the entry before Entries; BaseTerm is zero
	// where it is not known.
	BaseIndex uint64
	BaseTerm  uint64
	Entries   []consensus.Entry
	// TornBytes is the length of the torn write that was cut off.
	TornBytes int64
}

const segmentSuffix = ".wal"

func segmentName(sequence uint64) string { return fmt.Sprintf("%016x%s", sequence, segmentSuffix) }

// Open reads the log in a folder and makes it ready for Append. A new log is
// begun where there is none. Errors are *storage.DamageError where synced data
// is damaged; no file is changed then.
func Open(fs vfs.FS, dir string, options Options) (*Log, Contents, error) {
	if options.SegmentBytes == 0 {
		options.SegmentBytes = DefaultSegmentBytes
	}
	if options.ReserveBytes == 0 {
		options.ReserveBytes = min(DefaultReserveBytes, options.SegmentBytes/8)
	}
	l := &Log{fs: fs, dir: dir, options: options}
	if err := fs.MakeDir(dir); err != nil {
		return nil, Contents{}, fmt.Errorf("open log: %w", err)
	}
	names, err := l.list()
	if err != nil {
		return nil, Contents{}, fmt.Errorf("open log: %w", err)
	}
	r := reader{log: l}
	if err := r.readAll(names); err != nil {
		return nil, Contents{}, err
	}
	if err := l.prepare(&r); err != nil {
		return nil, Contents{}, err
	}
	return l, r.contents, nil
}

func (l *Log) list() ([]string, error) {
	names, err := l.fs.List(l.dir)
	if err != nil {
		return nil, err
	}
	names = slices.DeleteFunc(names, func(name string) bool { return !strings.HasSuffix(name, segmentSuffix) })
	slices.Sort(names)
	return names, nil
}

// reader folds segments into Contents.
type reader struct {
	log      *Log
	contents Contents
	// end of the valid frames in the newest segment.
	end int64
	// unused is a newest segment whose header was never synced.
	unused string
}

func (r *reader) readAll(names []string) error {
	for position, name := range names {
		if err := r.readSegment(name, position == len(names)-1); err != nil {
			return err
		}
	}
	return nil
}

func (r *reader) readSegment(name string, newest bool) error {
	content, err := readWritten(r.log.fs, r.log.path(name))
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	read := segment{name: name}
	offset := int64(0)
	for offset < content.size {
		parsed, err := parseFrame(content.frameAt(offset))
		if err != nil {
			break
		}
		if err := r.take(&read, parsed, offset); err != nil {
			return err
		}
		offset += parsed.size
	}
	return r.finishSegment(read, content, offset, newest)
}

// finishSegment judges what follows the last valid frame.
func (r *reader) finishSegment(read segment, content *written, offset int64, newest bool) error {
	torn := int64(len(bytes.TrimRight(content.frameAt(offset), "\x00")))
	later := laterFrame(content, offset, r.log.sequence)
	switch {
	case later >= 0:
		return r.damage(read.name, offset, fmt.Sprintf("an invalid frame is followed by a valid one at offset %d", later))
	case !newest && (torn > 0 || offset == 0):
		return r.damage(read.name, offset, "a frame of an older segment is invalid")
	case offset == 0:
		r.unused = read.name
		r.contents.TornBytes = torn
		return nil
	}
	r.log.segments = append(r.log.segments, read)
	r.end = offset
	r.contents.TornBytes = torn
	return nil
}

// laterFrame returns the offset of a valid frame after an invalid one, or -1.
func laterFrame(content *written, offset int64, sequence uint64) int64 {
	end := int64(len(content.bytes))
	for at := offset + frameAlignment; at < end; at += frameAlignment {
		parsed, err := parseFrame(content.frameAt(at))
		if err == nil && parsed.sequence > sequence {
			return at
		}
	}
	return -1
}

func (r *reader) damage(name string, offset int64, reason string) error {
	return &storage.DamageError{File: r.log.path(name), Offset: offset, Reason: reason, Advice: storage.AdviceReplace}
}

// take folds one frame in.
func (r *reader) take(read *segment, parsed frame, offset int64) error {
	first := len(r.log.segments) == 0 && offset == 0
	if !first && parsed.sequence != r.log.sequence+1 {
		return r.damage(read.name, offset, fmt.Sprintf("frame %d follows frame %d", parsed.sequence, r.log.sequence))
	}
	if (parsed.kind == kindSegment) != (offset == 0) {
		return r.damage(read.name, offset, fmt.Sprintf("unexpected frame of kind %d", parsed.kind))
	}
	r.log.sequence = parsed.sequence
	d := decoder{rest: parsed.payload}
	hard := d.hardState()
	var err error
	switch parsed.kind {
	case kindSegment:
		if base := d.position(); first {
			r.contents.BaseIndex, r.contents.BaseTerm = base.index, base.term
		}
	case kindReset:
		at := d.position()
		r.contents.BaseIndex, r.contents.BaseTerm, r.contents.Entries = at.index, at.term, nil
		read.maxIndex = max(read.maxIndex, at.index)
	case kindAppend:
		err = r.takeEntries(read, d.entries())
	default:
		err = fmt.Errorf("unknown kind %d", parsed.kind)
	}
	if err := errors.Join(d.err, err); err != nil {
		return r.damage(read.name, offset, err.Error())
	}
	r.contents.HardState = hard
	return nil
}

// takeEntries replaces the log's end by the entries.
func (r *reader) takeEntries(read *segment, entries []consensus.Entry) error {
	for _, entry := range entries {
		read.maxIndex = max(read.maxIndex, entry.Index)
		next := r.contents.BaseIndex + uint64(len(r.contents.Entries)) + 1
		switch {
		case entry.Index == 0 || entry.Index > next:
			return fmt.Errorf("entry %d where %d is due", entry.Index, next)
		case entry.Index <= r.contents.BaseIndex:
			r.contents.BaseIndex, r.contents.BaseTerm, r.contents.Entries = entry.Index-1, 0, nil
		default:
			r.contents.Entries = r.contents.Entries[:entry.Index-r.contents.BaseIndex-1]
		}
		// A copy, so that one entry does not keep a whole segment in memory.
		entry.Data = bytes.Clone(entry.Data)
		r.contents.Entries = append(r.contents.Entries, entry)
	}
	return nil
}

// prepare cuts off a torn write and opens the newest segment for writing, or
// begins the first.
func (l *Log) prepare(r *reader) error {
	l.hard = r.contents.HardState
	l.end = position{r.contents.BaseIndex, r.contents.BaseTerm}
	if count := len(r.contents.Entries); count > 0 {
		l.end = position{r.contents.Entries[count-1].Index, r.contents.Entries[count-1].Term}
	}
	if r.unused != "" {
		if err := l.fs.Remove(l.path(r.unused)); err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		if err := l.fs.SyncDir(l.dir); err != nil {
			return &storage.SyncError{File: l.dir, Err: err}
		}
	}
	if len(l.segments) == 0 {
		return l.roll(0)
	}
	return l.openNewest(r.end, r.contents.TornBytes > 0 && r.unused == "")
}

func (l *Log) openNewest(end int64, torn bool) error {
	file, err := l.fs.Open(l.newest())
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	l.file, l.offset = file, end
	if torn {
		if err := l.cut(end); err != nil {
			return err
		}
	}
	l.size, err = file.Size()
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	return nil
}

// cut removes what follows the last valid frame, so that nothing of it can
// follow a later frame. The segment stays short where there is no space to
// allocate it anew.
func (l *Log) cut(end int64) error {
	if err := l.file.Truncate(end); err != nil {
		return fmt.Errorf("cut torn write: %w", err)
	}
	if err := l.file.Allocate(max(l.options.SegmentBytes, end)); err != nil && !vfs.IsFull(err) {
		return fmt.Errorf("cut torn write: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return &storage.SyncError{File: l.newest(), Err: err}
	}
	return nil
}
