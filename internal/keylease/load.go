package keylease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// KeysPerBucket is the number of adjacent keys that share one load measurement. It is
// small because a single key may need more than the capacity of a back end.
const KeysPerBucket = 4

// BucketOf returns the bucket of a key.
func BucketOf(key keyspace.Key) uint32 { return uint32(key) / KeysPerBucket }

const (
	// loadHalfLife is the age at which a report counts half.
	loadHalfLife = 800 * time.Millisecond
	// minImbalance is the smallest difference in utilization that is worth a move.
	// busyUtilization is the lowest utilization from which a back end gives keys away,
	// and from which it is not chosen for a hot bucket.
	minImbalance    = 0.25
	busyUtilization = 0.5
	// keyWeight is added to the measured load of each key, in slots, so that keys
	// without load are spread evenly too.
	keyWeight = 1.0 / 65536
)

// decayFactor returns the weight that older measurements keep after the elapsed time.
func decayFactor(elapsed, halfLife time.Duration) float64 {
	return float64(halfLife) / float64(halfLife+elapsed)
}

// startsIn reports whether the first key of a bucket is in a range.
func startsIn(bucket uint32, keys keyspace.Range) bool {
	first := keyspace.Key(bucket * KeysPerBucket)
	return keys.First <= first && first <= keys.Last
}

// loadTable holds the load of a back end by bucket, in busy slots.
type loadTable struct {
	slots map[uint32]float64
	since time.Duration
}

// add merges a report of the slot time that each bucket used since the last one.
func (t *loadTable) add(report []fleetwire.KeyLoad, now time.Duration) {
	elapsed := now - t.since
	t.since = now
	if elapsed <= 0 || elapsed > time.Minute {
		return
	}
	if t.slots == nil {
		t.slots = map[uint32]float64{}
	}
	keep := decayFactor(elapsed, loadHalfLife)
	for bucket, slots := range t.slots {
		if slots*keep < 1e-4 {
			delete(t.slots, bucket)
			continue
		}
		t.slots[bucket] = slots * keep
	}
	for _, load := range report {
		slots := float64(load.BusyMicros) / float64(elapsed.Microseconds())
		t.slots[load.Bucket] += slots * (1 - keep)
	}
}

// loadOf returns the load of a range in busy slots.
func (t *loadTable) loadOf(keys keyspace.Range) float64 {
	sum := float64(keys.Size()) * keyWeight
	for bucket, slots := range t.slots {
		if startsIn(bucket, keys) {
			sum += slots
		}
	}
	return sum
}

// firstKeysDelay is how long a back end without keys waits for its first ones while no
// other back end is short of capacity. Back ends are slow for some seconds after their
// start, but should serve within 6 s of it.
const firstKeysDelay = 3 * time.Second

// needsFirstKeys reports whether a back end has been without keys for so long that it
// should get some regardless of the load: without keys it gets no requests.
func (u *usage) needsFirstKeys(target *instance, now time.Duration) bool {
	return now >= target.firstSeen+firstKeysDelay && len(u.ownedBy(target.ID)) == 0
}

// rebalance starts moves from the most to the least loaded back ends where their
// utilizations differ enough, or where the least loaded one has no keys. A back end
// takes part in one decision at a time, but an overloaded one may give keys to several.
func (p *Planner) rebalance(service string, now time.Duration) {
	if now < p.nextRebalance || !p.AllReported(now) {
		return
	}
	used := p.usageOf(service, now)
	ready := slices.DeleteFunc(p.warm(used.targets, now), func(candidate *instance) bool { return p.moving(candidate.ID) })
	ready = p.moveHotBuckets(used, ready, now)
	ordered := used.byLoad(ready)
	for len(ordered) >= 2 {
		target, source := ordered[0], ordered[len(ordered)-1]
		ordered = ordered[1:]
		if len(used.ownedBy(target.ID)) >= maxOwnedRanges {
			continue
		}
		low, high := used.utilization(target), used.utilization(source)
		if target.limitedSlots > 0 && high < 1 {
			continue // its small capacity looks free between two requests
		}
		if (high < busyUtilization || high-low < minImbalance) && !used.needsFirstKeys(target, now) {
			return
		}
		if !p.equalize(used, source, target, now) {
			ordered = ordered[:len(ordered)-1]
			continue
		}
		ordered = used.byLoad(ordered)
	}
}

// equalize starts to move as much load from a source to a target as makes their utilizations
// equal, and reports whether there was anything to move.
func (p *Planner) equalize(used *usage, source, target *instance, now time.Duration) bool {
	difference := used.utilization(source) - used.utilization(target)
	ratio := used.runTimeRatio(target) / used.runTimeRatio(source)
	wanted := difference / (1/source.capacity() + ratio/target.capacity())
	// The demand on a full back end may be many times its slots.
	wanted = min(wanted, maxMovedShare*source.capacity())
	chosen := p.chooseParts(p.unmovedParts(used, source), source, wanted)
	for _, part := range chosen {
		p.startMove(used.service, part.from, part.keys, target.ID, now)
	}
	return len(chosen) > 0
}

// unmovedParts returns the parts of an owner's assignments that are in no move.
func (p *Planner) unmovedParts(used *usage, owner *instance) []keyspace.Assignment {
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

// moving reports whether an instance is the source or target of a move.
func (p *Planner) moving(id string) bool {
	return slices.ContainsFunc(p.moves, func(moving *move) bool { return moving.from == id || moving.to == id })
}

// warm returns the targets that have been known for WarmUp.
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
	// minWantedShare and maxWantedShare bound the load of a chosen part relative to
	// the wanted load.
	minWantedShare = 0.4
	maxWantedShare = 1.25
	// maxParts bounds the ranges moved by one decision, and maxMovedShare their load
	// relative to the capacity of the source.
	maxParts      = 16
	maxMovedShare = 0.6
)

// chooseParts picks the range of an owner that has about the wanted load and the
// fewest keys, so that few keys move and owners keep few ranges. Where no single range
// has enough load, it picks several.
func (p *Planner) chooseParts(assignments []keyspace.Assignment, owner *instance, wanted float64) []part {
	var best part
	var widest []part
	for _, owned := range assignments {
		if p.awaitsNewFence(owned) {
			continue
		}
		var heaviest part
		for _, candidate := range candidateRanges(bucketsOf(owned, &owner.load), wanted) {
			if best.load == 0 || isBetterFit(candidate, best, wanted) {
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
	if best.load >= minWantedShare*wanted {
		return []part{best}
	}
	return chooseSeveral(widest, wanted)
}

// chooseSeveral picks parts of different assignments, the most loaded first, until
// they have about the wanted load.
func chooseSeveral(candidates []part, wanted float64) []part {
	slices.SortStableFunc(candidates, func(a, b part) int { return cmp.Compare(b.load, a.load) })
	var chosen []part
	for _, candidate := range candidates {
		if candidate.load <= wanted*maxWantedShare && len(chosen) < maxParts {
			chosen = append(chosen, candidate)
			wanted -= candidate.load
		}
	}
	return chosen
}

// isBetterFit prefers a part with enough load, then among these the one with fewer
// keys, and among others the one with more load.
func isBetterFit(a, b part, wanted float64) bool {
	enoughA, enoughB := a.load >= wanted/maxWantedShare, b.load >= wanted/maxWantedShare
	if enoughA != enoughB {
		return enoughA
	}
	if enoughA {
		return a.keys.Size() < b.keys.Size()
	}
	return a.load > b.load
}

// candidateRanges returns, for each first bucket, the shortest run of buckets that has
// the wanted load, or the longest that does not exceed it.
func candidateRanges(buckets []part, wanted float64) []part {
	var found []part
	last, load := 0, 0.0
	for first := range buckets {
		for last < len(buckets) && load < wanted && load+buckets[last].load <= wanted*maxWantedShare {
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

// bucketsOf returns the parts of an assignment that lie in buckets with load, sorted by
// key.
func bucketsOf(owned keyspace.Assignment, load *loadTable) []part {
	var buckets []part
	for bucket, slots := range load.slots {
		first := keyspace.Key(bucket * KeysPerBucket)
		keys, ok := owned.Intersect(keyspace.Range{First: first, Last: first + KeysPerBucket - 1})
		if ok {
			buckets = append(buckets, part{from: owned, keys: keys, load: slots})
		}
	}
	slices.SortFunc(buckets, func(a, b part) int { return cmp.Compare(a.keys.First, b.keys.First) })
	return buckets
}
