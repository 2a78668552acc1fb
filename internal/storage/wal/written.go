package wal

import (
	"bytes"
	"io"

	"github.com/quartzdock/quartzdock/internal/storage/vfs"
)

// blockBytes is how much of a segment is read at a time.
const blockBytes = 64 << 10

var zeros [blockBytes]byte

// written is what a segment's file holds up to the last byte that is not zero. Segments are
// allocated whole: the rest, most of the newest one, would take a starting process memory, and
// time in which its group may have no leader.
type written struct {
	bytes []byte
	// size of the file; all from the end of bytes on is zeros.
	size int64
}

// readWritten reads a segment's file.
func readWritten(fs vfs.FS, name string) (*written, error) {
	file, err := fs.Open(name)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	w := &written{}
	if w.size, err = file.Size(); err != nil {
		return nil, err
	}
	block := make([]byte, blockBytes)
	for offset := int64(0); offset < w.size; offset += blockBytes {
		block = block[:min(blockBytes, w.size-offset)]
		if _, err := io.ReadFull(io.NewSectionReader(file, offset, int64(len(block))), block); err != nil {
			return nil, err
		}
		if !bytes.Equal(block, zeros[:len(block)]) {
			w.extend(offset)
			w.bytes = append(w.bytes, block...)
		}
	}
	return w, nil
}

// extend appends zeros up to an offset, which lies within the file.
func (w *written) extend(offset int64) {
	if missing := offset - int64(len(w.bytes)); missing > 0 {
		w.bytes = append(w.bytes, make([]byte, missing)...)
	}
}

// frameAt returns the bytes from an offset on, the whole frame that begins there included: it
// may end in zeros.
func (w *written) frameAt(offset int64) []byte {
	w.extend(min(offset+headerSize, w.size))
	if length, ok := claimedLength(w.bytes[offset:]); ok && offset+paddedSize(length) <= w.size {
		w.extend(offset + paddedSize(length))
	}
	return w.bytes[offset:]
}
