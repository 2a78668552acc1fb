// Package keylease makes the leading controller's decisions about keys: which
// back end holds which range, for how long, and when a range moves. It is
// pure: events and readings of the leader's clock go in, leases and batches of
// ownership changes come out.
//
// # Why no key has two owners
//
// A gateway grants its back end only what its last lease lists, and never
// beyond that lease. A range goes to another owner, through the replicated log
// and so under a higher fence, only after one of these:
//
//   - The gateway promised (fleetwire.Released) that its back end will not
//     serve the range again under its fence. The range has been left out of all
//     leases since it was asked for.
//   - Every lease that listed the range has ended at the leader. The gateway
//     counts a lease from when it sent its report, which is earlier.
//   - The back end's life has ended, as its gateway saw.
//
// A new leader does not know the leases of its predecessors. It counts every
// back end as leased for one duration from the end of their leader leases.
package keylease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/fleetstate"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/keyspace"
)

// Config of a Planner, in durations of the leader's clock.
type Config struct {
	// LeaseDuration of a gateway's lease.
	LeaseDuration time.Duration
	// SettleTime is how long the first owners wait after the last new back end
	// came, at most LongestSettle.
	SettleTime    time.Duration
	LongestSettle time.Duration
	// RebalanceInterval between two decisions about load.
	RebalanceInterval time.Duration
	// SilentAfter is when a gateway that sends no reports is given nothing new.
	SilentAfter time.Duration
	// WarmUp is how long a new back end is not given keys for its load's sake: long
	// enough for those that come together to be known together. A cold one is slow
	// for some seconds, but owners give keys only where they lack room.
	WarmUp time.Duration
}

// Defaults of Config.
const (
	DefaultLeaseDuration     = 8 * time.Second
	DefaultSettleTime        = 700 * time.Millisecond
	DefaultLongestSettle     = 3 * time.Second
	DefaultRebalanceInterval = 200 * time.Millisecond
	DefaultSilentAfter       = 2500 * time.Millisecond
	DefaultWarmUp            = 300 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.LeaseDuration = cmp.Or(c.LeaseDuration, DefaultLeaseDuration)
	c.SettleTime = cmp.Or(c.SettleTime, DefaultSettleTime)
	c.LongestSettle = cmp.Or(c.LongestSettle, DefaultLongestSettle)
	c.RebalanceInterval = cmp.Or(c.RebalanceInterval, DefaultRebalanceInterval)
	c.SilentAfter = cmp.Or(c.SilentAfter, DefaultSilentAfter)
	c.WarmUp = cmp.Or(c.WarmUp, DefaultWarmUp)
	return c
}

// instance is what the leader knows of one life of a back end.
type instance struct {
	fleetwire.Instance
	firstSeen time.Duration
	heardAt   time.Duration
	// leasedUntil is when the last lease given to it ends.
	leasedUntil time.Duration
	load        loadTable
	// boot is the gateway's process that was heard last.
	boot uint64
}

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

// Planner decides for one term of leadership. It is not safe for concurrent
// use.
type Planner struct {
	config Config
	state  *fleetstate.State
	// settledAt is when the leases of earlier leaders have ended; began is when
	// this term began.
	settledAt time.Duration
	began     time.Duration
	instances map[string]*instance
	// nodes has the instance beside each gateway.
	nodes map[string]string
	moves []*move
	// inFlight is set while a batch is on its way through the log.
	inFlight    bool
	rebalanceAt time.Duration
	// revision counts changes of the instances.
	revision uint64
	// concerned are the gateways that should report.
	concerned map[string]bool
}

// New returns the planner of a leader that began at now, where the leader
// leases of earlier terms ended at earlierEnd.
func New(config Config, state *fleetstate.State, earlierEnd, now time.Duration) *Planner {
	config = config.withDefaults()
	return &Planner{
		config:    config,
		state:     state,
		began:     now,
		settledAt: max(earlierEnd, 0) + config.LeaseDuration,
		instances: map[string]*instance{},
		nodes:     map[string]string{},
		concerned: map[string]bool{},
	}
}

// Revision counts changes of what Instances returns.
func (p *Planner) Revision() uint64 { return p.revision }

// Complete says that every gateway has had the time to report.
func (p *Planner) Complete(now time.Duration) bool { return now > p.began+p.config.SilentAfter }

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

// Report takes what a gateway tells and returns its lease, nil where there is
// nothing beside it.
func (p *Planner) Report(report *fleetwire.Report, now time.Duration) *fleetwire.Lease {
	lease := &fleetwire.Lease{SentAt: report.SentAt}
	if report.Instance == nil {
		return lease
	}
	told := p.learn(report.Instance, now)
	told.boot = report.Boot
	told.load.add(report.Load, now)
	p.takeReleased(told, report.Released)
	lease.Instance = told.ID
	if told.State == fleetwire.InstanceGone {
		return lease
	}
	lease.Duration = p.config.LeaseDuration
	told.leasedUntil = now + p.config.LeaseDuration
	for _, owned := range p.state.Owners(told.Service).OwnedBy(told.ID) {
		if owned.Boot == told.boot {
			p.list(lease, told, owned, now)
		}
	}
	return lease
}

// coverFor is how long after its begin a move lets the gateway grant the range
// once more to make unanswered grants harmless. Such a lease counts for it.
const coverFor = 3 * time.Second

// list adds an owned range to a lease: what is on its way elsewhere is to be
// released, the rest is held.
func (p *Planner) list(lease *fleetwire.Lease, told *instance, owned keyspace.Assignment, now time.Duration) {
	rest := []keyspace.Range{owned.Range}
	for _, moving := range p.moves {
		if moving.service != told.Service || moving.from != told.ID || !owned.Overlaps(moving.held.Keys) {
			continue
		}
		if !moving.released {
			asked := moving.held
			if asked.MayCover = now < moving.began+coverFor; asked.MayCover {
				moving.freeAt = max(moving.freeAt, now+lease.Duration)
			}
			lease.Release = append(lease.Release, asked)
		}
		rest = subtract(rest, moving.held.Keys)
	}
	for _, keys := range rest {
		lease.Held = append(lease.Held, fleetwire.Held{Keys: keys, Fence: owned.Fence, Handover: owned.Handover})
	}
}

func subtract(ranges []keyspace.Range, taken keyspace.Range) []keyspace.Range {
	var rest []keyspace.Range
	for _, keys := range ranges {
		rest = append(rest, keys.Without(taken)...)
	}
	return rest
}

// learn keeps the newest that was told of an instance.
func (p *Planner) learn(told *fleetwire.Instance, now time.Duration) *instance {
	known, ok := p.instances[told.ID]
	if !ok {
		known = &instance{Instance: *told, firstSeen: now, leasedUntil: p.settledAt}
		p.instances[told.ID] = known
		p.revision++
	}
	p.succeed(told)
	known.heardAt = now
	newer := *told
	if newer.Sequence < known.Sequence {
		// An older word, kept by a gateway that has just started.
		newer.State, newer.Sequence = known.State, known.Sequence
	}
	if newer != known.Instance {
		visible := newer.State != known.State || newer.Address != known.Address || newer.Slots != known.Slots || newer.Leaving != known.Leaving
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

// succeed ends the earlier lives of the back end beside a gateway, also those
// that only the owners of keys tell of.
func (p *Planner) succeed(told *fleetwire.Instance) {
	earlier := p.nodes[told.Node]
	if earlier == told.ID {
		return
	}
	p.nodes[told.Node] = told.ID
	if known := p.instances[earlier]; known != nil {
		p.end(known)
	}
	for service, owners := range p.state.AllOwners() {
		for _, owned := range owners.All() {
			if owned.Node == told.Node && owned.Owner != told.ID && p.instances[owned.Owner] == nil {
				ended := &instance{Instance: fleetwire.Instance{ID: owned.Owner, Service: service, Node: owned.Node}}
				p.instances[owned.Owner] = ended
				p.end(ended)
			}
		}
	}
}

// end says that an instance's process has ended.
func (p *Planner) end(known *instance) {
	known.State = fleetwire.InstanceGone
	known.Released = true
	known.leasedUntil = 0
	p.revision++
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

// BatchDone says that the batch in flight was applied or never will be.
func (p *Planner) BatchDone() {
	p.inFlight = false
	p.moves = slices.DeleteFunc(p.moves, func(moving *move) bool { return moving.proposed })
}

// Tick returns the next batch to propose, or nothing. The caller answers each
// batch with BatchDone.
func (p *Planner) Tick(now time.Duration) *fleetstate.ChangeOwnership {
	document := p.state.Document()
	if p.inFlight || document == nil {
		return nil
	}
	p.forget(now)
	var batch fleetstate.ChangeOwnership
	for i := range document.Services {
		service := &document.Services[i]
		if !service.Keyed {
			continue
		}
		batch.Changes = append(batch.Changes, p.renewFences(service.Name)...)
		p.takeFromEnded(service.Name, now)
		batch.Changes = append(batch.Changes, p.firstOwners(service.Name, now)...)
		p.rebalance(service.Name, now)
	}
	batch.Changes = append(batch.Changes, p.completeMoves(now)...)
	if now >= p.rebalanceAt {
		p.rebalanceAt = now + p.config.RebalanceInterval
	}
	if len(batch.Changes) == 0 {
		return nil
	}
	p.inFlight = true
	for _, change := range batch.Changes {
		p.concerned[change.Node] = true
	}
	return &batch
}

// Concerned returns and forgets the gateways for which something has changed, so
// that they should report now.
func (p *Planner) Concerned() map[string]bool {
	concerned := p.concerned
	p.concerned = map[string]bool{}
	return concerned
}

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
// their IDs.
func (p *Planner) targets(service string, now time.Duration) []*instance {
	var found []*instance
	for _, known := range p.instances {
		if known.Service == service && known.State == fleetwire.InstanceReady && now < known.heardAt+p.config.SilentAfter {
			found = append(found, known)
		}
	}
	slices.SortFunc(found, func(a, b *instance) int { return cmp.Compare(a.ID, b.ID) })
	return found
}

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
	targets := p.targets(service, now)
	if len(targets) == 0 {
		return
	}
	for _, assignment := range p.state.Owners(service).All() {
		if assignment.Owner == "" || !p.ends(assignment.Owner, now) {
			continue
		}
		candidates := targets
		if successor := p.successor(service, assignment, targets); successor != nil {
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
func (p *Planner) successor(service string, ended keyspace.Assignment, targets []*instance) *instance {
	for _, target := range targets {
		if target.Node == ended.Node && len(p.state.Owners(service).OwnedBy(target.ID)) == 0 {
			return target
		}
	}
	return nil
}

// ends says that an owner should lose its keys: it drains, it has ended, or its
// lease ran out.
func (p *Planner) ends(owner string, now time.Duration) bool {
	known, ok := p.instances[owner]
	if !ok {
		return now > p.settledAt
	}
	if known.State != fleetwire.InstanceReady {
		return true
	}
	return now > known.leasedUntil
}

// notMoving returns the parts of a range that are in no move.
func (p *Planner) notMoving(service string, keys keyspace.Range) []keyspace.Range {
	rest := []keyspace.Range{keys}
	for _, moving := range p.moves {
		if moving.service == service {
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
	ordered := p.byLoad(service, targets)
	parts := divide(keys, min(len(ordered), 1+keys.Size()/wholeRange))
	for i, part := range parts {
		p.begin(service, from, part, ordered[i].ID, now)
	}
}

// begin starts a move. From now on no lease lists the range.
func (p *Planner) begin(service string, from keyspace.Assignment, keys keyspace.Range, to string, now time.Duration) {
	freeAt := p.settledAt
	if owner, ok := p.instances[from.Owner]; ok {
		freeAt = owner.leasedUntil
	}
	p.concerned[from.Node] = true
	p.moves = append(p.moves, &move{
		service: service,
		held:    fleetwire.Held{Keys: keys, Fence: from.Fence},
		from:    from.Owner,
		began:   now,
		to:      to,
		freeAt:  freeAt,
	})
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
		moving.proposed = true
		changes = append(changes, fleetstate.OwnershipChange{
			Service: moving.service, Keys: moving.held.Keys, From: moving.from, To: to.ID, Node: to.Node, Boot: to.boot, Handover: moving.handover,
		})
	}
	return changes
}

// target returns the wanted target, or the least loaded one where that is
// lost; nil is none.
func (p *Planner) target(moving *move, now time.Duration) *instance {
	targets := p.targets(moving.service, now)
	for _, candidate := range targets {
		if candidate.ID == moving.to {
			return candidate
		}
	}
	if len(targets) == 0 {
		return nil
	}
	return p.byLoad(moving.service, targets)[0]
}

// Began is when this term began.
func (p *Planner) Began() time.Duration { return p.began }
