package wal

import (
	"bytes"
	"io"

	"github.com/quartzdock/quartzdock/internal/storage/vfs"
)

// blockBytes is the size of the blocks in which a segment is read.
const blockBytes = 64 << 10

var zeros [blockBytes]byte

// segmentContent is the content of a segment file up to the last block that isn't all zeros.
// Segments are allocated at full size, so most of the newest one is zeros. Keeping them would cost
// a starting process memory, and time during which its group may have no leader.
type segmentContent struct {
	bytes []byte
	// size is the file size; everything after bytes is zeros.
	size int64
}

// readSegmentContent reads a segment file.
func readSegmentContent(fs vfs.FS, name string) (*segmentContent, error) {
	file, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	c := &segmentContent{}
	if c.size, err = file.Size(); err != nil {
		return nil, err
	}
	block := make([]byte, blockBytes)
	for offset := int64(0); offset < c.size; offset += blockBytes {
		block = block[:min(blockBytes, c.size-offset)]
		if _, err := io.ReadFull(io.NewSectionReader(file, offset, int64(len(block))), block); err != nil {
			return nil, err
		}
		if !bytes.Equal(block, zeros[:len(block)]) {
			c.zeroFill(offset)
			c.bytes = append(c.bytes, block...)
		}
	}
	return c, nil
}

// zeroFill appends zeros up to an offset, which must lie within the file.
func (c *segmentContent) zeroFill(offset int64) {
	if missing := offset - int64(len(c.bytes)); missing > 0 {
		c.bytes = append(c.bytes, make([]byte, missing)...)
	}
}

// frameAt returns the bytes from an offset on. They include the whole frame that starts there,
// also where the frame ends in zeros that were not stored.
func (c *segmentContent) frameAt(offset int64) []byte {
	c.zeroFill(min(offset+headerSize, c.size))
	if length, ok := declaredLength(c.bytes[offset:]); ok && offset+paddedSize(length) <= c.size {
		c.zeroFill(offset + paddedSize(length))
	}
	return c.bytes[offset:]
}
