package keylease

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// move is a range that is being transferred from one owner to another.
type move struct {
	service string
	held    fleetwire.Held
	from    string
	began   time.Duration
	// to is the preferred target; another one is chosen if it is lost.
	to string
	// leasesExpireAt is when every lease that lists the range has expired.
	leasesExpireAt time.Duration
	// released is set once the gateway has confirmed the release, and handover is what
	// the back end left for the next owner.
	released bool
	handover string
	// proposed is set once the change of owner is in a batch.
	proposed bool
}

// subtract returns what is left of ranges without the keys of taken.
func subtract(ranges []keyspace.Range, taken keyspace.Range) []keyspace.Range {
	var rest []keyspace.Range
	for _, keys := range ranges {
		rest = append(rest, keys.Without(taken)...)
	}
	return rest
}

// recordReleases marks the moves whose ranges the owner's gateway has released.
func (p *Planner) recordReleases(owner *instance, releases []fleetwire.Released) {
	for _, release := range releases {
		for _, moving := range p.moves {
			if moving.from == owner.ID && moving.held.Fence == release.Fence && release.Keys == moving.held.Keys && !moving.released {
				moving.released = true
				moving.handover = release.Handover
			}
		}
	}
}

// notMoving returns the parts of a range that are in no move.
func (p *Planner) notMoving(service string, keys keyspace.Range) []keyspace.Range {
	rest := []keyspace.Range{keys}
	for _, moving := range p.moves {
		if moving.service == service && moving.held.Keys.Overlaps(keys) {
			rest = subtract(rest, moving.held.Keys)
		}
	}
	return rest
}

// maxUndividedSize is the size up to which a range is moved to one target.
const maxUndividedSize = 2048

// spread starts to move a range to several targets, the least loaded first. A
// small range goes to one target.
func (p *Planner) spread(service string, from keyspace.Assignment, keys keyspace.Range, targets []*instance, now time.Duration) {
	parts := divide(keys, min(len(targets), 1+keys.Size()/maxUndividedSize))
	leastLoaded := p.usageOf(service, now).leastLoaded(targets, len(parts))
	for i, part := range parts {
		p.startMove(service, from, part, leastLoaded[i].ID, now)
	}
}

// startMove starts a move. From now on no lease lists the range as held.
func (p *Planner) startMove(service string, from keyspace.Assignment, keys keyspace.Range, to string, now time.Duration) {
	leasesEnd := p.earlierLeasesExpireAt
	if owner, ok := p.instances[from.Owner]; ok {
		leasesEnd = owner.leasedUntil
	}
	p.nodesToReport[from.Node] = true
	started := &move{
		service:        service,
		held:           fleetwire.Held{Keys: keys, Fence: from.Fence},
		from:           from.Owner,
		began:          now,
		to:             to,
		leasesExpireAt: leasesEnd,
	}
	p.usageOf(service, now).applyMove(started)
	p.moves = append(p.moves, started)
}

// completeMoves returns the changes of owner for all moves whose source can no
// longer serve the range.
func (p *Planner) completeMoves(now time.Duration) []fleetstate.OwnershipChange {
	var changes []fleetstate.OwnershipChange
	for _, moving := range p.moves {
		if owner, ok := p.instances[moving.from]; ok && owner.leasedUntil == 0 {
			moving.leasesExpireAt = 0
		}
		if !moving.released && now <= moving.leasesExpireAt {
			continue
		}
		to := p.target(moving, now)
		if to == nil {
			continue
		}
		moving.proposed, moving.to = true, to.ID
		changes = append(changes, fleetstate.OwnershipChange{
			Service: moving.service, Keys: moving.held.Keys, From: moving.from, To: to.ID, Node: to.Node, Boot: to.boot, Handover: moving.handover,
		})
	}
	return changes
}

// target returns the preferred target of a move, the least loaded one if that is
// lost, or nil if there is none.
func (p *Planner) target(moving *move, now time.Duration) *instance {
	used := p.usageOf(moving.service, now)
	targets := used.targets
	for _, candidate := range targets {
		if candidate.ID == moving.to {
			return candidate
		}
	}
	if len(targets) == 0 {
		return nil
	}
	return used.leastLoaded(targets, 1)[0]
}
