package keylease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// instance is what the leader knows of one incarnation of a back end.
type instance struct {
	fleetwire.Instance
	firstSeen    time.Duration
	lastReportAt time.Duration
	// leasedUntil is when the last lease given to it expires.
	leasedUntil time.Duration
	load        loadTable
	// runs measures how long its requests run.
	runs runTimes
	// boot identifies the gateway process that sent the last report.
	boot uint64
	// silent is set while its gateway has received nothing from it for some time.
	silent bool
	// limitedSlots is how many slots its rate limit lets it use, zero if it states none.
	limitedSlots float64
}

// minCapacity bounds the capacity of a back end whose rate limit is near zero.
const minCapacity = 0.05

// capacity returns how many slots the back end can use.
func (i *instance) capacity() float64 {
	slots := float64(max(i.Slots, 1))
	if i.limitedSlots <= 0 {
		return slots
	}
	return max(min(slots, i.limitedSlots), minCapacity)
}

// Revision increases whenever the result of Instances changes.
func (p *Planner) Revision() uint64 { return p.revision }

// Instances returns the live instances, sorted by ID.
func (p *Planner) Instances() []fleetwire.Instance {
	var all []fleetwire.Instance
	for _, known := range p.instances {
		if known.State != fleetwire.InstanceGone {
			all = append(all, known.Instance)
		}
	}
	slices.SortFunc(all, func(a, b fleetwire.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// InstanceAt returns the last reported state of a gateway's local back end, nil if there is
// none. A back end whose departure is recorded drains.
func (p *Planner) InstanceAt(node string) *fleetwire.Instance {
	known := p.instances[p.nodes[node]]
	if known == nil {
		return nil
	}
	reported := known.Instance
	p.applyDeparture(&reported)
	return &reported
}

// applyDeparture makes an instance draining if its departure is recorded. A gateway that has just
// started may report it as ready.
func (p *Planner) applyDeparture(reported *fleetwire.Instance) {
	if reported.State == fleetwire.InstanceReady && p.state.Departures().Has(reported.Node, reported.ID) {
		reported.State = fleetwire.InstanceDraining
	}
}

// updateInstance records what a gateway reports of its instance. Reports of a
// superseded incarnation change nothing.
func (p *Planner) updateInstance(reported *fleetwire.Instance, now time.Duration) *instance {
	known, ok := p.instances[reported.ID]
	if !ok {
		known = &instance{Instance: *reported, firstSeen: now, leasedUntil: p.earlierLeasesExpireAt}
		p.applyDeparture(&known.Instance)
		p.instances[reported.ID] = known
		p.revision++
	}
	if ok && p.isSuperseded(known) {
		return known
	}
	p.replaceEarlierIncarnations(reported)
	known.lastReportAt = now
	newer := *reported
	if newer.Sequence < known.Sequence {
		// A gateway that has just started may report an outdated state.
		newer.State, newer.Sequence = known.State, known.Sequence
	}
	p.applyDeparture(&newer)
	if newer != known.Instance {
		visible := newer.State != known.State || newer.Address != known.Address || newer.Slots != known.Slots || newer.Leaving != known.Leaving || newer.Cold != known.Cold
		known.Instance = newer
		if visible {
			p.revision++
		}
	}
	if known.State == fleetwire.InstanceGone && known.Released {
		known.leasedUntil = 0
	}
	return known
}

// replaceEarlierIncarnations makes the reported incarnation the current one of its gateway.
// Earlier ones, including those known only as owners of keys, get no new keys, but keep those
// that they hold until their leases expire: such a process may still run and have closed only
// its listener.
func (p *Planner) replaceEarlierIncarnations(reported *fleetwire.Instance) {
	earlier := p.nodes[reported.Node]
	if earlier == reported.ID {
		return
	}
	p.nodes[reported.Node] = reported.ID
	if known := p.instances[earlier]; known != nil {
		p.supersede(known)
	}
	for service, owners := range p.state.AllOwners() {
		for _, owned := range owners.All() {
			if owned.Node == reported.Node && owned.Owner != reported.ID && p.instances[owned.Owner] == nil {
				former := &instance{Instance: fleetwire.Instance{ID: owned.Owner, Service: service, Node: owned.Node}, leasedUntil: p.earlierLeasesExpireAt}
				p.instances[owned.Owner] = former
				p.supersede(former)
			}
		}
	}
}

// supersede marks an instance as replaced by a later incarnation.
func (p *Planner) supersede(known *instance) {
	known.State = fleetwire.InstanceGone
	p.superseded[known.Node] = append(p.superseded[known.Node], known.ID)
	p.revision++
}

// releaseSuperseded frees the keys of earlier incarnations once their gateway has confirmed
// that they hold none any more.
func (p *Planner) releaseSuperseded(reported *instance) {
	if p.nodes[reported.Node] != reported.ID {
		return // a delayed report
	}
	for _, id := range p.superseded[reported.Node] {
		if known := p.instances[id]; known != nil && id != reported.ID {
			known.Released, known.leasedUntil = true, 0
		}
	}
	delete(p.superseded, reported.Node)
}

// isSuperseded reports whether a later incarnation of the back end has been reported
// already, so that a report of this one is a delayed one.
func (p *Planner) isSuperseded(known *instance) bool {
	present := p.nodes[known.Node]
	return known.State == fleetwire.InstanceGone && present != "" && present != known.ID
}

// expireInstances drops instances that own nothing and were last reported long ago.
func (p *Planner) expireInstances(now time.Duration) {
	const kept = time.Minute
	for id, known := range p.instances {
		if now > known.lastReportAt+kept && now > known.leasedUntil && len(p.state.Owners(known.Service).OwnedBy(id)) == 0 {
			delete(p.instances, id)
			if p.nodes[known.Node] == id {
				delete(p.nodes, known.Node)
			}
			p.revision++
		}
	}
}

// targets returns the instances of a service that may get keys, sorted by ID: the
// warmed-up ones, or all of them if none is warmed up. A cold back end would fail
// under the keys of a fully loaded one.
func (p *Planner) targets(service string, now time.Duration) []*instance {
	var found []*instance
	for _, known := range p.instances {
		evacuated := p.state.Evacuated(known.Zone)
		if known.Service == service && known.State == fleetwire.InstanceReady && !evacuated && !known.silent && now < known.lastReportAt+p.config.SilentAfter {
			found = append(found, known)
		}
	}
	if slices.ContainsFunc(found, isWarm) {
		found = slices.DeleteFunc(found, func(target *instance) bool { return !isWarm(target) })
	}
	slices.SortFunc(found, func(a, b *instance) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

func isWarm(target *instance) bool { return !target.Cold }

// settled reports whether no new back end has appeared for a while.
func (p *Planner) settled(targets []*instance, now time.Duration) bool {
	if len(targets) == 0 {
		return false
	}
	first, last := targets[0].firstSeen, targets[0].firstSeen
	for _, target := range targets {
		first = min(first, target.firstSeen)
		last = max(last, target.firstSeen)
	}
	return now > last+p.config.SettleTime || now > first+p.config.MaxSettleTime
}
