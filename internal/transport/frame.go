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
	// headerSize is the size of a frame's header in bytes.
	headerSize = 8
	// readBufferSize is the size of the read-ahead buffer in bytes. It allows a
	// small frame to be read with one system call.
	readBufferSize = 1 << 10
	// maxRetainedBuffer is the largest buffer, in bytes, that a connection keeps
	// between messages, so that one large snapshot does not occupy memory for the
	// lifetime of the connection.
	maxRetainedBuffer = 16 << 10
	// initialPayloadCapacity is the maximum number of bytes that is allocated for
	// a payload before any of it has arrived.
	initialPayloadCapacity = 64 << 10
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// frameHeader is the fixed part of a frame.
type frameHeader struct {
	length   uint32
	checksum uint32
}

// putHeader writes the header into the first headerSize bytes of frame, which the
// payload follows.
func putHeader(frame []byte) {
	payload := frame[headerSize:]
	binary.BigEndian.PutUint32(frame[0:4], uint32(len(payload)))
	binary.BigEndian.PutUint32(frame[4:8], crc32.Checksum(payload, checksumTable))
}

// readHeader reads a frame's header. It returns io.EOF only if no byte arrived.
func readHeader(reader io.Reader) (frameHeader, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(reader, header[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return frameHeader{}, fmt.Errorf("%w: truncated header", ErrDamaged)
		}
		return frameHeader{}, err
	}
	return frameHeader{
		length:   binary.BigEndian.Uint32(header[0:4]),
		checksum: binary.BigEndian.Uint32(header[4:8]),
	}, nil
}

// readPayload reads the payload that header declares into buffer and verifies its
// checksum.
func readPayload(reader io.Reader, header frameHeader, limit int, buffer *bytes.Buffer) error {
	if uint64(header.length) > uint64(limit) {
		return &FrameTooLargeError{Size: int(header.length), Limit: limit}
	}
	buffer.Grow(min(int(header.length), initialPayloadCapacity))
	count, err := io.CopyN(buffer, reader, int64(header.length))
	if errors.Is(err, io.EOF) {
		return fmt.Errorf("%w: %d of %d bytes arrived", ErrDamaged, count, header.length)
	}
	if err != nil {
		return err
	}
	if crc32.Checksum(buffer.Bytes(), checksumTable) != header.checksum {
		return fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	return nil
}

// resetBuffer empties buffer and releases its memory if a large message has grown
// it beyond maxRetainedBuffer.
func resetBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() > maxRetainedBuffer {
		*buffer = bytes.Buffer{}
		return
	}
	buffer.Reset()
}
