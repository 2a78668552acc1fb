package loadtable

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// ServiceView gives access to the shards of one service. The service's request
// rate is computed once for all of them. A view is valid until the next report.
type ServiceView struct {
	table   *Table
	service *service
	// rate is the number of requests per second offered to the service.
	rate float64
}

// ShardLoad is the observed load of one shard.
type ShardLoad struct {
	// Slots is the load that callers offer, in slots.
	Slots float64
	// HotKeys are the hottest keys with their load in slots.
	HotKeys []placement.HotKey
	// LongRunning counts the requests that have been running for longer than the
	// owner's last interval between reports.
	LongRunning uint32
	// ChangedAt is when the shard's share of the requests last left its
	// confidence band, or zero.
	ChangedAt time.Duration
}

// Service returns the view of a service's shards.
func (t *Table) Service(id topology.ServiceID) ServiceView {
	known := t.service(id)
	return ServiceView{table: t, service: known, rate: known.rate()}
}

// Shard returns the observed load of a shard of the service, or the zero value
// if no report named it.
func (v ServiceView) Shard(id topology.ShardID) ShardLoad {
	observed, known := v.table.shards[id]
	if !known {
		return ShardLoad{}
	}
	slots := v.load(observed)
	return ShardLoad{
		Slots:       slots,
		HotKeys:     observed.hotKeyLoads(slots),
		LongRunning: observed.longRunning,
		ChangedAt:   observed.changedAt,
	}
}

// load returns the load that callers offer to a shard, in slots.
func (v ServiceView) load(observed *shard) float64 {
	return observed.share.value() * v.rate * observed.cost.perRequest(&v.service.cost)
}

// hotKeyLoads returns the hottest keys of a shard, each with its part of the
// shard's load.
func (s *shard) hotKeyLoads(load float64) []placement.HotKey {
	if len(s.hotKeys) == 0 {
		return nil
	}
	result := make([]placement.HotKey, 0, len(s.hotKeys))
	for _, hot := range s.hotKeys {
		result = append(result, placement.HotKey{Key: hot.Key, Load: load * float64(hot.Share)})
	}
	return result
}
