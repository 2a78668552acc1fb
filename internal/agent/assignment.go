package agent

import (
	"math"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// share is what a routing table says of one back end. It is found in a single
// pass over the shards of its service, of which there may be 75,000, at each
// change of the table. It is immutable.
type share struct {
	table *routing.Table
	self  topology.BackendID
	// backend and service are nil where the table does not know them.
	backend *topology.Backend
	service *routing.Service
	owned   map[topology.ShardID]topology.Shard
	// covers has the ranges of owned shards.
	covers map[topology.ShardID]requestrecord.Range
	// warming has the epochs of the shards that are to be warmed here.
	warming map[topology.ShardID]topology.Epoch
}

func newShare(table *routing.Table, self topology.BackendID) *share {
	found := &share{
		table:   table,
		self:    self,
		owned:   make(map[topology.ShardID]topology.Shard),
		covers:  make(map[topology.ShardID]requestrecord.Range),
		warming: make(map[topology.ShardID]topology.Epoch),
	}
	backend, known := table.Backend(self)
	if !known {
		return found
	}
	found.backend = backend
	if found.service, known = table.Service(backend.Service); known {
		found.takeShards()
	}
	return found
}

func (found *share) takeShards() {
	var previous *topology.Shard
	for shard := range found.service.Shards() {
		if previous != nil {
			found.cover(previous, shard.Start-1)
		}
		previous = nil
		if shard.Owner == found.self {
			found.owned[shard.ID] = *shard
			previous = shard
		}
		if shard.Target == found.self && shard.Phase == topology.ShardWarming {
			found.warming[shard.ID] = shard.Epoch
		}
	}
	if previous != nil {
		found.cover(previous, math.MaxUint64)
	}
}

func (found *share) cover(shard *topology.Shard, last topology.KeyHash) {
	found.covers[shard.ID] = requestrecord.Range{Start: shard.Start, Last: last}
}
