package keylease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// usage is what the back ends of a service have and use, worked out once for each
// tick of the planner. With thousands of ranges and hundreds of moves to decide, a
// leader that works it out anew for each of them stands still for seconds.
type usage struct {
	planner *Planner
	service string
	// targets are the instances that may get keys, in the order of their IDs.
	targets []*instance
	// owned are the assignments of each owner, nil until they are asked for: most
	// ticks decide nothing.
	owned map[string][]keyspace.Assignment
	// slots that each instance uses, incoming keys included and outgoing ones not.
	slots map[string]float64
	// meanRun is how long a run takes on average over the targets, in seconds.
	meanRun float64
}

// usageOf returns the usage of a service in the present tick.
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

// fill works out what is owned and used.
func (u *usage) fill() {
	if u.owned != nil {
		return
	}
	p, service := u.planner, u.service
	u.owned, u.slots = map[string][]keyspace.Assignment{}, map[string]float64{}
	u.meanRun = meanRun(u.targets)
	owners := p.state.Owners(service)
	for _, assignment := range owners.All() {
		u.owned[assignment.Owner] = append(u.owned[assignment.Owner], assignment)
		u.slots[assignment.Owner] += float64(assignment.Size()) * keyWeight
	}
	for id, known := range p.instances {
		if known.Service == service && len(u.owned[id]) > 0 {
			u.slots[id] += known.load.within(owners, id)
		}
	}
	for _, moving := range p.moves {
		if moving.service == service {
			u.shift(moving)
		}
	}
}

// ownedBy returns the assignments of an instance.
func (u *usage) ownedBy(id string) []keyspace.Assignment {
	u.fill()
	return u.owned[id]
}

// shift counts a move as done.
func (u *usage) shift(moving *move) {
	u.fill()
	load := float64(moving.held.Keys.Size()) * keyWeight
	if from, ok := u.planner.instances[moving.from]; ok {
		load = from.load.of(moving.held.Keys)
	}
	u.slots[moving.from] -= load
	u.slots[moving.to] += load * u.paceOf(moving.to) / u.paceOf(moving.from)
}

// utilization of an instance: what its own and incoming keys use, over its slots.
func (u *usage) utilization(target *instance) float64 {
	u.fill()
	return u.slots[target.ID] / float64(max(target.Slots, 1))
}

// byLoad orders targets by their utilization, the least first.
func (u *usage) byLoad(targets []*instance) []*instance {
	ordered := slices.Clone(targets)
	slices.SortStableFunc(ordered, func(a, b *instance) int { return cmp.Compare(u.utilization(a), u.utilization(b)) })
	return ordered
}

// leastLoaded returns a number of targets, the least loaded first.
func (u *usage) leastLoaded(targets []*instance, count int) []*instance {
	if count > 1 {
		return u.byLoad(targets)[:count]
	}
	least := targets[0]
	for _, target := range targets[1:] {
		if u.utilization(target) < u.utilization(least) {
			least = target
		}
	}
	return []*instance{least}
}

// within returns the load of the buckets that an owner has, in busy slots.
func (t *loadTable) within(owners *keyspace.Map, owner string) float64 {
	var sum float64
	for bucket, slots := range t.busy {
		if owners.Find(keyspace.Key(bucket*KeysPerBucket)).Owner == owner {
			sum += slots
		}
	}
	return sum
}
