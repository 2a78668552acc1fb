package fleetwire

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"fmt"
	"io"
	"sync"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// maxUnpacked bounds a document, in bytes.
const maxUnpacked = 256 << 20

// PackDocument encodes and compresses a document. A leader does so once for all
// gateways: a large document that was encoded for each of them alone would be in
// force too late.
func PackDocument(document *routeconfig.Document) ([]byte, error) {
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("pack document: %w", err)
	}
	if err := gob.NewEncoder(compressor).Encode(document); err != nil {
		return nil, fmt.Errorf("pack document: %w", err)
	}
	if err := compressor.Close(); err != nil {
		return nil, fmt.Errorf("pack document: %w", err)
	}
	return packed.Bytes(), nil
}

// UnpackDocument reads what PackDocument wrote.
func UnpackDocument(packed []byte) (*routeconfig.Document, error) {
	source := io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked)
	document := &routeconfig.Document{}
	if err := gob.NewDecoder(source).Decode(document); err != nil {
		return nil, fmt.Errorf("unpack document: %w", err)
	}
	return document, nil
}

// SharedDocument is a document that is packed when it is first sent, once.
type SharedDocument struct {
	*routeconfig.Document
	once   sync.Once
	packed []byte
	err    error
}

// Pack returns the packed document. It is safe for concurrent use.
func (s *SharedDocument) Pack() ([]byte, error) {
	s.once.Do(func() { s.packed, s.err = PackDocument(s.Document) })
	return s.packed, s.err
}
