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

// Contents is the state that Open read from a log.
type Contents struct {
	HardState consensus.HardState
	// BaseIndex and BaseTerm are the position of the entry before Entries;
	// BaseTerm is zero if it is unknown.
	BaseIndex uint64
	BaseTerm  uint64
	Entries   []consensus.Entry
	// TornBytes is the length of the torn write that was truncated.
	TornBytes int64
}

const segmentSuffix = ".wal"

func segmentName(sequence uint64) string { return fmt.Sprintf("%016x%s", sequence, segmentSuffix) }

// Open reads the log in a folder and prepares it for Append. It creates a log if
// there is none. If synced data is damaged, it returns a *storage.DamageError
// and changes no file.
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
	if err := r.readSegments(names); err != nil {
		return nil, Contents{}, err
	}
	if err := l.prepareForAppend(&r); err != nil {
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

// reader replays segments into Contents.
type reader struct {
	log      *Log
	contents Contents
	// end is the end offset of the valid frames in the newest segment.
	end int64
	// headerlessSegment is the name of the newest segment if its header was never
	// synced.
	headerlessSegment string
}

func (r *reader) readSegments(names []string) error {
	for position, name := range names {
		if err := r.readSegment(name, position == len(names)-1); err != nil {
			return err
		}
	}
	return nil
}

func (r *reader) readSegment(name string, newest bool) error {
	content, err := readSegmentContent(r.log.fs, r.log.path(name))
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
		if err := r.applyFrame(&read, parsed, offset); err != nil {
			return err
		}
		offset += parsed.size
	}
	return r.finishSegment(read, content, offset, newest)
}

// finishSegment classifies the bytes after the last valid frame as free space, a
// torn write or damage, and adds the segment to the log.
func (r *reader) finishSegment(read segment, content *segmentContent, offset int64, newest bool) error {
	torn := int64(len(bytes.TrimRight(content.frameAt(offset), "\x00")))
	nextValid := validFrameAfter(content, offset, r.log.sequence)
	switch {
	case nextValid >= 0:
		return r.damageError(read.name, offset, fmt.Sprintf("an invalid frame is followed by a valid one at offset %d", nextValid))
	case !newest && (torn > 0 || offset == 0):
		return r.damageError(read.name, offset, "a frame of an older segment is invalid")
	case offset == 0:
		r.headerlessSegment = read.name
		r.contents.TornBytes = torn
		return nil
	}
	r.log.segments = append(r.log.segments, read)
	r.end = offset
	r.contents.TornBytes = torn
	return nil
}

// validFrameAfter returns the offset of the first valid frame after an invalid
// one at offset, or -1. Frames numbered sequence or lower are ignored.
func validFrameAfter(content *segmentContent, offset int64, sequence uint64) int64 {
	end := int64(len(content.bytes))
	for at := offset + frameAlignment; at < end; at += frameAlignment {
		parsed, err := parseFrame(content.frameAt(at))
		if err == nil && parsed.sequence > sequence {
			return at
		}
	}
	return -1
}

func (r *reader) damageError(name string, offset int64, reason string) error {
	return &storage.DamageError{File: r.log.path(name), Offset: offset, Reason: reason, Advice: storage.AdviceReplace}
}

// applyFrame checks that a frame continues the log and adds it to the contents.
func (r *reader) applyFrame(read *segment, parsed frame, offset int64) error {
	first := len(r.log.segments) == 0 && offset == 0
	if !first && parsed.sequence != r.log.sequence+1 {
		return r.damageError(read.name, offset, fmt.Sprintf("frame %d follows frame %d", parsed.sequence, r.log.sequence))
	}
	if (parsed.kind == kindSegment) != (offset == 0) {
		return r.damageError(read.name, offset, fmt.Sprintf("unexpected frame of kind %d", parsed.kind))
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
		err = r.applyEntries(read, d.entries())
	default:
		err = fmt.Errorf("unknown kind %d", parsed.kind)
	}
	if err := errors.Join(d.err, err); err != nil {
		return r.damageError(read.name, offset, err.Error())
	}
	r.contents.HardState = hard
	return nil
}

// applyEntries appends entries and replaces existing ones at the same and higher
// indexes.
func (r *reader) applyEntries(read *segment, entries []consensus.Entry) error {
	for _, entry := range entries {
		read.maxIndex = max(read.maxIndex, entry.Index)
		next := r.contents.BaseIndex + uint64(len(r.contents.Entries)) + 1
		switch {
		case entry.Index == 0 || entry.Index > next:
			return fmt.Errorf("entry %d found where %d was expected", entry.Index, next)
		case entry.Index <= r.contents.BaseIndex:
			r.contents.BaseIndex, r.contents.BaseTerm, r.contents.Entries = entry.Index-1, 0, nil
		default:
			r.contents.Entries = r.contents.Entries[:entry.Index-r.contents.BaseIndex-1]
		}
		// Copied, so that one entry does not keep a whole segment in memory.
		entry.Data = bytes.Clone(entry.Data)
		r.contents.Entries = append(r.contents.Entries, entry)
	}
	return nil
}

// prepareForAppend truncates a torn write and opens the newest segment for
// writing, or creates the first segment.
func (l *Log) prepareForAppend(r *reader) error {
	l.hardState = r.contents.HardState
	l.end = position{r.contents.BaseIndex, r.contents.BaseTerm}
	if count := len(r.contents.Entries); count > 0 {
		l.end = position{r.contents.Entries[count-1].Index, r.contents.Entries[count-1].Term}
	}
	if r.headerlessSegment != "" {
		if err := l.fs.Remove(l.path(r.headerlessSegment)); err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		if err := l.fs.SyncDir(l.dir); err != nil {
			return &storage.SyncError{File: l.dir, Err: err}
		}
	}
	if len(l.segments) == 0 {
		return l.roll(0)
	}
	return l.openNewest(r.end, r.contents.TornBytes > 0 && r.headerlessSegment == "")
}

func (l *Log) openNewest(end int64, torn bool) error {
	file, err := l.fs.Open(l.newest())
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	l.file, l.writeOffset = file, end
	if torn {
		if err := l.truncateTornWrite(end); err != nil {
			return err
		}
	}
	l.segmentSize, err = file.Size()
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	return nil
}

// truncateTornWrite removes the bytes after the last valid frame, so that none of
// them can end up behind a frame written later. If there is no space to allocate
// the full segment again, the segment stays short.
func (l *Log) truncateTornWrite(end int64) error {
	if err := l.file.Truncate(end); err != nil {
		return fmt.Errorf("truncate torn write: %w", err)
	}
	if err := l.file.Allocate(max(l.options.SegmentBytes, end)); err != nil && !vfs.IsDiskFull(err) {
		return fmt.Errorf("truncate torn write: %w", err)
	}
	if err := l.file.Sync(); err != nil {
		return &storage.SyncError{File: l.newest(), Err: err}
	}
	return nil
}
