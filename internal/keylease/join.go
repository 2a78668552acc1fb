package keylease

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

const (
	// joinFrom is from how many ranges of one owner on its neighbouring ranges are
	// joined. Each range is a line of a lease, and of the answer to a heartbeat,
	// which holds gateway.MaxOfferedRanges.
	joinFrom = 16
	// mostOwned is how many ranges an owner may have and still get others for its
	// load's sake.
	mostOwned = 48
	// joinAfter is how long ranges rest after a change before they are joined: the
	// back end has then been told of them, and has taken what the last owner left.
	joinAfter = 5 * time.Second
)

// changedRange is a range whose owner or fence changed a moment ago.
type changedRange struct {
	service string
	keys    keyspace.Range
	at      time.Duration
}

// noteChanges remembers the ranges of a batch.
func (p *Planner) noteChanges(batch *fleetstate.ChangeOwnership, now time.Duration) {
	kept := p.changed[:0]
	for _, old := range p.changed {
		if now < old.at+joinAfter {
			kept = append(kept, old)
		}
	}
	p.changed = kept
	for _, change := range batch.Changes {
		p.changed = append(p.changed, changedRange{change.Service, change.Keys, now})
	}
}

// rests says that a range is in no move and has not changed for a while.
func (p *Planner) rests(service string, keys keyspace.Range, now time.Duration) bool {
	if now < p.began+joinAfter {
		return false
	}
	for _, moving := range p.moves {
		if moving.service == service && moving.held.Keys.Overlaps(keys) {
			return false
		}
	}
	for _, changed := range p.changed {
		if changed.service == service && changed.keys.Overlaps(keys) && now < changed.at+joinAfter {
			return false
		}
	}
	return true
}

// joinRanges gives neighbouring ranges of owners that have many to the same owner
// as one, under one higher fence. Nothing moves.
func (p *Planner) joinRanges(service string, now time.Duration) []fleetstate.OwnershipChange {
	all := p.state.Owners(service).All()
	counts := map[string]int{}
	for _, owned := range all {
		counts[owned.Owner]++
	}
	var changes []fleetstate.OwnershipChange
	for first := 0; first < len(all); {
		last := first
		for last+1 < len(all) && p.neighbours(service, all[first], all[last+1], now) {
			last++
		}
		if last > first && counts[all[first].Owner] >= joinFrom && p.rests(service, all[first].Range, now) {
			changes = append(changes, fleetstate.OwnershipChange{
				Service: service, Keys: keyspace.Range{First: all[first].First, Last: all[last].Last},
				From: all[first].Owner, To: all[first].Owner, Node: all[first].Node, Boot: all[first].Boot,
			})
		}
		first = last + 1
	}
	return changes
}

// neighbours says that the next range may be joined to an earlier one: a ready
// back end has both from the same process of its gateway.
func (p *Planner) neighbours(service string, earlier, next keyspace.Assignment, now time.Duration) bool {
	owner, ok := p.instances[earlier.Owner]
	if !ok || owner.State != fleetwire.InstanceReady || owner.boot != earlier.Boot {
		return false
	}
	return next.Owner == earlier.Owner && next.Boot == earlier.Boot && p.rests(service, next.Range, now)
}
