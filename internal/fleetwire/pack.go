package fleetwire

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"sync"
)

// maxUnpacked bounds what is unpacked, in bytes.
const maxUnpacked = 256 << 20

// compressors are kept: a new one takes over half a megabyte, which a small change
// is not worth.
var compressors = sync.Pool{New: func() any {
	compressor, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is a constant of the package
	}
	return compressor
}}

// Pack encodes and compresses a value. A leader does so once for all gateways: a
// large document that was encoded for each of them alone would be in force too
// late.
func Pack[T any](value T) ([]byte, error) {
	var packed bytes.Buffer
	compressor := compressors.Get().(*flate.Writer)
	defer compressors.Put(compressor)
	compressor.Reset(&packed)
	if err := gob.NewEncoder(compressor).Encode(value); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("pack: %w", err)
	}
	return packed.Bytes(), nil
}

// Unpack reads what Pack wrote.
func Unpack[T any](packed []byte) (value T, err error) {
	source := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked)
	if err := gob.NewDecoder(source).Decode(&value); err != nil {
		return value, fmt.Errorf("unpack: %w", err)
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
