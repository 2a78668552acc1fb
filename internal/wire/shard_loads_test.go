package wire

import (
	"math"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
)

func TestShardLoadsRoundTrip(t *testing.T) {
	for _, loads := range []ShardLoads{
		nil,
		{{Shard: 3, Requests: 17, BusyMicros: 17_000}},
		{{Shard: 70_000}, {Shard: 2, Refused: 5}, {Shard: math.MaxUint32, Requests: math.MaxUint32, BusyMicros: math.MaxUint32, Refused: math.MaxUint32}},
		{{Shard: 9, Requests: 1, HotKeys: []KeyLoad{{Key: math.MaxUint64, Share: 0.5}, {Key: 1, Share: 0.25}}}, {Shard: 10}},
	} {
		encoded, err := loads.GobEncode()
		assert.NilError(t, err)
		var decoded ShardLoads
		assert.NilError(t, decoded.GobDecode(encoded))
		assert.DeepEqual(t, decoded, loads)
	}
	_, err := ShardLoads{{HotKeys: make([]KeyLoad, MaxHotKeys+1)}}.GobEncode()
	assert.ErrorContains(t, err, "hot keys")
}

// TestShardLoadsEncodesEveryField fails if a field is added to ShardLoad but not
// to its encoding, which would drop it silently.
func TestShardLoadsEncodesEveryField(t *testing.T) {
	var load ShardLoad
	fields := reflect.ValueOf(&load).Elem()
	for index := range fields.NumField() {
		field := fields.Field(index)
		if field.Kind() == reflect.Slice {
			field.Set(reflect.MakeSlice(field.Type(), 2, 2))
			continue
		}
		field.SetUint(uint64(index) + 5)
	}
	encoded, err := ShardLoads{load}.GobEncode()
	assert.NilError(t, err)
	var decoded ShardLoads
	assert.NilError(t, decoded.GobDecode(encoded))
	assert.DeepEqual(t, decoded, ShardLoads{load})
}

// TestShardLoadsEncodingSize checks the size of a report at the target scale, at
// which an agent has 68 of its service's 3,750 shards.
func TestShardLoadsEncodingSize(t *testing.T) {
	const shards, bytesEach = 68, 7
	var loads ShardLoads
	for index := range shards {
		loads = append(loads, ShardLoad{Shard: topology.ShardNumber(index*55 + 1), Requests: 66, BusyMicros: 66_000})
	}
	encoded, err := loads.GobEncode()
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) <= shards*bytesEach, "%d bytes", len(encoded))
}

func TestShardLoadsRejectsCorruptData(t *testing.T) {
	encoded, err := ShardLoads{{Shard: 7, Requests: 300, BusyMicros: 70_000, Refused: 3, LongRunning: 2, HotKeys: []KeyLoad{{Key: 5, Share: 1}}}}.GobEncode()
	assert.NilError(t, err)
	for size := 1; size < len(encoded); size++ {
		var loads ShardLoads
		assert.ErrorIs(t, loads.GobDecode(encoded[:size]), errCorrupt, "%d bytes", size)
	}
	var loads ShardLoads
	assert.ErrorIs(t, loads.GobDecode([]byte{1, 0, 0}), errCorrupt, "a negative number")
}

func FuzzLoadReport(f *testing.F) {
	f.Add([]byte{2, 4, 8})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var loads ShardLoads
		if loads.GobDecode(encoded) != nil {
			return
		}
		again, err := loads.GobEncode()
		assert.NilError(t, err)
		var second ShardLoads
		assert.NilError(t, second.GobDecode(again))
		assert.Equal(t, len(second), len(loads))
	})
}
