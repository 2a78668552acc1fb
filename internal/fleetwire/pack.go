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
	// maxUnpacked bounds what is unpacked, in bytes.
	maxUnpacked = 256 << 20
	// maxRatio bounds it by what arrived, and leastUnpacked is what even a few bytes may
	// be unpacked to. Pack keeps to it: Huffman codes alone make an eighth at best.
	maxRatio      = 128
	leastUnpacked = 64 << 10
)

// errTail: bytes follow the value.
var errTail = errors.New("bytes behind the value")

// compressors are kept: a new one takes over half a megabyte, which a small change
// is not worth.
var compressors = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	return compressor
}}

// largestOf is how many bytes may come of packed ones.
func largestOf(packed int) int64 { return min(maxUnpacked, maxRatio*int64(packed)+leastUnpacked) }

// Pack encodes and compresses a value. A leader does so once for all gateways: a
// large document that was encoded for each of them alone would be in force too
// late.
func Pack[T any](value T) ([]byte, error) {
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	packed, size, err := packWith(compressor, value)
	if err == nil && size > largestOf(len(packed)) {
		var weaker *flate.Writer
		if weaker, err = flate.NewWriter(nil, flate.HuffmanOnly); err == nil {
			packed, _, err = packWith(weaker, value)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return packed, nil
}

// packWith returns what a compressor makes of a value, and the bytes that it was given.
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

// countingWriter counts the bytes that pass.
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

// Unpack reads what Pack wrote, all of it. Its memory is bounded by what arrived.
func Unpack[T any](packed []byte) (value T, err error) {
	arrived := bytes.NewReader(packed)
	whole, err := io.ReadAll(io.LimitReader(flate.NewReader(arrived), largestOf(len(packed))))
	if err == nil {
		err = gobcheck.Whole(whole)
	}
	if err != nil {
		return value, fmt.Errorf("unpack: %w", err)
	}
	var none T
	source := bytes.NewReader(whole)
	if err := gob.NewDecoder(source).Decode(&value); err != nil {
		return none, fmt.Errorf("unpack: %w", err)
	}
	if source.Len() > 0 || arrived.Len() > 0 {
		return none, fmt.Errorf("unpack: %w", errTail)
	}
	return value, nil
}

// Shared is a value that is packed when it is first sent, once.
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
