package keylease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// usage holds the ranges and the used slots of a service's back ends, computed once per
// tick of the planner. With thousands of ranges and hundreds of moves to decide,
// computing it for each of them would block the leader for seconds.
type usage struct {
	planner *Planner
	service string
	// targets are the instances that may get keys, sorted by ID.
	targets []*instance
	// owned are the assignments of each owner. It is nil until it is needed, since most
	// ticks decide nothing.
	owned map[string][]keyspace.Assignment
	// slots is how many slots each instance uses, with incoming keys and without
	// outgoing ones.
	slots map[string]float64
	// ranges is how many ranges each instance has, with incoming ones.
	ranges map[string]int
	// meanRun is the mean run time over the targets, in seconds.
	meanRun float64
}

// usageOf returns the usage of a service in the current tick.
func (p *Planner) usageOf(service string, now time.Duration) *usage {
	known, ok := p.usages[service]
	if !ok {
		known = p.newUsage(service, now)
		p.usages[service] = known
	}
	return known
}

func (p *Planner) newUsage(service string, now time.Duration) *usage {
	return &usage{planner: p, service: service, targets: p.targets(service, now)}
}

// compute fills in the owned ranges and the used slots, once.
func (u *usage) compute() {
	if u.owned != nil {
		return
	}
	p, service := u.planner, u.service
	u.owned, u.slots, u.ranges = map[string][]keyspace.Assignment{}, map[string]float64{}, map[string]int{}
	u.meanRun = meanRun(u.targets)
	owners := p.state.Owners(service)
	for _, assignment := range owners.All() {
		u.owned[assignment.Owner] = append(u.owned[assignment.Owner], assignment)
		u.slots[assignment.Owner] += float64(assignment.Size()) * keyWeight
		u.ranges[assignment.Owner]++
	}
	for id, known := range p.instances {
		if known.Service == service && len(u.owned[id]) > 0 {
			u.slots[id] += known.load.loadOwnedBy(owners, id)
		}
	}
	for _, moving := range p.moves {
		if moving.service == service {
			u.applyMove(moving)
		}
	}
}

// ownedBy returns the assignments of an instance.
func (u *usage) ownedBy(id string) []keyspace.Assignment {
	u.compute()
	return u.owned[id]
}

// applyMove counts a move as completed.
func (u *usage) applyMove(moving *move) {
	u.compute()
	load := float64(moving.held.Keys.Size()) * keyWeight
	if from, ok := u.planner.instances[moving.from]; ok {
		load = from.load.loadOf(moving.held.Keys)
	}
	u.ranges[moving.to]++
	u.slots[moving.from] -= load
	u.slots[moving.to] += load * u.runTimeRatioOf(moving.to) / u.runTimeRatioOf(moving.from)
}

// utilization returns the share of an instance's capacity that its own and incoming keys
// use.
func (u *usage) utilization(target *instance) float64 {
	u.compute()
	return u.slots[target.ID] / target.capacity()
}

// byLoad returns the targets sorted by utilization, the lowest first.
func (u *usage) byLoad(targets []*instance) []*instance {
	ordered := slices.Clone(targets)
	slices.SortStableFunc(ordered, func(a, b *instance) int { return cmp.Compare(u.utilization(a), u.utilization(b)) })
	return ordered
}

// leastLoaded returns the given number of targets, the least loaded first. Those that have
// maxOwnedRanges come after all others, the one with the fewest ranges first.
func (u *usage) leastLoaded(targets []*instance, count int) []*instance {
	if count > 1 {
		ordered := slices.Clone(targets)
		slices.SortStableFunc(ordered, u.comparePreference)
		return ordered[:count]
	}
	return []*instance{slices.MinFunc(targets, u.comparePreference)}
}

// comparePreference compares two targets for further keys; the preferred one is less.
func (u *usage) comparePreference(a, b *instance) int {
	u.compute()
	surplus := func(target *instance) int { return max(u.ranges[target.ID]-maxOwnedRanges+1, 0) }
	return cmp.Or(cmp.Compare(surplus(a), surplus(b)), cmp.Compare(u.utilization(a), u.utilization(b)))
}

// loadOwnedBy returns the load of the buckets that an owner holds, in busy slots.
func (t *loadTable) loadOwnedBy(owners *keyspace.Map, owner string) float64 {
	var sum float64
	for bucket, slots := range t.slots {
		if owners.Find(keyspace.Key(bucket*KeysPerBucket)).Owner == owner {
			sum += slots
		}
	}
	return sum
}
