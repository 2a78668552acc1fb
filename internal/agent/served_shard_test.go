package agent

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
)

func TestRequestsRunningAcrossReportsAreLongRunning(t *testing.T) {
	shard := newServedShard(topology.ShardID{}, 1, requestrecord.Range{})
	export, open := shard.beginRequest()
	assert.Assert(t, open)
	assert.Equal(t, shard.takeLoad().LongRunning, uint32(0), "the request began after the last report")
	lookup, _ := shard.beginRequest()
	assert.Equal(t, shard.takeLoad().LongRunning, uint32(1), "only the export is long-running")
	assert.Equal(t, shard.takeLoad().LongRunning, uint32(2), "the look-up is long-running, too")
	export.end()
	assert.Equal(t, shard.takeLoad().LongRunning, uint32(1))
	lookup.end()
	assert.Equal(t, shard.takeLoad().LongRunning, uint32(0))
}

func TestHotKeyIsReportedByItsHash(t *testing.T) {
	shard := newServedShard(topology.ShardID{}, 1, requestrecord.Range{})
	found := 0
	for range 100 {
		shard.countKey(topology.KeyHash(0xabc))
		for _, hot := range shard.takeLoad().HotKeys {
			assert.Equal(t, hot.Key, topology.KeyHash(0xabc))
			found++
		}
	}
	assert.Assert(t, found > 0, "the hot key was never reported")
}
