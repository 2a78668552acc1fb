package requestrecord

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
)

// A segment file is a sequence of frames: length and CRC-32C of the payload,
// four bytes each, little endian, then the payload. The payloads together are
// one gob stream of []Change.
const (
	segmentPattern  = "requests-*.journal"
	segmentFormat   = "requests-%016d.journal"
	frameHeaderSize = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type segment struct {
	number uint64
	path   string
}

func segmentPath(directory string, number uint64) string {
	return filepath.Join(directory, fmt.Sprintf(segmentFormat, number))
}

func appendFrame(frame, payload []byte) []byte {
	frame = binary.LittleEndian.AppendUint32(frame, uint32(len(payload)))
	frame = binary.LittleEndian.AppendUint32(frame, crc32.Checksum(payload, castagnoli))
	return append(frame, payload...)
}

// listSegments returns the segments in the order of their numbers.
func listSegments(directory string) ([]segment, error) {
	if err := os.MkdirAll(directory, 0o700); err != nil {
		return nil, err
	}
	if err := syncDirectory(filepath.Dir(directory)); err != nil {
		return nil, err
	}
	paths, err := filepath.Glob(filepath.Join(directory, segmentPattern))
	if err != nil {
		return nil, err
	}
	segments := make([]segment, 0, len(paths))
	for _, path := range paths {
		found := segment{path: path}
		if _, err := fmt.Sscanf(filepath.Base(path), segmentFormat, &found.number); err != nil {
			return nil, fmt.Errorf("%s: invalid name of a journal segment: %w", path, err)
		}
		segments = append(segments, found)
	}
	slices.SortFunc(segments, func(a, b segment) int {
		if a.number < b.number {
			return -1
		}
		return 1
	})
	return segments, nil
}

// readJournal replays all segments. The result damaged reports whether a segment
// did not end with a complete frame or could not be decoded; the changes before
// the damage are replayed.
func readJournal(directory string, replay func(Change)) (segments []segment, damaged bool, err error) {
	segments, err = listSegments(directory)
	if err != nil {
		return nil, false, err
	}
	for _, found := range segments {
		content, err := os.ReadFile(found.path)
		if err != nil {
			return nil, false, err
		}
		if !replaySegment(content, replay) {
			damaged = true
		}
	}
	return segments, damaged, nil
}

// replaySegment replays a segment and returns false if it is damaged.
func replaySegment(content []byte, replay func(Change)) (intact bool) {
	stream, intact := joinFrames(content)
	decoder := gob.NewDecoder(bytes.NewReader(stream))
	for {
		var changes []Change
		err := decoder.Decode(&changes)
		if errors.Is(err, io.EOF) {
			return intact
		}
		if err != nil {
			return false
		}
		for _, change := range changes {
			replay(change)
		}
	}
}

// joinFrames returns the payloads up to the first incomplete or damaged frame.
func joinFrames(content []byte) (stream []byte, intact bool) {
	for len(content) > 0 {
		if len(content) < frameHeaderSize {
			return stream, false
		}
		length := uint64(binary.LittleEndian.Uint32(content))
		checksum := binary.LittleEndian.Uint32(content[4:])
		content = content[frameHeaderSize:]
		if uint64(len(content)) < length {
			return stream, false
		}
		payload := content[:length]
		if crc32.Checksum(payload, castagnoli) != checksum {
			return stream, false
		}
		stream = append(stream, payload...)
		content = content[length:]
	}
	return stream, true
}

// changes returns the changes that rebuild the state, for a rewritten journal. It
// copies little and allocates in bulk, because admissions are blocked meanwhile.
func (state *state) changes() []Change {
	rebuilt := make([]Change, 0, 1+len(state.shards)+2*len(state.admissions))
	rebuilt = append(rebuilt, Change{Memory: &memoryChange{SinceUnixMilli: state.completeSince}})
	for _, id := range state.sortedShards() {
		record := state.shards[id]
		rebuilt = append(rebuilt, Change{Restored: &restoredChange{
			Shard: id, Epoch: record.epoch, Covers: record.covers, Released: record.released,
			TakeoverFloor: record.takeoverFloor, RetentionFloor: record.retentionFloor,
		}})
	}
	admitted := make([]admittedChange, len(state.admissions))
	finished := make([]finishedChange, len(state.admissions))
	for i, ordered := range state.admissions {
		e, ok := state.shard(ordered.shard).entries[ordered.id]
		if !ok {
			continue
		}
		admitted[i] = admittedChange{Shard: ordered.shard, ID: ordered.id,
			Fingerprint: e.fingerprint, AtUnixMilli: ordered.atUnixMilli}
		rebuilt = append(rebuilt, Change{Admitted: &admitted[i]})
		if e.state != stateRunning {
			finished[i] = finishedChange{Shard: ordered.shard, ID: ordered.id,
				Answered: e.state == stateAnswered, Answer: e.answer, BodyBytes: e.bodyBytes}
			rebuilt = append(rebuilt, Change{Finished: &finished[i]})
		}
	}
	return rebuilt
}
