package wire

import (
	"math"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
)

func unpackedShards(t *testing.T, shards Shards) Shards {
	t.Helper()
	packed, err := shards.GobEncode()
	assert.NilError(t, err)
	var arrived Shards
	assert.NilError(t, arrived.GobDecode(packed))
	return arrived
}

func TestShardsArriveAsTheyWereSent(t *testing.T) {
	const last = math.MaxUint32
	shards := Shards{
		{ID: topology.ShardID{Service: 1, Shard: 1}, Phase: topology.ShardUnassigned},
		{ID: topology.ShardID{Service: 1, Shard: last}, Start: math.MaxUint64, Phase: topology.ShardReleasing, Owner: last, Target: 1, Epoch: math.MaxUint64},
		{ID: topology.ShardID{Service: last, Shard: 2}, Start: 1, Phase: topology.ShardOwned, Owner: 7, Epoch: 3},
		{ID: topology.ShardID{}, Start: 1 << 63, Phase: topology.ShardWarming, Owner: 2, Target: last},
	}
	assert.DeepEqual(t, unpackedShards(t, shards), shards)
	assert.Equal(t, len(unpackedShards(t, nil)), 0)
}

// TestEveryFieldOfAShardIsPacked fails where a field is added to topology.Shard
// and not to the packed form, which would drop it silently.
func TestEveryFieldOfAShardIsPacked(t *testing.T) {
	var shard topology.Shard
	fill(reflect.ValueOf(&shard).Elem())
	assert.DeepEqual(t, unpackedShards(t, Shards{shard}), Shards{shard})
}

// fill sets all numbers of a struct to small ones other than zero.
func fill(fields reflect.Value) {
	for index := range fields.NumField() {
		if field := fields.Field(index); field.Kind() == reflect.Struct {
			fill(field)
		} else {
			field.SetUint(uint64(index) + 1)
		}
	}
}

func TestEvenlyDividedServiceIsSmall(t *testing.T) {
	const count, bytesEach = 3750, 8
	var shards Shards
	for index := range uint64(count) {
		shards = append(shards, topology.Shard{
			ID:    topology.ShardID{Service: 20, Shard: topology.ShardNumber(index + 1)},
			Start: topology.KeyHash(index * (math.MaxUint64 / count)), Phase: topology.ShardOwned,
			Owner: topology.BackendID(index%1100 + 1), Epoch: 3,
		})
	}
	packed, err := shards.GobEncode()
	assert.NilError(t, err)
	assert.Assert(t, len(packed) <= count*bytesEach, "%d bytes", len(packed))
	assert.DeepEqual(t, unpackedShards(t, shards), shards)
}

func TestDamagedShardsAreRefused(t *testing.T) {
	whole, err := Shards{{ID: topology.ShardID{Service: 1, Shard: 300}, Start: 1 << 60, Phase: topology.ShardWarming, Owner: 300, Target: 400, Epoch: 500}}.GobEncode()
	assert.NilError(t, err)
	for size := 1; size < len(whole); size++ {
		var shards Shards
		assert.ErrorIs(t, shards.GobDecode(whole[:size]), errDamaged, "%d bytes", size)
	}
	var shards Shards
	assert.ErrorIs(t, shards.GobDecode([]byte{1, 2, 0, 2, 1, 1}), errDamaged, "a negative service")
	assert.ErrorIs(t, shards.GobDecode([]byte{2, 2, 0, 16, 1, 1}), errDamaged, "an unknown kind")
}

func FuzzShards(f *testing.F) {
	f.Add([]byte{2, 2, 0, 2, 1, 1})
	f.Fuzz(func(t *testing.T, packed []byte) {
		var shards Shards
		if shards.GobDecode(packed) == nil {
			assert.DeepEqual(t, unpackedShards(t, shards), shards)
		}
	})
}
