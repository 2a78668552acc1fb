package routing

import (
	"cmp"
	"errors"
	"math/bits"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	// pageShift sets how many shards share a page: a change of one shard
	// copies one page, and the list of pages has one pointer per page.
	pageShift = 6
	pageSize  = 1 << pageShift
	pageMask  = pageSize - 1

	// positionBits is the width of a topology.KeyHash.
	positionBits = 64
)

// page holds the shards of pageSize neighbouring ranges.
type page [pageSize]topology.Shard

// division is the shards of one service, ordered by the start of their range.
// It is immutable.
type division struct {
	starts []topology.KeyHash
	index  []uint32
	shift  uint
	pages  []*page
	// places finds a shard's place in starts by its number.
	places map[topology.ShardNumber]uint32
}

// newDivision orders and checks the shards of a service. All findings are
// joined in the error.
func newDivision(service topology.ServiceID, shards []topology.Shard) (*division, error) {
	return divisionOf(service, sortedByStart(shards))
}

func sortedByStart(shards []topology.Shard) []topology.Shard {
	ordered := slices.Clone(shards)
	slices.SortFunc(ordered, func(a, b topology.Shard) int { return cmp.Compare(a.Start, b.Start) })
	return ordered
}

// divisionOf checks ordered shards and makes their division.
func divisionOf(service topology.ServiceID, ordered []topology.Shard) (*division, error) {
	places := make(map[topology.ShardNumber]uint32, len(ordered))
	for place, shard := range ordered {
		places[shard.ID.Shard] = uint32(place)
	}
	if err := checkOrdered(service, ordered, places); err != nil {
		return nil, err
	}
	d := &division{
		starts: make([]topology.KeyHash, len(ordered)),
		pages:  make([]*page, (len(ordered)+pageMask)>>pageShift),
		places: places,
	}
	for i := range d.pages {
		d.pages[i] = new(page)
	}
	for place, shard := range ordered {
		d.starts[place] = shard.Start
		d.pages[place>>pageShift][place&pageMask] = shard
	}
	d.buildIndex()
	return d, nil
}

// checkOrdered finds what is wrong with shards. Of shards listed twice, places
// names the last.
func checkOrdered(service topology.ServiceID, ordered []topology.Shard, places map[topology.ShardNumber]uint32) error {
	var findings []error
	distinct := len(places) == len(ordered)
	for place, shard := range ordered {
		if shard.ID.Service != service {
			findings = append(findings, &InvalidShardError{shard.ID, "listed under another service"})
		}
		if !distinct && places[shard.ID.Shard] != uint32(place) {
			findings = append(findings, &InvalidShardError{shard.ID, "listed twice"})
		}
		if place == 0 && shard.Start != 0 {
			findings = append(findings, &InvalidShardError{shard.ID, "no shard covers the lowest positions"})
		}
		if place > 0 && shard.Start == ordered[place-1].Start {
			findings = append(findings, &InvalidShardError{shard.ID, "starts where another shard starts"})
		}
	}
	return errors.Join(findings...)
}

// buildIndex makes one entry per value of the leading bits, at least as many
// values as shards, and one entry more as the end.
func (d *division) buildIndex() {
	leading := uint(bits.Len(uint(len(d.starts))))
	d.shift = positionBits - leading
	buckets := 1 << leading
	d.index = make([]uint32, buckets+1)
	place := 0
	for bucket := range buckets {
		first := topology.KeyHash(bucket) << d.shift
		for place+1 < len(d.starts) && d.starts[place+1] <= first {
			place++
		}
		d.index[bucket] = uint32(place)
	}
	d.index[buckets] = uint32(max(len(d.starts)-1, 0))
}

// find returns the place of the shard whose range holds a position.
func (d *division) find(position topology.KeyHash) (int, bool) {
	if len(d.starts) == 0 {
		return 0, false
	}
	bucket := position >> d.shift
	low, high := int(d.index[bucket]), int(d.index[bucket+1])
	for low < high {
		middle := int(uint(low+high+1) >> 1)
		if d.starts[middle] <= position {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low, true
}

func (d *division) shardAt(place int) *topology.Shard {
	return &d.pages[place>>pageShift][place&pageMask]
}

// keepsRanges says whether every changed shard is present with the same start
// and none is removed, so that starts, index and places can be shared.
func (d *division) keepsRanges(changed []topology.Shard, removed []topology.ShardNumber) bool {
	if len(removed) > 0 {
		return false
	}
	for _, shard := range changed {
		place, present := d.places[shard.ID.Shard]
		if !present || d.starts[place] != shard.Start {
			return false
		}
	}
	return true
}

// with returns the division after a change.
func (d *division) with(service topology.ServiceID, changed []topology.Shard, removed []topology.ShardNumber) (*division, error) {
	if err := d.checkEpochs(changed); err != nil {
		return nil, err
	}
	if d.keepsRanges(changed, removed) {
		return d.withOwners(changed), nil
	}
	return d.withRanges(service, changed, removed)
}

func (d *division) checkEpochs(changed []topology.Shard) error {
	var findings []error
	for _, shard := range changed {
		place, present := d.places[shard.ID.Shard]
		if !present {
			continue
		}
		if have := d.shardAt(int(place)).Epoch; shard.Epoch < have {
			findings = append(findings, &EpochDecreasedError{shard.ID, have, shard.Epoch})
		}
	}
	return errors.Join(findings...)
}

// withOwners copies the pages of the changed shards and shares the rest.
func (d *division) withOwners(changed []topology.Shard) *division {
	next := *d
	next.pages = slices.Clone(d.pages)
	for _, shard := range changed {
		place := d.places[shard.ID.Shard]
		number := place >> pageShift
		if next.pages[number] == d.pages[number] {
			copied := *d.pages[number]
			next.pages[number] = &copied
		}
		next.pages[number][place&pageMask] = shard
	}
	return &next
}

// withRanges builds the division anew, after a split or a merge.
func (d *division) withRanges(service topology.ServiceID, changed []topology.Shard, removed []topology.ShardNumber) (*division, error) {
	replaced := make(map[topology.ShardNumber]bool, len(changed)+len(removed))
	for _, shard := range changed {
		replaced[shard.ID.Shard] = true
	}
	for _, number := range removed {
		replaced[number] = true
	}
	added := sortedByStart(changed)
	merged := make([]topology.Shard, 0, len(d.starts)+len(added))
	for place := range d.starts {
		kept := d.shardAt(place)
		if replaced[kept.ID.Shard] {
			continue
		}
		for len(added) > 0 && added[0].Start < kept.Start {
			merged = append(merged, added[0])
			added = added[1:]
		}
		merged = append(merged, *kept)
	}
	return divisionOf(service, append(merged, added...))
}
