package wire

import (
	"math"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
)

func TestLoadReportArrivesAsItWasSent(t *testing.T) {
	for _, loads := range []ShardLoads{
		nil,
		{{Shard: 3, Requests: 17, BusyMicros: 17_000}},
		{{Shard: 70_000}, {Shard: 2, Refused: 5}, {Shard: math.MaxUint32, Requests: math.MaxUint32, BusyMicros: math.MaxUint32, Refused: math.MaxUint32}},
		{{Shard: 9, Requests: 1, HotKeys: []KeyLoad{{Key: math.MaxUint64, Share: 0.5}, {Key: 1, Share: 0.25}}}, {Shard: 10}},
	} {
		packed, err := loads.GobEncode()
		assert.NilError(t, err)
		var arrived ShardLoads
		assert.NilError(t, arrived.GobDecode(packed))
		assert.DeepEqual(t, arrived, loads)
	}
	_, err := ShardLoads{{HotKeys: make([]KeyLoad, MaximumHotKeys+1)}}.GobEncode()
	assert.ErrorContains(t, err, "hot keys")
}

// TestEveryFieldOfAShardLoadIsPacked fails where a field is added to ShardLoad
// and not to the packed form, which would drop it silently.
func TestEveryFieldOfAShardLoadIsPacked(t *testing.T) {
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
	packed, err := ShardLoads{load}.GobEncode()
	assert.NilError(t, err)
	var arrived ShardLoads
	assert.NilError(t, arrived.GobDecode(packed))
	assert.DeepEqual(t, arrived, ShardLoads{load})
}

// TestTargetReportIsSmall: at the target an agent has 68 of its service's 3,750
// shards.
func TestTargetReportIsSmall(t *testing.T) {
	const shards, bytesEach = 68, 7
	var loads ShardLoads
	for index := range shards {
		loads = append(loads, ShardLoad{Shard: topology.ShardNumber(index*55 + 1), Requests: 66, BusyMicros: 66_000})
	}
	packed, err := loads.GobEncode()
	assert.NilError(t, err)
	assert.Assert(t, len(packed) <= shards*bytesEach, "%d bytes", len(packed))
}

func TestDamagedLoadReportIsRefused(t *testing.T) {
	whole, err := ShardLoads{{Shard: 7, Requests: 300, BusyMicros: 70_000, Refused: 3, LongRunning: 2, HotKeys: []KeyLoad{{Key: 5, Share: 1}}}}.GobEncode()
	assert.NilError(t, err)
	for size := 1; size < len(whole); size++ {
		var loads ShardLoads
		assert.ErrorIs(t, loads.GobDecode(whole[:size]), errDamaged, "%d bytes", size)
	}
	var loads ShardLoads
	assert.ErrorIs(t, loads.GobDecode([]byte{1, 0, 0}), errDamaged, "a negative number")
}

func FuzzLoadReport(f *testing.F) {
	f.Add([]byte{2, 4, 8})
	f.Fuzz(func(t *testing.T, packed []byte) {
		var loads ShardLoads
		if loads.GobDecode(packed) != nil {
			return
		}
		again, err := loads.GobEncode()
		assert.NilError(t, err)
		var second ShardLoads
		assert.NilError(t, second.GobDecode(again))
		assert.Equal(t, len(second), len(loads))
	})
}
