package fleetwire_test

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
)

// largeDocument returns a configuration with the given number of routes.
func largeDocument(routes int) *routeconfig.Document {
	document := &routeconfig.Document{Version: 7}
	for i := range routes {
		source := fmt.Sprintf(`{"name":"r-%d","routeType":"safe","targetLatency":"600ms","priority":2,"match":{"pathPrefix":"/p%d/"},"action":{"service":"s%d","timeout":"1200ms","attempts":2}}`, i, i, i%7)
		document.Routes = append(document.Routes, routeconfig.Route{
			Name: fmt.Sprint("r-", i), Host: "h.example", PathPrefix: fmt.Sprintf("/p%d/", i), Timeout: 1200 * time.Millisecond,
			TargetLatency: 600 * time.Millisecond, Attempts: 2, Source: []byte(source),
			Destinations: []routeconfig.Destination{{Service: fmt.Sprint("s", i%7), Weight: 1}},
		})
	}
	return document
}

func TestPackedDocumentsAreUnpackedUnchanged(t *testing.T) {
	document := largeDocument(50)
	packed, err := fleetwire.Pack(document)
	assert.NilError(t, err)
	unpacked, err := fleetwire.Unpack[*routeconfig.Document](packed)
	assert.NilError(t, err)
	assert.DeepEqual(t, unpacked, document)
	for _, broken := range [][]byte{nil, packed[:len(packed)/2], []byte("no document")} {
		_, err := fleetwire.Unpack[*routeconfig.Document](broken)
		assert.Assert(t, err != nil)
	}
}

// All sessions share one packed document. Packing it for each gateway separately kept a
// large configuration from being in force in time.
func TestSharedDocumentIsPackedOnce(t *testing.T) {
	shared := &fleetwire.Shared[*routeconfig.Document]{Value: largeDocument(2000)}
	first, err := shared.Pack()
	assert.NilError(t, err)
	second, err := shared.Pack()
	assert.NilError(t, err)
	assert.Assert(t, &first[0] == &second[0], "both calls return the same slice")
	assert.Assert(t, len(first) < 200<<10, "%d bytes", len(first))
}

// Sets of owners with many ranges are sent to every gateway, so they must compress well.
func TestOwnersCompressWell(t *testing.T) {
	var owners fleetwire.ServiceOwners
	owners.Service = "keyed"
	for i := range keyspace.Key(256) {
		owners.Assignments = append(owners.Assignments, keyspace.Assignment{
			Range: keyspace.Range{First: i * 256, Last: i*256 + 255}, Owner: fmt.Sprintf("i-%010x", i*7919), Node: fmt.Sprintf("side-hall-a-%d", i%60),
			Fence: keyspace.Fence(1000 + i), Boot: uint64(i) << 40, Handover: fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15),
		})
	}
	all := []fleetwire.ServiceOwners{owners}
	packed, err := fleetwire.Pack(all)
	assert.NilError(t, err)
	var plain bytes.Buffer
	assert.NilError(t, gob.NewEncoder(&plain).Encode(all))
	assert.Assert(t, len(packed) < plain.Len()*2/3, "%d of %d bytes", len(packed), plain.Len())
	unpacked, err := fleetwire.Unpack[[]fleetwire.ServiceOwners](packed)
	assert.NilError(t, err)
	assert.DeepEqual(t, unpacked, all)
}

func BenchmarkPackDocument(b *testing.B) {
	document := largeDocument(2000)
	b.ReportAllocs()
	for b.Loop() {
		_, err := fleetwire.Pack(document)
		assert.NilError(b, err)
	}
}

func BenchmarkUnpackDocument(b *testing.B) {
	packed, err := fleetwire.Pack(largeDocument(2000))
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		_, err := fleetwire.Unpack[*routeconfig.Document](packed)
		assert.NilError(b, err)
	}
}
