package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// A frame is the unit of one synced write:
//
//	magic     4 bytes
//	checksum  4 bytes, CRC-32C of the rest of the frame
//	length    4 bytes, of the payload
//	kind      4 bytes
//	sequence  8 bytes, consecutive over all segments
//	payload   padded with zeros to a multiple of 8 bytes
//
// Numbers are little-endian in the header and varints in the payload.
const (
	frameMagic     = 0x51445731
	headerSize     = 24
	frameAlignment = 8
	// maxPayload is the largest payload length that a valid header may declare.
	maxPayload = 1 << 30
)

type frameKind uint32

const (
	// kindSegment is the first frame of a segment. It holds the hard state and
	// the position of the last entry before the segment.
	kindSegment frameKind = iota + 1
	// kindAppend holds a hard state and entries.
	kindAppend
	// kindReset empties the log after a snapshot was installed. It holds the
	// hard state and the snapshot's position.
	kindReset
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errInvalidFrame reports that data does not start with a complete, intact frame.
var errInvalidFrame = errors.New("incomplete or damaged frame")

type frame struct {
	kind     frameKind
	sequence uint64
	payload  []byte
	// size includes the header and the padding.
	size int64
}

func appendFrame(buffer []byte, kind frameKind, sequence uint64, payload []byte) []byte {
	start := len(buffer)
	buffer = binary.LittleEndian.AppendUint32(buffer, frameMagic)
	buffer = binary.LittleEndian.AppendUint32(buffer, 0)
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(kind))
	buffer = binary.LittleEndian.AppendUint64(buffer, sequence)
	buffer = append(buffer, payload...)
	for (len(buffer)-start)%frameAlignment != 0 {
		buffer = append(buffer, 0)
	}
	checksum := crc32.Checksum(buffer[start+8:], castagnoli)
	binary.LittleEndian.PutUint32(buffer[start+4:], checksum)
	return buffer
}

// declaredLength returns the payload length in the header at the start of data; ok is false if
// there is no valid header.
func declaredLength(data []byte) (length int64, ok bool) {
	if len(data) < headerSize || binary.LittleEndian.Uint32(data) != frameMagic {
		return 0, false
	}
	length = int64(binary.LittleEndian.Uint32(data[8:]))
	return length, length <= maxPayload
}

// parseFrame reads the frame at the start of data.
func parseFrame(data []byte) (frame, error) {
	length, ok := declaredLength(data)
	if !ok {
		return frame{}, errInvalidFrame
	}
	size := paddedSize(length)
	if size > int64(len(data)) {
		return frame{}, errInvalidFrame
	}
	if crc32.Checksum(data[8:size], castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return frame{}, errInvalidFrame
	}
	return frame{
		kind:     frameKind(binary.LittleEndian.Uint32(data[12:])),
		sequence: binary.LittleEndian.Uint64(data[16:]),
		payload:  data[headerSize : headerSize+length],
		size:     size,
	}, nil
}

func paddedSize(payload int64) int64 {
	size := headerSize + payload
	return (size + frameAlignment - 1) / frameAlignment * frameAlignment
}

func appendHardState(buffer []byte, hard consensus.HardState) []byte {
	buffer = binary.AppendUvarint(buffer, hard.Term)
	buffer = binary.AppendUvarint(buffer, uint64(hard.Vote))
	return binary.AppendUvarint(buffer, hard.Commit)
}

func appendPosition(buffer []byte, at position) []byte {
	buffer = binary.AppendUvarint(buffer, at.index)
	return binary.AppendUvarint(buffer, at.term)
}

func appendEntries(buffer []byte, entries []consensus.Entry) []byte {
	buffer = binary.AppendUvarint(buffer, uint64(len(entries)))
	for _, entry := range entries {
		buffer = binary.AppendUvarint(buffer, entry.Index)
		buffer = binary.AppendUvarint(buffer, entry.Term)
		buffer = binary.AppendUvarint(buffer, uint64(entry.Kind))
		buffer = binary.AppendUvarint(buffer, uint64(len(entry.Data)))
		buffer = append(buffer, entry.Data...)
	}
	return buffer
}

// decoder reads a payload. After the first error it returns zero values and keeps the error.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) uvarint() uint64 {
	if d.err != nil {
		return 0
	}
	value, size := binary.Uvarint(d.rest)
	if size <= 0 {
		d.err = fmt.Errorf("payload: varint expected, %d bytes left", len(d.rest))
		return 0
	}
	d.rest = d.rest[size:]
	return value
}

func (d *decoder) bytes() []byte {
	length := d.uvarint()
	if d.err == nil && length > uint64(len(d.rest)) {
		d.err = fmt.Errorf("payload: %d bytes expected, %d left", length, len(d.rest))
	}
	if d.err != nil || length == 0 {
		return nil
	}
	value := d.rest[:length:length]
	d.rest = d.rest[length:]
	return value
}

func (d *decoder) hardState() consensus.HardState {
	return consensus.HardState{Term: d.uvarint(), Vote: topology.ReplicaID(d.uvarint()), Commit: d.uvarint()}
}

func (d *decoder) position() position {
	return position{index: d.uvarint(), term: d.uvarint()}
}

func (d *decoder) entries() []consensus.Entry {
	count := d.uvarint()
	// Each entry takes at least four bytes, so this bounds the allocation below.
	if d.err == nil && count > uint64(len(d.rest))/4 {
		d.err = fmt.Errorf("payload: %d entries in %d bytes", count, len(d.rest))
	}
	if d.err != nil {
		return nil
	}
	entries := make([]consensus.Entry, 0, count)
	for range count {
		entry := consensus.Entry{Index: d.uvarint(), Term: d.uvarint(), Kind: consensus.EntryKind(d.uvarint()), Data: d.bytes()}
		entries = append(entries, entry)
	}
	return entries
}
