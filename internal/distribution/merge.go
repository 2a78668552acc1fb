package distribution

import (
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// merge returns one delta with the effect of several contiguous ones: the last
// state of each object, and for removed objects only the removal.
func merge(deltas []wire.RoutingDelta) wire.RoutingDelta {
	last := deltas[len(deltas)-1]
	if len(deltas) == 1 {
		return last
	}
	merged := wire.RoutingDelta{Group: last.Group, From: deltas[0].From, To: last.To}
	removed := collectRemoved(deltas)
	services := newLatestStates(func(s topology.Service) topology.ServiceID { return s.ID })
	backends := newLatestStates(func(b topology.Backend) topology.BackendID { return b.ID })
	shards := newLatestStates(func(s topology.Shard) topology.ShardID { return s.ID })
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

// removals holds the objects that any of several deltas removes, as sets and in
// the order of the deltas.
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

// latestStates keeps the last state of each object, in the order of its first
// appearance.
type latestStates[K comparable, T any] struct {
	keyOf  func(T) K
	index  map[K]int
	states []T
}

func newLatestStates[K comparable, T any](keyOf func(T) K) *latestStates[K, T] {
	return &latestStates[K, T]{keyOf: keyOf, index: make(map[K]int)}
}

func (l *latestStates[K, T]) add(changed []T) {
	for _, object := range changed {
		key := l.keyOf(object)
		if at, seen := l.index[key]; seen {
			l.states[at] = object
			continue
		}
		l.index[key] = len(l.states)
		l.states = append(l.states, object)
	}
}

func (l *latestStates[K, T]) without(gone func(T) bool) []T {
	return slices.DeleteFunc(l.states, gone)
}
