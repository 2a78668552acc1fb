package transport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
)

const (
	// headerSize is the bytes of a frame before its payload.
	headerSize = 8
	// readBuffer is the bytes read ahead, so that a small frame costs one call
	// of the system.
	readBuffer = 1 << 10
	// keptBuffer is the largest buffer, in bytes, that a connection keeps
	// between messages, so that one large snapshot does not stay in memory for
	// as long as the connection lives.
	keptBuffer = 16 << 10
	// firstRead is the most, in bytes, that is allocated for a payload before
	// any of it has arrived.
	firstRead = 64 << 10
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// frameHeader is the fixed part of a frame.
type frameHeader struct {
	length   uint32
	checksum uint32
}

// putHeader fills the first headerSize bytes of frame for the payload that
// follows them.
func putHeader(frame []byte) {
	payload := frame[headerSize:]
	binary.BigEndian.PutUint32(frame[0:4], uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[4:8], crc32.Checksum(payload, checksumTable))
}

// readHeader returns io.EOF only when not a single byte arrived.
func readHeader(reader io.Reader) (frameHeader, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return frameHeader{}, fmt.Errorf("%w: header cut short", ErrDamaged)
		}
		return frameHeader{}, err
	}
	return frameHeader{
		length:   binary.BigEndian.Uint32(header[0:4]),
		checksum: binary.BigEndian.Uint32(header[4:8]),
	}, nil
}

// readPayload reads and checks the payload that header announces into buffer.
func readPayload(reader io.Reader, header frameHeader, limit int, buffer *bytes.Buffer) error {
	if uint64(header.length) > uint64(limit) {
		return &FrameTooLargeError{Size: int(header.length), Limit: limit}
	}
	buffer.Grow(min(int(header.length), firstRead))
	count, err := io.CopyN(buffer, reader, int64(header.length))
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %d of %d bytes arrived", ErrDamaged, count, header.length)
	}
	if err != nil {
		return err
	}
	if crc32.Checksum(buffer.Bytes(), checksumTable) != header.checksum {
		return fmt.Errorf("%w: checksum differs", ErrDamaged)
	}
	return nil
}

// resetBuffer empties buffer and lets go of memory that only a large message
// needed.
func resetBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() > keptBuffer {
		*buffer = bytes.Buffer{}
		return
	}
	buffer.Reset()
}
