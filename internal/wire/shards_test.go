package wire

import (
	"math"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
)

func encodeAndDecode(t *testing.T, shards Shards) Shards {
	t.Helper()
	encoded, err := shards.GobEncode()
	assert.NilError(t, err)
	var decoded Shards
	assert.NilError(t, decoded.GobDecode(encoded))
	return decoded
}

func TestShardsRoundTrip(t *testing.T) {
	const last = math.MaxUint32
	shards := Shards{
		{ID: topology.ShardID{Service: 1, Shard: 1}, Phase: topology.ShardUnassigned},
		{ID: topology.ShardID{Service: 1, Shard: last}, Start: math.MaxUint64, Phase: topology.ShardReleasing, Owner: last, Target: 1, Epoch: math.MaxUint64},
		{ID: topology.ShardID{Service: last, Shard: 2}, Start: 1, Phase: topology.ShardOwned, Owner: 7, Epoch: 3},
		{ID: topology.ShardID{}, Start: 1 << 63, Phase: topology.ShardWarming, Owner: 2, Target: last},
	}
	assert.DeepEqual(t, encodeAndDecode(t, shards), shards)
	assert.Equal(t, len(encodeAndDecode(t, nil)), 0)
}

// TestShardsEncodesEveryField fails if a field is added to topology.Shard but
// not to its encoding, which would drop it silently.
func TestShardsEncodesEveryField(t *testing.T) {
	var shard topology.Shard
	setNonZero(reflect.ValueOf(&shard).Elem())
	assert.DeepEqual(t, encodeAndDecode(t, Shards{shard}), Shards{shard})
}

// setNonZero sets every number in a struct to a small value other than zero.
func setNonZero(fields reflect.Value) {
	for index := range fields.NumField() {
		if field := fields.Field(index); field.Kind() == reflect.Struct {
			setNonZero(field)
		} else {
			field.SetUint(uint64(index) + 1)
		}
	}
}

func TestShardsEncodingSize(t *testing.T) {
	const count, bytesEach = 3750, 8
	var shards Shards
	for index := range uint64(count) {
		shards = append(shards, topology.Shard{
			ID:    topology.ShardID{Service: 20, Shard: topology.ShardNumber(index + 1)},
			Start: topology.KeyHash(index * (math.MaxUint64 / count)), Phase: topology.ShardOwned,
			Owner: topology.BackendID(index%1100 + 1), Epoch: 3,
		})
	}
	encoded, err := shards.GobEncode()
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) <= count*bytesEach, "%d bytes", len(encoded))
	assert.DeepEqual(t, encodeAndDecode(t, shards), shards)
}

func TestShardsRejectsCorruptData(t *testing.T) {
	encoded, err := Shards{{ID: topology.ShardID{Service: 1, Shard: 300}, Start: 1 << 60, Phase: topology.ShardWarming, Owner: 300, Target: 400, Epoch: 500}}.GobEncode()
	assert.NilError(t, err)
	for size := 1; size < len(encoded); size++ {
		var shards Shards
		assert.ErrorIs(t, shards.GobDecode(encoded[:size]), errCorrupt, "%d bytes", size)
	}
	var shards Shards
	assert.ErrorIs(t, shards.GobDecode([]byte{1, 2, 0, 2, 1, 1}), errCorrupt, "a negative service")
	assert.ErrorIs(t, shards.GobDecode([]byte{2, 2, 0, 16, 1, 1}), errCorrupt, "unknown flags")
}

func FuzzShards(f *testing.F) {
	f.Add([]byte{2, 2, 0, 2, 1, 1})
	f.Fuzz(func(t *testing.T, encoded []byte) {
		var shards Shards
		if shards.GobDecode(encoded) == nil {
			assert.DeepEqual(t, encodeAndDecode(t, shards), shards)
		}
	})
}
