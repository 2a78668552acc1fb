package keylease

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

const (
	// mergeThreshold is the number of ranges of one owner from which its adjacent ranges are
	// merged. Each range takes an entry in a lease and in the response to a heartbeat, which is
	// limited to gateway.MaxOfferBytes.
	mergeThreshold = 16
	// maxOwnedRanges is the number of ranges from which an owner gets no more keys by
	// load balancing, and those of owners that are lost only after all others.
	maxOwnedRanges = 48
	// mergeDelay is how long ranges must be unchanged before they are merged. By then
	// the back end knows of them and has taken over the previous owner's handover.
	mergeDelay = 5 * time.Second
)

// recentChange is a range whose owner or fence changed within mergeDelay.
type recentChange struct {
	service string
	keys    keyspace.Range
	at      time.Duration
}

// recordChanges adds the ranges of a batch to the recent changes and drops expired
// ones.
func (p *Planner) recordChanges(batch *fleetstate.ChangeOwnership, now time.Duration) {
	kept := p.recentChanges[:0]
	for _, old := range p.recentChanges {
		if now < old.at+mergeDelay {
			kept = append(kept, old)
		}
	}
	p.recentChanges = kept
	for _, change := range batch.Changes {
		p.recentChanges = append(p.recentChanges, recentChange{change.Service, change.Keys, now})
	}
}

// isStable reports whether a range is in no move and has not changed within
// mergeDelay.
func (p *Planner) isStable(service string, keys keyspace.Range, now time.Duration) bool {
	if now < p.began+mergeDelay {
		return false
	}
	for _, moving := range p.moves {
		if moving.service == service && moving.held.Keys.Overlaps(keys) {
			return false
		}
	}
	for _, changed := range p.recentChanges {
		if changed.service == service && changed.keys.Overlaps(keys) && now < changed.at+mergeDelay {
			return false
		}
	}
	return true
}

// mergeRanges merges adjacent ranges of owners that have many of them. The owner
// stays the same and gets a higher fence; no keys move.
func (p *Planner) mergeRanges(service string, now time.Duration) []fleetstate.OwnershipChange {
	all := p.state.Owners(service).All()
	counts := map[string]int{}
	for _, owned := range all {
		counts[owned.Owner]++
	}
	var changes []fleetstate.OwnershipChange
	for first := 0; first < len(all); {
		last := first
		for last+1 < len(all) && p.canMerge(service, all[first], all[last+1], now) {
			last++
		}
		if last > first && counts[all[first].Owner] >= mergeThreshold && p.isStable(service, all[first].Range, now) {
			changes = append(changes, fleetstate.OwnershipChange{
				Service: service, Keys: keyspace.Range{First: all[first].First, Last: all[last].Last},
				From: all[first].Owner, To: all[first].Owner, Node: all[first].Node, Boot: all[first].Boot,
			})
		}
		first = last + 1
	}
	return changes
}

// canMerge reports whether next may be merged with an earlier range: a ready back end holds
// both through the same gateway process.
func (p *Planner) canMerge(service string, earlier, next keyspace.Assignment, now time.Duration) bool {
	owner, ok := p.instances[earlier.Owner]
	if !ok || owner.State != fleetwire.InstanceReady || owner.boot != earlier.Boot {
		return false
	}
	return next.Owner == earlier.Owner && next.Boot == earlier.Boot && p.isStable(service, next.Range, now)
}
