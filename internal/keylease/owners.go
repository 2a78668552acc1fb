package keylease

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// renewFences gives owners whose gateway has another process their keys under a
// new fence. Moves that the last process did not end begin anew.
func (p *Planner) renewFences(service string) []fleetstate.OwnershipChange {
	var changes []fleetstate.OwnershipChange
	for _, owned := range p.state.Owners(service).All() {
		owner, ok := p.instances[owned.Owner]
		if !ok || owner.boot == 0 || owner.boot == owned.Boot || owner.State == fleetwire.InstanceGone {
			continue
		}
		p.moves = slices.DeleteFunc(p.moves, func(moving *move) bool {
			return moving.from == owner.ID && !moving.released && moving.held.Fence == owned.Fence
		})
		for _, keys := range p.notMoving(service, owned.Range) {
			changes = append(changes, fleetstate.OwnershipChange{
				Service: service, Keys: keys, From: owner.ID, To: owner.ID, Node: owner.Node, Boot: owner.boot,
			})
		}
	}
	return changes
}

// firstOwners gives the keys that never had an owner evenly to all targets.
func (p *Planner) firstOwners(service string, now time.Duration) []fleetstate.OwnershipChange {
	var free []keyspace.Range
	for _, assignment := range p.state.Owners(service).All() {
		if assignment.Owner == "" {
			free = append(free, assignment.Range)
		}
	}
	targets := p.targets(service, now)
	if len(free) == 0 || !p.settled(targets, now) {
		return nil
	}
	var changes []fleetstate.OwnershipChange
	for _, keys := range free {
		for i, part := range divide(keys, len(targets)) {
			changes = append(changes, fleetstate.OwnershipChange{Service: service, Keys: part, To: targets[i].ID, Node: targets[i].Node, Boot: targets[i].boot})
		}
	}
	return changes
}

// divide cuts a range into at most a number of nearly equal parts.
func divide(keys keyspace.Range, parts int) []keyspace.Range {
	size := keys.Size()
	parts = min(parts, size)
	divided := make([]keyspace.Range, 0, parts)
	first := keys.First
	for i := range parts {
		last := keys.First + keyspace.Key(size*(i+1)/parts) - 1
		divided = append(divided, keyspace.Range{First: first, Last: last})
		first = last + 1
	}
	return divided
}

// takeFromEnded begins moves for the ranges of owners that end or are lost.
func (p *Planner) takeFromEnded(service string, now time.Duration) {
	targets := p.usageOf(service, now).targets
	if len(targets) == 0 {
		return
	}
	for _, assignment := range p.state.Owners(service).All() {
		if assignment.Owner == "" || !p.ends(assignment.Owner, now) {
			continue
		}
		candidates := targets
		if successor := p.successor(p.usageOf(service, now), assignment); successor != nil {
			candidates = []*instance{successor}
		}
		if p.renewing(assignment) {
			continue
		}
		for _, keys := range p.notMoving(service, assignment.Range) {
			p.spread(service, assignment, keys, candidates, now)
		}
	}
}

// renewing says that an owner is about to get a new fence for an assignment.
func (p *Planner) renewing(assignment keyspace.Assignment) bool {
	owner, ok := p.instances[assignment.Owner]
	return ok && owner.boot != 0 && owner.boot != assignment.Boot && owner.State != fleetwire.InstanceGone
}

// successor is the next life of an ended owner, which gets all its keys: it has
// no others.
func (p *Planner) successor(used *usage, ended keyspace.Assignment) *instance {
	for _, target := range used.targets {
		if target.Node == ended.Node && len(used.ownedBy(target.ID)) == 0 {
			return target
		}
	}
	return nil
}

// ends says that an owner should lose its keys: it drains, it has ended or fallen
// silent, its zone is evacuated, or its lease ran out.
func (p *Planner) ends(owner string, now time.Duration) bool {
	known, ok := p.instances[owner]
	if !ok {
		return now > p.settledAt
	}
	if known.State == fleetwire.InstanceGone {
		// Until its time is over it may be reached again, and keep its keys.
		return now > known.leasedUntil
	}
	if known.State != fleetwire.InstanceReady || known.silent || p.state.Evacuated(known.Zone) {
		return true
	}
	return now > known.leasedUntil
}
