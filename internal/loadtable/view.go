package loadtable

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// ServiceView answers for many shards of one service: what they share is worked
// out once. It is valid until the next report.
type ServiceView struct {
	table   *Table
	service *service
	// rate of requests that are offered to the service, per second.
	rate float64
}

// ShardLoad is what was observed of one shard.
type ShardLoad struct {
	// Slots that callers offer to use.
	Slots float64
	// HotKeys are the hottest keys with their load in slots.
	HotKeys []placement.HotKey
	// LongRunning requests have been running for longer than the owner's last
	// interval between reports.
	LongRunning uint32
	// ChangedAt is when the load last left what was expected of it, or zero.
	ChangedAt time.Duration
}

// Service returns the view of a service's shards.
func (t *Table) Service(id topology.ServiceID) ServiceView {
	of := t.service(id)
	return ServiceView{table: t, service: of, rate: of.rate()}
}

// Shard returns what was observed of a shard of the service; zero if nothing.
func (v ServiceView) Shard(id topology.ShardID) ShardLoad {
	observed, known := v.table.shards[id]
	if !known {
		return ShardLoad{}
	}
	slots := v.load(observed)
	return ShardLoad{
		Slots:       slots,
		HotKeys:     observed.hot(slots),
		LongRunning: observed.longRunning,
		ChangedAt:   observed.changedAt,
	}
}

func (v ServiceView) load(observed *shard) float64 {
	return observed.share.value() * v.rate * observed.cost.perRequest(&v.service.cost)
}

// hot returns the hottest keys of a shard with a load.
func (s *shard) hot(load float64) []placement.HotKey {
	if len(s.hotKeys) == 0 {
		return nil
	}
	result := make([]placement.HotKey, 0, len(s.hotKeys))
	for _, hot := range s.hotKeys {
		result = append(result, placement.HotKey{Key: hot.Key, Load: load * float64(hot.Share)})
	}
	return result
}
