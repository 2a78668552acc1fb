package distribution

import (
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// merge returns one delta with the effect of several that lie end to end: of
// each object its last state, and of removed objects only the removal.
func merge(deltas []wire.RoutingDelta) wire.RoutingDelta {
	last := deltas[len(deltas)-1]
	if len(deltas) == 1 {
		return last
	}
	merged := wire.RoutingDelta{Group: last.Group, From: deltas[0].From, To: last.To}
	removed := collectRemoved(deltas)
	services := newLatest(func(s topology.Service) topology.ServiceID { return s.ID })
	backends := newLatest(func(b topology.Backend) topology.BackendID { return b.ID })
	shards := newLatest(func(s topology.Shard) topology.ShardID { return s.ID })
	for index := range deltas {
		services.add(deltas[index].Services)
		backends.add(deltas[index].Backends)
		shards.add(deltas[index].Shards)
	}
	merged.Services = services.without(func(s topology.Service) bool { return removed.services[s.ID] })
	merged.Backends = backends.without(func(b topology.Backend) bool {
		return removed.backends[b.ID] || removed.services[b.Service]
	})
	merged.Shards = shards.without(func(s topology.Shard) bool {
		return removed.shards[s.ID] || removed.services[s.ID.Service]
	})
	merged.RemovedServices = removed.serviceOrder
	merged.RemovedBackends = removed.backendOrder
	merged.RemovedShards = removed.shardOrder
	return merged
}

// removals are the objects that any of several deltas removes.
type removals struct {
	services     map[topology.ServiceID]bool
	backends     map[topology.BackendID]bool
	shards       map[topology.ShardID]bool
	serviceOrder []topology.ServiceID
	backendOrder []topology.BackendID
	shardOrder   []topology.ShardID
}

func collectRemoved(deltas []wire.RoutingDelta) removals {
	var found removals
	for index := range deltas {
		found.serviceOrder = append(found.serviceOrder, deltas[index].RemovedServices...)
		found.backendOrder = append(found.backendOrder, deltas[index].RemovedBackends...)
		found.shardOrder = append(found.shardOrder, deltas[index].RemovedShards...)
	}
	found.services = setOf(found.serviceOrder)
	found.backends = setOf(found.backendOrder)
	found.shardOrder = slices.DeleteFunc(found.shardOrder, func(id topology.ShardID) bool {
		return found.services[id.Service]
	})
	found.shards = setOf(found.shardOrder)
	return found
}

func setOf[K comparable](keys []K) map[K]bool {
	set := make(map[K]bool, len(keys))
	for _, key := range keys {
		set[key] = true
	}
	return set
}

// latest keeps the last state of each object, in the order of first mention.
type latest[K comparable, T any] struct {
	keyOf func(T) K
	index map[K]int
	all   []T
}

func newLatest[K comparable, T any](keyOf func(T) K) *latest[K, T] {
	return &latest[K, T]{keyOf: keyOf, index: make(map[K]int)}
}

func (l *latest[K, T]) add(changed []T) {
	for _, object := range changed {
		key := l.keyOf(object)
		if at, seen := l.index[key]; seen {
			l.all[at] = object
			continue
		}
		l.index[key] = len(l.all)
		l.all = append(l.all, object)
	}
}

func (l *latest[K, T]) without(gone func(T) bool) []T {
	return slices.DeleteFunc(l.all, gone)
}
