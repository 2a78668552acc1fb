package routing

import (
	"cmp"
	"errors"
	"math/bits"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	// pageShift sets the number of shards per page. Larger pages cost more to
	// copy when one shard changes, smaller ones make the list of pages longer,
	// which is copied as well.
	pageShift = 6
	pageSize  = 1 << pageShift
	pageMask  = pageSize - 1

	// positionBits is the width of a topology.KeyHash.
	positionBits = 64
)

// page holds the shards of pageSize adjacent ranges.
type page [pageSize]topology.Shard

// shardMap holds the shards of one service, ordered by the start of their
// range. It is immutable. A shard's rank is its index in this order.
type shardMap struct {
	// starts holds the first position of each shard's range, by rank.
	starts []topology.KeyHash
	// index holds, for each value of a position's leading bits, the rank of the
	// first shard that can hold such a position; shift drops the other bits.
	index []uint32
	shift uint
	// pages hold the shards themselves, by rank.
	pages []*page
	// ranks holds each shard's rank by its number.
	ranks map[topology.ShardNumber]uint32
}

// newShardMap sorts and validates the shards of a service. All errors found are
// joined.
func newShardMap(service topology.ServiceID, shards []topology.Shard) (*shardMap, error) {
	return shardMapFromOrdered(service, sortedByStart(shards))
}

func sortedByStart(shards []topology.Shard) []topology.Shard {
	ordered := slices.Clone(shards)
	slices.SortFunc(ordered, func(a, b topology.Shard) int { return cmp.Compare(a.Start, b.Start) })
	return ordered
}

// shardMapFromOrdered validates shards that are ordered by start, and builds
// their map.
func shardMapFromOrdered(service topology.ServiceID, ordered []topology.Shard) (*shardMap, error) {
	ranks := make(map[topology.ShardNumber]uint32, len(ordered))
	for rank, shard := range ordered {
		ranks[shard.ID.Shard] = uint32(rank)
	}
	if err := checkOrdered(service, ordered, ranks); err != nil {
		return nil, err
	}
	m := &shardMap{
		starts: make([]topology.KeyHash, len(ordered)),
		pages:  make([]*page, (len(ordered)+pageMask)>>pageShift),
		ranks:  ranks,
	}
	for i := range m.pages {
		m.pages[i] = new(page)
	}
	for rank, shard := range ordered {
		m.starts[rank] = shard.Start
		m.pages[rank>>pageShift][rank&pageMask] = shard
	}
	m.buildIndex()
	return m, nil
}

// checkOrdered validates ordered shards. For a shard that is listed twice, ranks
// holds the rank of its last entry.
func checkOrdered(service topology.ServiceID, ordered []topology.Shard, ranks map[topology.ShardNumber]uint32) error {
	var errs []error
	distinct := len(ranks) == len(ordered)
	for rank, shard := range ordered {
		if shard.ID.Service != service {
			errs = append(errs, &InvalidShardError{shard.ID, "listed under another service"})
		}
		if !distinct && ranks[shard.ID.Shard] != uint32(rank) {
			errs = append(errs, &InvalidShardError{shard.ID, "listed twice"})
		}
		if rank == 0 && shard.Start != 0 {
			errs = append(errs, &InvalidShardError{shard.ID, "no shard covers the start of the hash space"})
		}
		if rank > 0 && shard.Start == ordered[rank-1].Start {
			errs = append(errs, &InvalidShardError{shard.ID, "start equals that of another shard"})
		}
	}
	return errors.Join(errs...)
}

// buildIndex fills index with one entry per value of the leading bits and a
// final entry as upper bound. There are more values than shards, so that a
// lookup searches few starts.
func (m *shardMap) buildIndex() {
	leadingBits := uint(bits.Len(uint(len(m.starts))))
	m.shift = positionBits - leadingBits
	buckets := 1 << leadingBits
	m.index = make([]uint32, buckets+1)
	rank := 0
	for bucket := range buckets {
		first := topology.KeyHash(bucket) << m.shift
		for rank+1 < len(m.starts) && m.starts[rank+1] <= first {
			rank++
		}
		m.index[bucket] = uint32(rank)
	}
	m.index[buckets] = uint32(max(len(m.starts)-1, 0))
}

// find returns the rank of the shard whose range holds a position.
func (m *shardMap) find(position topology.KeyHash) (int, bool) {
	if len(m.starts) == 0 {
		return 0, false
	}
	bucket := position >> m.shift
	low, high := int(m.index[bucket]), int(m.index[bucket+1])
	for low < high {
		middle := int(uint(low+high+1) >> 1)
		if m.starts[middle] <= position {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low, true
}

// shardAt returns the shard of a rank.
func (m *shardMap) shardAt(rank int) *topology.Shard {
	return &m.pages[rank>>pageShift][rank&pageMask]
}

// rangesUnchanged reports whether every changed shard is present with the same
// start and none is removed, so that starts, index and ranks can be shared.
func (m *shardMap) rangesUnchanged(changed []topology.Shard, removed []topology.ShardNumber) bool {
	if len(removed) > 0 {
		return false
	}
	for _, shard := range changed {
		rank, present := m.ranks[shard.ID.Shard]
		if !present || m.starts[rank] != shard.Start {
			return false
		}
	}
	return true
}

// withChanges returns the map after a change. All errors found are joined.
func (m *shardMap) withChanges(service topology.ServiceID, changed []topology.Shard, removed []topology.ShardNumber) (*shardMap, error) {
	if err := m.checkEpochs(changed); err != nil {
		return nil, err
	}
	if m.rangesUnchanged(changed, removed) {
		return m.withUpdatedShards(changed), nil
	}
	return m.rebuildWith(service, changed, removed)
}

// checkEpochs returns an error for each changed shard whose epoch is lower than
// before.
func (m *shardMap) checkEpochs(changed []topology.Shard) error {
	var errs []error
	for _, shard := range changed {
		rank, present := m.ranks[shard.ID.Shard]
		if !present {
			continue
		}
		if have := m.shardAt(int(rank)).Epoch; shard.Epoch < have {
			errs = append(errs, &EpochDecreasedError{shard.ID, have, shard.Epoch})
		}
	}
	return errors.Join(errs...)
}

// withUpdatedShards returns a map in which shards of unchanged ranges are
// replaced. It copies their pages and shares the rest.
func (m *shardMap) withUpdatedShards(changed []topology.Shard) *shardMap {
	next := *m
	next.pages = slices.Clone(m.pages)
	for _, shard := range changed {
		rank := m.ranks[shard.ID.Shard]
		pageNumber := rank >> pageShift
		if next.pages[pageNumber] == m.pages[pageNumber] {
			copied := *m.pages[pageNumber]
			next.pages[pageNumber] = &copied
		}
		next.pages[pageNumber][rank&pageMask] = shard
	}
	return &next
}

// rebuildWith builds a new map, after a split or a merge.
func (m *shardMap) rebuildWith(service topology.ServiceID, changed []topology.Shard, removed []topology.ShardNumber) (*shardMap, error) {
	replaced := make(map[topology.ShardNumber]bool, len(changed)+len(removed))
	for _, shard := range changed {
		replaced[shard.ID.Shard] = true
	}
	for _, number := range removed {
		replaced[number] = true
	}
	added := sortedByStart(changed)
	merged := make([]topology.Shard, 0, len(m.starts)+len(added))
	for rank := range m.starts {
		kept := m.shardAt(rank)
		if replaced[kept.ID.Shard] {
			continue
		}
		for len(added) > 0 && added[0].Start < kept.Start {
			merged = append(merged, added[0])
			added = added[1:]
		}
		merged = append(merged, *kept)
	}
	return shardMapFromOrdered(service, append(merged, added...))
}
