package keylease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// KeysPerBucket is how many neighbouring keys share one measurement of load: few, since a
// single key may ask for more than a back end has.
const KeysPerBucket = 4

// BucketOf returns the bucket of a key.
func BucketOf(key keyspace.Key) uint32 { return uint32(key) / KeysPerBucket }

const (
	// loadHalfLife weighs older reports.
	loadHalfLife = 800 * time.Millisecond
	// imbalance is the least difference of utilization, as a part of all slots,
	// that is worth a move, and busy the least utilization of who gives.
	imbalance = 0.25
	busy      = 0.5
	// keyWeight is what a key counts beside its measured load, in slots, so that
	// keys without load are spread evenly too.
	keyWeight = 1.0 / 65536
)

// weightAfter is what older measurements count after a time, beside newer ones.
func weightAfter(elapsed, halfLife time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+elapsed)
}

// beginsIn says that the first key of a bucket is in a range.
func beginsIn(bucket uint32, keys keyspace.Range) bool {
	first := keyspace.Key(bucket * KeysPerBucket)
	return keys.First <= first && first <= keys.Last
}

// loadTable is the load of a back end by bucket, in busy slots.
type loadTable struct {
	busy  map[uint32]float64
	since time.Duration
}

// add takes a report: the slot time of each bucket since the last one.
func (t *loadTable) add(report []fleetwire.KeyLoad, now time.Duration) {
	elapsed := now - t.since
	t.since = now
	if elapsed <= 0 || elapsed > time.Minute {
		return
	}
	if t.busy == nil {
		t.busy = map[uint32]float64{}
	}
	keep := weightAfter(elapsed, loadHalfLife)
	for bucket, slots := range t.busy {
		if slots*keep < 1e-4 {
			delete(t.busy, bucket)
			continue
		}
		t.busy[bucket] = slots * keep
	}
	for _, load := range report {
		slots := float64(load.BusyMicros) / float64(elapsed.Microseconds())
		t.busy[load.Bucket] += slots * (1 - keep)
	}
}

// of returns the load of a range in busy slots.
func (t *loadTable) of(keys keyspace.Range) float64 {
	sum := float64(keys.Size()) * keyWeight
	for bucket, slots := range t.busy {
		if beginsIn(bucket, keys) {
			sum += slots
		}
	}
	return sum
}

// joinWarmUp is how long a back end without keys waits for its first ones where
// nobody lacks room: the users' back ends are slow for some seconds after their
// start, and such a one should serve within 6 s of it.
const joinWarmUp = 3 * time.Second

// joins says that a back end has been there for long enough without keys that it
// is to get some whatever the load: nobody asks it for anything before.
func (u *usage) joins(target *instance, now time.Duration) bool {
	return now >= target.firstSeen+joinWarmUp && len(u.ownedBy(target.ID)) == 0
}

// rebalance begins to move keys from the most to the least loaded back ends
// where they differ by much, or where the least loaded one has none. Each back
// end gives or gets once at a time, but one that has far too much gives to several.
func (p *Planner) rebalance(service string, now time.Duration) {
	if now < p.rebalanceAt || !p.Complete(now) {
		return
	}
	used := p.usageOf(service, now)
	ready := slices.DeleteFunc(p.warm(used.targets, now), func(candidate *instance) bool { return p.moving(candidate.ID) })
	ready = p.promote(used, ready, now)
	ordered := used.byLoad(ready)
	for len(ordered) >= 2 {
		least, most := ordered[0], ordered[len(ordered)-1]
		ordered = ordered[1:]
		if len(used.ownedBy(least.ID)) >= mostOwned {
			continue
		}
		low, high := used.utilization(least), used.utilization(most)
		if (high < busy || high-low < imbalance) && !used.joins(least, now) {
			return
		}
		if !p.level(used, most, least, now) {
			ordered = ordered[:len(ordered)-1]
			continue
		}
		ordered = used.byLoad(ordered)
	}
}

// level begins to move as much from one back end to another as makes their utilizations
// equal, and reports whether there was something to move.
func (p *Planner) level(used *usage, most, least *instance, now time.Duration) bool {
	difference := used.utilization(most) - used.utilization(least)
	ratio := used.pace(least) / used.pace(most)
	wanted := difference / (1/float64(max(most.Slots, 1)) + ratio/float64(max(least.Slots, 1)))
	// What callers ask of a full back end may be many times its slots.
	wanted = min(wanted, mostMoved*float64(most.Slots))
	chosen := p.choose(p.resting(used, most), most, wanted)
	for _, part := range chosen {
		p.begin(used.service, part.from, part.keys, least.ID, now)
	}
	return len(chosen) > 0
}

// resting returns the parts of an owner's assignments that are in no move.
func (p *Planner) resting(used *usage, owner *instance) []keyspace.Assignment {
	var resting []keyspace.Assignment
	for _, owned := range used.ownedBy(owner.ID) {
		for _, keys := range p.notMoving(used.service, owned.Range) {
			part := owned
			part.Range = keys
			resting = append(resting, part)
		}
	}
	return resting
}

// moving says that an instance gives or gets keys.
func (p *Planner) moving(id string) bool {
	return slices.ContainsFunc(p.moves, func(moving *move) bool { return moving.from == id || moving.to == id })
}

func (p *Planner) warm(targets []*instance, now time.Duration) []*instance {
	return slices.DeleteFunc(slices.Clone(targets), func(target *instance) bool {
		return now < target.firstSeen+p.config.WarmUp
	})
}

// part is a range within one assignment, with its load in busy slots.
type part struct {
	from keyspace.Assignment
	keys keyspace.Range
	load float64
}

const (
	// leastOfWanted and mostOfWanted bound the load of a part beside the wanted.
	leastOfWanted = 0.4
	mostOfWanted  = 1.25
	// mostParts bounds the ranges of one decision, and mostMoved its load as a
	// part of the slots of a back end.
	mostParts = 16
	mostMoved = 0.6
)

// choose picks the range of an owner with about the wanted load and the fewest
// keys, so that little moves and owners' ranges stay few; or several ranges
// where none has enough.
func (p *Planner) choose(assignments []keyspace.Assignment, owner *instance, wanted float64) []part {
	var best part
	var widest []part
	for _, owned := range assignments {
		if p.renewing(owned) {
			continue
		}
		var heaviest part
		for _, candidate := range windows(bucketsOf(owned, &owner.load), wanted) {
			if best.load == 0 || better(candidate, best, wanted) {
				best = candidate
			}
			if candidate.load > heaviest.load {
				heaviest = candidate
			}
		}
		if heaviest.load > 0 {
			widest = append(widest, heaviest)
		}
	}
	if best.load >= leastOfWanted*wanted {
		return []part{best}
	}
	return several(widest, wanted)
}

// several picks parts of different assignments, the most loaded first, where no
// single one has enough.
func several(candidates []part, wanted float64) []part {
	slices.SortStableFunc(candidates, func(a, b part) int { return cmp.Compare(b.load, a.load) })
	var chosen []part
	for _, candidate := range candidates {
		if candidate.load <= wanted*mostOfWanted && len(chosen) < mostParts {
			chosen = append(chosen, candidate)
			wanted -= candidate.load
		}
	}
	return chosen
}

// better prefers a load near the wanted one, then fewer keys.
func better(a, b part, wanted float64) bool {
	enoughA, enoughB := a.load >= wanted/mostOfWanted, b.load >= wanted/mostOfWanted
	if enoughA != enoughB {
		return enoughA
	}
	if enoughA {
		return a.keys.Size() < b.keys.Size()
	}
	return a.load > b.load
}

// windows returns, for each first bucket, the shortest run of buckets that has
// the wanted load, or the longest that does not exceed it.
func windows(buckets []part, wanted float64) []part {
	var found []part
	last, load := 0, 0.0
	for first := range buckets {
		for last < len(buckets) && load < wanted && load+buckets[last].load <= wanted*mostOfWanted {
			load += buckets[last].load
			last++
		}
		if last > first {
			keys := keyspace.Range{First: buckets[first].keys.First, Last: buckets[last-1].keys.Last}
			found = append(found, part{from: buckets[first].from, keys: keys, load: load})
			load -= buckets[first].load
		} else {
			last = first + 1
		}
	}
	return found
}

// bucketsOf cuts an assignment at the borders of buckets that have load, in the
// order of their keys.
func bucketsOf(owned keyspace.Assignment, load *loadTable) []part {
	var buckets []part
	for bucket, slots := range load.busy {
		first := keyspace.Key(bucket * KeysPerBucket)
		keys, ok := owned.Intersect(keyspace.Range{First: first, Last: first + KeysPerBucket - 1})
		if ok {
			buckets = append(buckets, part{from: owned, keys: keys, load: slots})
		}
	}
	slices.SortFunc(buckets, func(a, b part) int { return cmp.Compare(a.keys.First, b.keys.First) })
	return buckets
}
