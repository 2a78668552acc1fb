package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
)

func TestRequestsThatOutliveAReportAreReportedAsLong(t *testing.T) {
	shard := newServed(topology.ShardID{}, 1, requestrecord.Range{})
	export, open := shard.enter()
	assert.Assert(t, open)
	assert.Equal(t, shard.takeLoad().LongRunning, uint32(0), "it began since the last report")
	lookup, _ := shard.enter()
	assert.Equal(t, shard.takeLoad().LongRunning, uint32(1), "only the export")
	assert.Equal(t, shard.takeLoad().LongRunning, uint32(2), "the look-up takes long by now")
	export.leave()
	assert.Equal(t, shard.takeLoad().LongRunning, uint32(1))
	lookup.leave()
	assert.Equal(t, shard.takeLoad().LongRunning, uint32(0))
}

func TestHotKeyIsReportedByItsPosition(t *testing.T) {
	shard := newServed(topology.ShardID{}, 1, requestrecord.Range{})
	found := 0
	for range 100 {
		shard.saw(topology.KeyHash(0xabc))
		for _, hot := range shard.takeLoad().HotKeys {
			assert.Equal(t, hot.Key, topology.KeyHash(0xabc))
			found++
		}
	}
	assert.Assert(t, found > 0, "the hot key was never named")
}
