package keylease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetwire"
)

// instance is what the leader knows of one life of a back end.
type instance struct {
	fleetwire.Instance
	firstSeen time.Duration
	heardAt   time.Duration
	// leasedUntil is when the last lease given to it ends.
	leasedUntil time.Duration
	load        loadTable
	// runs tells how long its runs take.
	runs runTimes
	// boot is the gateway's process that was heard last.
	boot uint64
	// silent says that its gateway has not heard of it for some time.
	silent bool
}

// Revision counts changes of what Instances returns.
func (p *Planner) Revision() uint64 { return p.revision }

// Instances returns the live instances in the order of their IDs.
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

// Known returns the last that was told of the instance beside a gateway.
func (p *Planner) Known(node string) *fleetwire.Instance {
	known := p.instances[p.nodes[node]]
	if known == nil {
		return nil
	}
	told := known.Instance
	return &told
}

// learn keeps the newest that was told of an instance.
func (p *Planner) learn(told *fleetwire.Instance, now time.Duration) *instance {
	known, ok := p.instances[told.ID]
	if !ok {
		known = &instance{Instance: *told, firstSeen: now, leasedUntil: p.settledAt}
		p.instances[told.ID] = known
		p.revision++
	}
	if ok && p.succeeded(known) {
		return known
	}
	p.succeed(told)
	known.heardAt = now
	newer := *told
	if newer.Sequence < known.Sequence {
		// An older word, kept by a gateway that has just started.
		newer.State, newer.Sequence = known.State, known.Sequence
	}
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

// succeed notes that another life of the back end beside a gateway is the present one. Those
// before it, also those that only the owners of keys tell of, get nothing more, but what they
// hold is theirs until its time is over: one may have closed its listener alone.
func (p *Planner) succeed(told *fleetwire.Instance) {
	earlier := p.nodes[told.Node]
	if earlier == told.ID {
		return
	}
	p.nodes[told.Node] = told.ID
	if known := p.instances[earlier]; known != nil {
		p.supersede(known)
	}
	for service, owners := range p.state.AllOwners() {
		for _, owned := range owners.All() {
			if owned.Node == told.Node && owned.Owner != told.ID && p.instances[owned.Owner] == nil {
				former := &instance{Instance: fleetwire.Instance{ID: owned.Owner, Service: service, Node: owned.Node}, leasedUntil: p.settledAt}
				p.instances[owned.Owner] = former
				p.supersede(former)
			}
		}
	}
}

// supersede says that a later life has taken an instance's place.
func (p *Planner) supersede(known *instance) {
	known.State = fleetwire.InstanceGone
	p.superseded[known.Node] = append(p.superseded[known.Node], known.ID)
	p.revision++
}

// earlierOver takes a gateway's word that nothing is held any more by earlier lives of its
// back end than the one it tells of.
func (p *Planner) earlierOver(told *instance) {
	if p.nodes[told.Node] != told.ID {
		return // a late word
	}
	for _, id := range p.superseded[told.Node] {
		if known := p.instances[id]; known != nil && id != told.ID {
			known.Released, known.leasedUntil = true, 0
		}
	}
	delete(p.superseded, told.Node)
}

// succeeded says that a later life of a back end was told of than one that is told of
// again: a late word, which changes nothing.
func (p *Planner) succeeded(known *instance) bool {
	present := p.nodes[known.Node]
	return known.State == fleetwire.InstanceGone && present != "" && present != known.ID
}

// forget drops instances that ended long ago.
func (p *Planner) forget(now time.Duration) {
	const kept = time.Minute
	for id, known := range p.instances {
		if now > known.heardAt+kept && now > known.leasedUntil && len(p.state.Owners(known.Service).OwnedBy(id)) == 0 {
			delete(p.instances, id)
			if p.nodes[known.Node] == id {
				delete(p.nodes, known.Node)
			}
			p.revision++
		}
	}
}

// targets returns the instances of a service that may get keys, in the order of
// their IDs: those that bear their full load, or where all are cold, all of them.
// Keys of a full back end would make a cold one fail.
func (p *Planner) targets(service string, now time.Duration) []*instance {
	var found []*instance
	for _, known := range p.instances {
		evacuated := p.state.Evacuated(known.Zone)
		if known.Service == service && known.State == fleetwire.InstanceReady && !evacuated && !known.silent && now < known.heardAt+p.config.SilentAfter {
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

// settled says that no new back end has come for a while.
func (p *Planner) settled(targets []*instance, now time.Duration) bool {
	if len(targets) == 0 {
		return false
	}
	first, last := targets[0].firstSeen, targets[0].firstSeen
	for _, target := range targets {
		first = min(first, target.firstSeen)
		last = max(last, target.firstSeen)
	}
	return now > last+p.config.SettleTime || now > first+p.config.LongestSettle
}
