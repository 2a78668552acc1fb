package keylease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// KeysPerBucket is how many neighbouring keys share one measurement of load.
const KeysPerBucket = 16

// BucketOf returns the bucket of a key.
func BucketOf(key keyspace.Key) uint32 { return uint32(key) / KeysPerBucket }

const (
	// loadHalfLife weighs older reports.
	loadHalfLife = time.Second
	// imbalance is the least difference of utilization, as a part of all slots,
	// that is worth a move, and busy the least utilization of who gives.
	imbalance = 0.25
	busy      = 0.55
	// maxMovesAtOnce bounds the ranges of one decision.
	maxMovesAtOnce = 6
	// keyWeight is what a key counts beside its measured load, in slots, so that
	// keys without load are spread evenly too.
	keyWeight = 1.0 / 65536
)

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
	keep := float64(loadHalfLife) / float64(loadHalfLife+elapsed)
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
		if first := keyspace.Key(bucket * KeysPerBucket); keys.First <= first && first <= keys.Last {
			sum += slots
		}
	}
	return sum
}

// utilization of an instance: what its own and incoming keys use, over its
// slots.
func (p *Planner) utilization(service string, target *instance) float64 {
	var slots float64
	for _, owned := range p.state.Owners(service).OwnedBy(target.ID) {
		slots += target.load.of(owned.Range)
	}
	for _, moving := range p.moves {
		if moving.service != service {
			continue
		}
		load := float64(moving.held.Keys.Size()) * keyWeight
		if from, ok := p.instances[moving.from]; ok {
			load = from.load.of(moving.held.Keys)
		}
		if moving.from == target.ID {
			slots -= load
		}
		if moving.to == target.ID {
			slots += load
		}
	}
	return slots / float64(max(target.Slots, 1))
}

// byLoad orders targets by their utilization, the least first.
func (p *Planner) byLoad(service string, targets []*instance, _ time.Duration) []*instance {
	ordered := slices.Clone(targets)
	utilization := make(map[string]float64, len(ordered))
	for _, target := range ordered {
		utilization[target.ID] = p.utilization(service, target)
	}
	slices.SortStableFunc(ordered, func(a, b *instance) int {
		return cmp.Compare(utilization[a.ID], utilization[b.ID])
	})
	return ordered
}

// rebalance begins to move keys from the most to the least loaded back end
// where they differ by much.
func (p *Planner) rebalance(service string, now time.Duration) {
	if now < p.rebalanceAt || !p.Complete(now) || p.movingAny(service) {
		return
	}
	ordered := p.byLoad(service, p.warm(p.targets(service, now), now), now)
	if len(ordered) < 2 {
		return
	}
	least, most := ordered[0], ordered[len(ordered)-1]
	low, high := p.utilization(service, least), p.utilization(service, most)
	if high < busy || high-low < imbalance {
		return
	}
	wanted := (high - low) / 2 * float64(most.Slots)
	for _, part := range p.choose(service, most, wanted) {
		p.begin(service, part.from, part.keys, least.ID, now)
	}
}

func (p *Planner) movingAny(service string) bool {
	return slices.ContainsFunc(p.moves, func(moving *move) bool { return moving.service == service })
}

func (p *Planner) warm(targets []*instance, now time.Duration) []*instance {
	return slices.DeleteFunc(targets, func(target *instance) bool {
		return now < target.firstSeen+p.config.WarmUp
	})
}

// part is a range within one assignment, with its load in busy slots.
type part struct {
	from keyspace.Assignment
	keys keyspace.Range
	load float64
}

// choose picks ranges of an owner that together have about the wanted load,
// with as few keys as possible.
func (p *Planner) choose(service string, owner *instance, wanted float64) []part {
	var buckets []part
	for _, owned := range p.state.Owners(service).OwnedBy(owner.ID) {
		buckets = append(buckets, bucketsOf(owned, &owner.load)...)
	}
	slices.SortStableFunc(buckets, func(a, b part) int { return cmp.Compare(b.load, a.load) })
	var chosen []part
	for _, bucket := range buckets {
		if bucket.load > wanted {
			continue // it would only move the load, not divide it
		}
		wanted -= bucket.load
		chosen = append(chosen, bucket)
	}
	return join(chosen)
}

// bucketsOf cuts an assignment at the borders of buckets that have load.
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

// join merges neighbouring parts and keeps the most loaded ones.
func join(chosen []part) []part {
	slices.SortFunc(chosen, func(a, b part) int { return cmp.Compare(a.keys.First, b.keys.First) })
	var joined []part
	for _, next := range chosen {
		if last := len(joined) - 1; last >= 0 && joined[last].keys.Last+1 == next.keys.First && joined[last].from.Contains(next.keys) {
			joined[last].keys.Last = next.keys.Last
			joined[last].load += next.load
			continue
		}
		joined = append(joined, next)
	}
	slices.SortStableFunc(joined, func(a, b part) int { return cmp.Compare(b.load, a.load) })
	return joined[:min(len(joined), maxMovesAtOnce)]
}
