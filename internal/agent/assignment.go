package agent

import (
	"math"

	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// assignment is the part of a routing table that concerns one back end. It is
// computed at each change of the table in one pass over the shards of its
// service, of which there may be 75,000. It is immutable.
type assignment struct {
	table *routing.Table
	self  topology.BackendID
	// backend and service are nil if they are not in the table.
	backend *topology.Backend
	service *routing.Service
	owned   map[topology.ShardID]topology.Shard
	// keyRange maps each owned shard to its range of key hashes.
	keyRange map[topology.ShardID]requestrecord.Range
	// warming maps each shard that is to be warmed here to its epoch.
	warming map[topology.ShardID]topology.Epoch
}

func newAssignment(table *routing.Table, self topology.BackendID) *assignment {
	assigned := &assignment{
		table:    table,
		self:     self,
		owned:    make(map[topology.ShardID]topology.Shard),
		keyRange: make(map[topology.ShardID]requestrecord.Range),
		warming:  make(map[topology.ShardID]topology.Epoch),
	}
	backend, known := table.Backend(self)
	if !known {
		return assigned
	}
	assigned.backend = backend
	if assigned.service, known = table.Service(backend.Service); known {
		assigned.collectShards()
	}
	return assigned
}

func (assigned *assignment) collectShards() {
	var previous *topology.Shard
	for shard := range assigned.service.Shards() {
		if previous != nil {
			assigned.setKeyRange(previous, shard.Start-1)
		}
		previous = nil
		if shard.Owner == assigned.self {
			assigned.owned[shard.ID] = *shard
			previous = shard
		}
		if shard.Target == assigned.self && shard.Phase == topology.ShardWarming {
			assigned.warming[shard.ID] = shard.Epoch
		}
	}
	if previous != nil {
		assigned.setKeyRange(previous, math.MaxUint64)
	}
}

func (assigned *assignment) setKeyRange(shard *topology.Shard, last topology.KeyHash) {
	assigned.keyRange[shard.ID] = requestrecord.Range{Start: shard.Start, Last: last}
}
