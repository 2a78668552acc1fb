package fleetwire_test

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// allocated returns the number of bytes that a function allocates.
func allocated(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// decompressionBomb returns a small message that unpacks to a large one.
func decompressionBomb(t testing.TB) []byte {
	t.Helper()
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestCompression)
	assert.NilError(t, err)
	document := &routeconfig.Document{Version: 7, Routes: []routeconfig.Route{{Source: make([]byte, 64<<20)}}}
	assert.NilError(t, gob.NewEncoder(compressor).Encode(document))
	assert.NilError(t, compressor.Close())
	return packed.Bytes()
}

// Unpack rejects a decompression bomb without allocating memory for its content.
func TestUnpackedSizeIsLimitedByPackedSize(t *testing.T) {
	packed := decompressionBomb(t)
	var err error
	used := allocated(func() { _, err = fleetwire.Unpack[*routeconfig.Document](packed) })
	assert.Assert(t, err != nil)
	assert.Assert(t, used < 64<<20, "%d bytes allocated for %d", used, len(packed))
}

// Pack weakens the compression of a value whose ratio would exceed the limit of Unpack.
func TestHighlyCompressibleValuesCanBeUnpacked(t *testing.T) {
	document := &routeconfig.Document{Version: 7, Routes: []routeconfig.Route{{Source: make([]byte, 4<<20)}}}
	packed, err := fleetwire.Pack(document)
	assert.NilError(t, err)
	unpacked, err := fleetwire.Unpack[*routeconfig.Document](packed)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(unpacked.Routes[0].Source, document.Routes[0].Source))
}

func TestUnpackRejectsTrailingAndMissingData(t *testing.T) {
	var packed bytes.Buffer
	compressor, err := flate.NewWriter(&packed, flate.BestSpeed)
	assert.NilError(t, err)
	encoder := gob.NewEncoder(compressor)
	assert.NilError(t, encoder.Encode(&routeconfig.Document{Version: 7}))
	assert.NilError(t, encoder.Encode(&routeconfig.Document{Version: 9}))
	assert.NilError(t, compressor.Close())
	_, err = fleetwire.Unpack[*routeconfig.Document](packed.Bytes())
	assert.Assert(t, err != nil)
	whole, err := fleetwire.Pack(largeDocument(3))
	assert.NilError(t, err)
	for _, broken := range [][]byte{whole[:len(whole)-1], append(bytes.Clone(whole), 0)} {
		_, err = fleetwire.Unpack[*routeconfig.Document](broken)
		assert.Assert(t, err != nil)
	}
}

// Unpack returns on any input, and its memory use is limited by the input's size and the
// largest unpacked size that is accepted for it.
func FuzzUnpack(f *testing.F) {
	document, err := fleetwire.Pack(largeDocument(3))
	assert.NilError(f, err)
	owners, err := fleetwire.Pack(&fleetwire.OwnerChanges{Snapshot: true, Services: []fleetwire.ServiceOwners{
		{Service: "keyed", Assignments: []keyspace.Assignment{{Range: keyspace.Range{Last: keyspace.LastKey}, Owner: "i-1", Fence: 4}}},
	}})
	assert.NilError(f, err)
	instances, err := fleetwire.Pack(&fleetwire.InstanceChanges{Snapshot: true, Changed: []fleetwire.Instance{{ID: "i-1", Service: "s", Slots: 4}}})
	assert.NilError(f, err)
	for _, packed := range [][]byte{document, owners, instances, document[:len(document)/2], nil} {
		f.Add(packed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		const perByte, base = 16 * 128, 2 << 20 // allowed bytes for each input byte, and in addition
		used := allocated(func() { _, _ = fleetwire.Unpack[*routeconfig.Document](data) })
		if used > base+perByte*uint64(len(data)) {
			t.Fatalf("%d bytes allocated for %d", used, len(data))
		}
		view := fleetwire.View{PackedDocument: data}
		if view.Unpack() == nil && view.Document != nil {
			routeconfig.NewTable(view.Document).Find("h", "/p")
			_ = view.Document.Validate(0)
		}
		view = fleetwire.View{PackedOwners: data}
		_ = view.Unpack()
		view = fleetwire.View{PackedInstances: data}
		_ = view.Unpack()
	})
}
