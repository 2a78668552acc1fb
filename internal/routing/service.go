package routing

import (
	"iter"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Service is a service, its shards and its back ends at one revision. It is
// immutable.
type Service struct {
	topology.Service
	shards   *division
	backends []*topology.Backend
}

// Backends returns the service's back ends ordered by ID. The caller must not
// change them.
func (s *Service) Backends() []*topology.Backend { return s.backends }

// ShardCount is how many shards divide the service.
func (s *Service) ShardCount() int { return len(s.shards.starts) }

// Shards yields the service's shards ordered by Start. The caller must not
// change them.
func (s *Service) Shards() iter.Seq[*topology.Shard] {
	return func(yield func(*topology.Shard) bool) {
		for place := range s.shards.starts {
			if !yield(s.shards.shardAt(place)) {
				return
			}
		}
	}
}

// ShardsChangedSince yields the shards that may differ from those of an
// earlier state of the service, and skips what both share in memory. Nil as
// the earlier state yields all. Shards that were merged away are not yielded.
func (s *Service) ShardsChangedSince(earlier *Service) iter.Seq[*topology.Shard] {
	return func(yield func(*topology.Shard) bool) {
		for place := range s.shards.starts {
			shard := s.shards.shardAt(place)
			if earlier.has(shard) {
				continue
			}
			if !yield(shard) {
				return
			}
		}
	}
}

// has says whether the service holds an equal shard.
func (s *Service) has(shard *topology.Shard) bool {
	if s == nil {
		return false
	}
	place, present := s.shards.places[shard.ID.Shard]
	if !present {
		return false
	}
	own := s.shards.shardAt(int(place))
	return own == shard || *own == *shard
}
