package routing

import (
	"iter"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Service holds a service, its shards and its back ends at one revision. It is
// immutable.
type Service struct {
	topology.Service
	shards   *shardMap
	backends []*topology.Backend
}

// Backends returns the service's back ends ordered by ID. The caller must not
// change them.
func (s *Service) Backends() []*topology.Backend { return s.backends }

// ShardCount returns the number of shards of the service.
func (s *Service) ShardCount() int { return len(s.shards.starts) }

// Shards yields the service's shards ordered by Start. The caller must not
// change them.
func (s *Service) Shards() iter.Seq[*topology.Shard] {
	return func(yield func(*topology.Shard) bool) {
		for rank := range s.shards.starts {
			if !yield(s.shards.shardAt(rank)) {
				return
			}
		}
	}
}

// ShardsChangedSince yields the shards that may differ from those of an
// earlier state of the service; shards that both share in memory, or that are
// equal, are skipped. If earlier is nil, it yields all shards. Shards that were
// removed by a merge are not yielded.
func (s *Service) ShardsChangedSince(earlier *Service) iter.Seq[*topology.Shard] {
	return func(yield func(*topology.Shard) bool) {
		for rank := range s.shards.starts {
			shard := s.shards.shardAt(rank)
			if earlier.containsEqual(shard) {
				continue
			}
			if !yield(shard) {
				return
			}
		}
	}
}

// containsEqual reports whether the service holds an equal shard under the same
// number. The receiver may be nil.
func (s *Service) containsEqual(shard *topology.Shard) bool {
	if s == nil {
		return false
	}
	rank, present := s.shards.ranks[shard.ID.Shard]
	if !present {
		return false
	}
	held := s.shards.shardAt(int(rank))
	return held == shard || *held == *shard
}
