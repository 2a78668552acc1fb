// Package keylease makes the leading controller's decisions about keys: which
// back end holds which range, for how long, and when a range moves. It is
// pure: events and readings of the leader's clock go in, leases and batches of
// ownership changes come out.
//
// # Why no key has two owners
//
// A gateway grants its back end only what its last lease lists, and ends each
// grant a second before that lease; one that left later than that is taken back. A range goes to another owner, through the replicated log
// and so under a higher fence, only after one of these:
//
//   - The gateway promised (fleetwire.Released) that its back end will not
//     serve the range again under its fence. The range has been left out of all
//     leases since it was asked for.
//   - Every lease that listed the range has ended at the leader. The gateway
//     counts a lease from when it sent its report, which is earlier.
//   - The gateway said that the time of all that it granted has run out: that of the
//     present life (fleetwire.Instance.Released), or that of earlier ones
//     (fleetwire.Report.EarlierOver).
//
// That a back end can't be reached, or that another life of it is heard, frees nothing.
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
	// superseded has the earlier lives beside each gateway that may hold keys.
	superseded map[string][]string
	moves      []*move
	// usages are those of the present tick, by service.
	usages map[string]*usage
	// changed are the ranges of the last batches.
	changed []changedRange
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
		config:     config,
		state:      state,
		began:      now,
		settledAt:  max(earlierEnd, 0) + config.LeaseDuration,
		instances:  map[string]*instance{},
		nodes:      map[string]string{},
		superseded: map[string][]string{},
		concerned:  map[string]bool{},
	}
}

// Complete says that every gateway has had the time to report.
func (p *Planner) Complete(now time.Duration) bool { return now > p.began+p.config.SilentAfter }

// Report takes what a gateway tells and returns its lease, nil where there is
// nothing beside it.
func (p *Planner) Report(report *fleetwire.Report, now time.Duration) *fleetwire.Lease {
	lease := &fleetwire.Lease{SentAt: report.SentAt}
	if report.Instance == nil {
		return lease
	}
	told := p.learn(report.Instance, now)
	told.boot = report.Boot
	told.silent = report.Silent
	told.load.add(report.Load, now)
	told.runs.add(report.Runs, report.RunMicros, now)
	p.takeReleased(told, report.Released)
	if report.EarlierOver {
		p.earlierOver(told)
	}
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
// released, the rest is held. A range whose next owner is in the log already is neither:
// covered once more, it would be held beside that.
func (p *Planner) list(lease *fleetwire.Lease, told *instance, owned keyspace.Assignment, now time.Duration) {
	rest := []keyspace.Range{owned.Range}
	for _, moving := range p.moves {
		if moving.service != told.Service || moving.from != told.ID || !owned.Overlaps(moving.held.Keys) {
			continue
		}
		if !moving.released && !moving.proposed {
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

// BatchDone says that the batch in flight was applied or never will be.
func (p *Planner) BatchDone() {
	p.inFlight = false
	p.handLoadOver()
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
	p.usages = map[string]*usage{}
	var batch fleetstate.ChangeOwnership
	for i := range document.Services {
		service := &document.Services[i]
		if !service.Keyed {
			continue
		}
		batch.Changes = append(batch.Changes, p.renewFences(service.Name)...)
		p.takeFromEnded(service.Name, now)
		batch.Changes = append(batch.Changes, p.firstOwners(service.Name, now)...)
		batch.Changes = append(batch.Changes, p.joinRanges(service.Name, now)...)
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
	p.noteChanges(&batch, now)
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

// Began is when this term began.
func (p *Planner) Began() time.Duration { return p.began }
