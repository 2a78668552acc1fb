package fleetwire

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/quartzdock/quartzdock/internal/gobcheck"
)

const (
	// maxUnpacked limits the unpacked size, in bytes.
	maxUnpacked = 256 << 20
	// maxRatio limits the unpacked size relative to the packed size; minUnpacked is
	// allowed regardless of the packed size. Pack stays within the limit by falling back to
	// Huffman codes alone, whose ratio is 8 at most.
	maxRatio    = 128
	minUnpacked = 64 << 10
)

var errTrailingData = errors.New("trailing data after the value")

// compressors reuses compressors, because a new one allocates over half a megabyte, too much
// for a small change.
var compressors = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // NewWriter fails only for an invalid level
	}
	return compressor
}}

// unpackLimit returns the largest unpacked size that is accepted for a packed size.
func unpackLimit(packed int) int64 { return min(maxUnpacked, maxRatio*int64(packed)+minUnpacked) }

// Pack encodes and compresses a value. The leader does this once for all gateways: encoding
// a large document for each of them would put it in force too late.
func Pack[T any](value T) ([]byte, error) {
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	packed, size, err := packWith(compressor, value)
	if err == nil && size > unpackLimit(len(packed)) {
		var huffman *flate.Writer
		if huffman, err = flate.NewWriter(nil, flate.HuffmanOnly); err == nil {
			packed, _, err = packWith(huffman, value)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return packed, nil
}

// packWith encodes a value with the given compressor. Size is the uncompressed size.
func packWith(compressor *flate.Writer, value any) (packed []byte, size int64, err error) {
	var buffer bytes.Buffer
	compressor.Reset(&buffer)
	counted := &countingWriter{to: compressor}
	if err := gob.NewEncoder(counted).Encode(value); err != nil {
		return nil, 0, err
	}
	if err := compressor.Close(); err != nil {
		return nil, 0, err
	}
	return buffer.Bytes(), counted.size, nil
}

// countingWriter counts the bytes written through it.
type countingWriter struct {
	to   io.Writer
	size int64
}

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	count, err := w.to.Write(data)
	w.size += int64(count)
	return count, err
}

// Unpack reverses Pack and rejects trailing data. Its memory use is limited by the packed
// size.
func Unpack[T any](packed []byte) (value T, err error) {
	compressed := bytes.NewReader(packed)
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(compressed), unpackLimit(len(packed))))
	if err == nil {
		err = gobcheck.CheckLengths(encoded)
	}
	if err != nil {
		return value, fmt.Errorf("unpack: %w", err)
	}
	var zero T
	source := bytes.NewReader(encoded)
	if err := gob.NewDecoder(source).Decode(&value); err != nil {
		return zero, fmt.Errorf("unpack: %w", err)
	}
	if source.Len() > 0 || compressed.Len() > 0 {
		return zero, fmt.Errorf("unpack: %w", errTrailingData)
	}
	return value, nil
}

// Shared is a value that is packed once, when it is first sent.
type Shared[T any] struct {
	Value  T
	once   sync.Once
	packed []byte
	err    error
}

// Pack returns the packed value. It is safe for concurrent use.
func (s *Shared[T]) Pack() ([]byte, error) {
	s.once.Do(func() { s.packed, s.err = Pack(s.Value) })
	return s.packed, s.err
}
