package keylease

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// move is a range on its way from one owner to another.
type move struct {
	service string
	held    fleetwire.Held
	from    string
	began   time.Duration
	// to is the wanted target; another one is taken where that is lost.
	to string
	// freeAt is when every lease that lists the range has ended.
	freeAt   time.Duration
	released bool
	handover string
	proposed bool
}

func subtract(ranges []keyspace.Range, taken keyspace.Range) []keyspace.Range {
	var rest []keyspace.Range
	for _, keys := range ranges {
		rest = append(rest, keys.Without(taken)...)
	}
	return rest
}

func (p *Planner) takeReleased(told *instance, promises []fleetwire.Released) {
	for _, promise := range promises {
		for _, moving := range p.moves {
			if moving.from == told.ID && moving.held.Fence == promise.Fence && promise.Keys == moving.held.Keys && !moving.released {
				moving.released = true
				moving.handover = promise.Handover
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

// wholeRange is the size up to which a range is moved to one target.
const wholeRange = 2048

// spread begins to move a range to several targets, the least loaded first. A
// small range goes to one.
func (p *Planner) spread(service string, from keyspace.Assignment, keys keyspace.Range, targets []*instance, now time.Duration) {
	parts := divide(keys, min(len(targets), 1+keys.Size()/wholeRange))
	least := p.usageOf(service, now).leastLoaded(targets, len(parts))
	for i, part := range parts {
		p.begin(service, from, part, least[i].ID, now)
	}
}

// begin starts a move. From now on no lease lists the range.
func (p *Planner) begin(service string, from keyspace.Assignment, keys keyspace.Range, to string, now time.Duration) {
	freeAt := p.settledAt
	if owner, ok := p.instances[from.Owner]; ok {
		freeAt = owner.leasedUntil
	}
	p.concerned[from.Node] = true
	begun := &move{
		service: service,
		held:    fleetwire.Held{Keys: keys, Fence: from.Fence},
		from:    from.Owner,
		began:   now,
		to:      to,
		freeAt:  freeAt,
	}
	p.usageOf(service, now).shift(begun)
	p.moves = append(p.moves, begun)
}

// completeMoves gives the ranges whose owners can't serve them any more to
// their targets.
func (p *Planner) completeMoves(now time.Duration) []fleetstate.OwnershipChange {
	var changes []fleetstate.OwnershipChange
	for _, moving := range p.moves {
		if owner, ok := p.instances[moving.from]; ok && owner.leasedUntil == 0 {
			moving.freeAt = 0
		}
		if !moving.released && now <= moving.freeAt {
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

// target returns the wanted target, or the least loaded one where that is
// lost; nil is none.
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
