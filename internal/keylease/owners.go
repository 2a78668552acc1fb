package keylease

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// renewFences returns changes that give owners a new fence for their keys after a restart
// of their gateway. Moves that the previous gateway process has not released start over.
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

// firstOwners distributes keys that never had an owner evenly over all targets.
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

// divide splits a range into at most the given number of nearly equal parts.
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

// moveFromUnavailable starts moves for the ranges of owners whose keys should move away.
func (p *Planner) moveFromUnavailable(service string, now time.Duration) {
	targets := p.usageOf(service, now).targets
	if len(targets) == 0 {
		return
	}
	for _, assignment := range p.state.Owners(service).All() {
		if assignment.Owner == "" || !p.shouldLoseKeys(assignment.Owner, now) {
			continue
		}
		candidates := targets
		if successor := p.successor(p.usageOf(service, now), assignment); successor != nil {
			candidates = []*instance{successor}
		}
		if p.awaitsNewFence(assignment) {
			continue
		}
		for _, keys := range p.notMoving(service, assignment.Range) {
			p.spread(service, assignment, keys, candidates, now)
		}
	}
}

// awaitsNewFence reports whether an owner is about to get a new fence for an
// assignment.
func (p *Planner) awaitsNewFence(assignment keyspace.Assignment) bool {
	owner, ok := p.instances[assignment.Owner]
	return ok && owner.boot != 0 && owner.boot != assignment.Boot && owner.State != fleetwire.InstanceGone
}

// successor returns the next incarnation of a former owner if it has no keys yet. It then gets
// all keys of that owner.
func (p *Planner) successor(used *usage, former keyspace.Assignment) *instance {
	for _, target := range used.targets {
		if target.Node == former.Node && len(used.ownedBy(target.ID)) == 0 {
			return target
		}
	}
	return nil
}

// shouldLoseKeys reports whether an owner's keys should move away: it drains or is silent, its
// zone is evacuated, or its lease has expired. An unreachable owner keeps its keys until its
// lease expires.
func (p *Planner) shouldLoseKeys(owner string, now time.Duration) bool {
	known, ok := p.instances[owner]
	if !ok {
		return now > p.earlierLeasesExpireAt
	}
	if known.State == fleetwire.InstanceGone {
		// Until its lease expires it may become reachable again and keep its keys.
		return now > known.leasedUntil
	}
	if known.State != fleetwire.InstanceReady || known.silent || p.state.Evacuated(known.Zone) {
		return true
	}
	return now > known.leasedUntil
}
