// Package keylease makes the leading controller's decisions about keys: which
// back end holds which range, for how long, and when a range moves. It does no
// I/O and reads no clock: events and readings of the leader's clock go in, leases
// and batches of ownership changes come out.
//
// # Why no key has two owners
//
// A gateway grants its back end only what its last lease lists, and lets each
// grant expire a second before that lease; a grant that was sent later than that is
// revoked. A range goes to another owner, through the replicated log and so under a
// higher fence, only after one of these:
//
//   - The gateway confirmed (fleetwire.Released) that its back end will not
//     serve the range again under its fence. The range has been left out of all
//     leases since the release was requested.
//   - Every lease that listed the range has expired at the leader. The gateway
//     counts a lease from when it sent its report, which is earlier.
//   - The gateway reported that all its grants have expired: those of the current
//     incarnation of its back end (fleetwire.Instance.Released), or those of earlier
//     ones (fleetwire.Report.EarlierOver).
//
// That a back end is unreachable, or that another incarnation of it is reported, frees
// no keys.
//
// A new leader does not know the leases that its predecessors gave. It assumes that
// every back end holds a full lease from the end of their leadership leases.
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
	// SettleTime is how long the first assignment of keys waits after the last new
	// back end appeared. It waits at most MaxSettleTime in all.
	SettleTime    time.Duration
	MaxSettleTime time.Duration
	// RebalanceInterval between two decisions about load.
	RebalanceInterval time.Duration
	// SilentAfter is how long after its last report a gateway is given no new keys.
	SilentAfter time.Duration
	// WarmUp is how long a new back end gets no keys by load balancing: long enough
	// that back ends which start together are known together. A cold one is slow for
	// some seconds longer, but keys only move away from owners that lack capacity.
	WarmUp time.Duration
}

// Defaults of Config.
const (
	DefaultLeaseDuration     = 8 * time.Second
	DefaultSettleTime        = 700 * time.Millisecond
	DefaultMaxSettleTime     = 3 * time.Second
	DefaultRebalanceInterval = 200 * time.Millisecond
	DefaultSilentAfter       = 2500 * time.Millisecond
	DefaultWarmUp            = 300 * time.Millisecond
)

func (c Config) withDefaults() Config {
	c.LeaseDuration = cmp.Or(c.LeaseDuration, DefaultLeaseDuration)
	c.SettleTime = cmp.Or(c.SettleTime, DefaultSettleTime)
	c.MaxSettleTime = cmp.Or(c.MaxSettleTime, DefaultMaxSettleTime)
	c.RebalanceInterval = cmp.Or(c.RebalanceInterval, DefaultRebalanceInterval)
	c.SilentAfter = cmp.Or(c.SilentAfter, DefaultSilentAfter)
	c.WarmUp = cmp.Or(c.WarmUp, DefaultWarmUp)
	return c
}

// Planner decides about keys during one term of leadership. It is not safe for
// concurrent use.
type Planner struct {
	config Config
	state  *fleetstate.State
	// earlierLeasesExpireAt is when the leases of earlier leaders have expired; began is when
	// this term began.
	earlierLeasesExpireAt time.Duration
	began                 time.Duration
	instances             map[string]*instance
	// nodes maps each gateway to the ID of its current instance.
	nodes map[string]string
	// superseded has, for each gateway, the earlier incarnations that may hold keys.
	superseded map[string][]string
	moves      []*move
	// usages are those of the current tick, by service.
	usages map[string]*usage
	// recentChanges are the ranges of the last batches.
	recentChanges []recentChange
	// inFlight is set while a proposed batch is neither applied nor lost.
	inFlight      bool
	nextRebalance time.Duration
	// revision counts changes of the instances.
	revision uint64
	// nodesToReport are the gateways that should send a report now.
	nodesToReport map[string]bool
}

// New returns the planner of a leader whose term began at now. The leadership leases
// of earlier terms ended at earlierEnd.
func New(config Config, state *fleetstate.State, earlierEnd, now time.Duration) *Planner {
	config = config.withDefaults()
	return &Planner{
		config:                config,
		state:                 state,
		began:                 now,
		earlierLeasesExpireAt: max(earlierEnd, 0) + config.LeaseDuration,
		instances:             map[string]*instance{},
		nodes:                 map[string]string{},
		superseded:            map[string][]string{},
		nodesToReport:         map[string]bool{},
	}
}

// AllReported reports whether every gateway has had the time to report.
func (p *Planner) AllReported(now time.Duration) bool { return now > p.began+p.config.SilentAfter }

// Report applies a gateway's report and returns its lease. The lease is empty if the
// gateway has no back end.
func (p *Planner) Report(report *fleetwire.Report, now time.Duration) *fleetwire.Lease {
	lease := &fleetwire.Lease{SentAt: report.SentAt}
	if report.Instance == nil {
		return lease
	}
	known := p.updateInstance(report.Instance, now)
	known.boot = report.Boot
	known.silent = report.Silent
	known.load.add(report.Load, now)
	known.runs.add(report.Runs, report.RunMicros, now)
	known.limitedSlots = report.LimitedSlots
	p.recordReleases(known, report.Released)
	if report.EarlierOver {
		p.releaseSuperseded(known)
	}
	lease.Instance = known.ID
	if known.State == fleetwire.InstanceGone {
		return lease
	}
	lease.Duration = p.config.LeaseDuration
	known.leasedUntil = now + p.config.LeaseDuration
	for _, owned := range p.state.Owners(known.Service).OwnedBy(known.ID) {
		if owned.Boot == known.boot {
			p.addToLease(lease, known, owned, now)
		}
	}
	return lease
}

// coverPeriod is how long after the start of a move the gateway may grant the range once
// more, under a higher fence, to invalidate unanswered grants. The move then waits for the
// end of that lease, too.
const coverPeriod = 3 * time.Second

// addToLease adds an owned range to a lease: parts that are moving away are to be
// released, the rest is held. A part whose next owner is in the log already is neither:
// granted once more, it would be held by two owners.
func (p *Planner) addToLease(lease *fleetwire.Lease, known *instance, owned keyspace.Assignment, now time.Duration) {
	rest := []keyspace.Range{owned.Range}
	for _, moving := range p.moves {
		if moving.service != known.Service || moving.from != known.ID || !owned.Overlaps(moving.held.Keys) {
			continue
		}
		if !moving.released && !moving.proposed {
			asked := moving.held
			if asked.MayCover = now < moving.began+coverPeriod; asked.MayCover {
				moving.leasesExpireAt = max(moving.leasesExpireAt, now+lease.Duration)
			}
			lease.Release = append(lease.Release, asked)
		}
		rest = subtract(rest, moving.held.Keys)
	}
	for _, keys := range rest {
		lease.Held = append(lease.Held, fleetwire.Held{Keys: keys, Fence: owned.Fence, Handover: owned.Handover})
	}
}

// BatchDone must be called once the batch in flight was applied or never will be.
func (p *Planner) BatchDone() {
	p.inFlight = false
	p.transferMeasuredLoad()
	p.moves = slices.DeleteFunc(p.moves, func(moving *move) bool { return moving.proposed })
}

// Tick returns the next batch to propose, or nil. The caller must call BatchDone for
// each batch.
func (p *Planner) Tick(now time.Duration) *fleetstate.ChangeOwnership {
	document := p.state.Document()
	if p.inFlight || document == nil {
		return nil
	}
	p.expireInstances(now)
	p.usages = map[string]*usage{}
	var batch fleetstate.ChangeOwnership
	for i := range document.Services {
		service := &document.Services[i]
		if !service.Keyed {
			continue
		}
		batch.Changes = append(batch.Changes, p.renewFences(service.Name)...)
		p.moveFromUnavailable(service.Name, now)
		batch.Changes = append(batch.Changes, p.firstOwners(service.Name, now)...)
		batch.Changes = append(batch.Changes, p.mergeRanges(service.Name, now)...)
		p.rebalance(service.Name, now)
	}
	batch.Changes = append(batch.Changes, p.completeMoves(now)...)
	if now >= p.nextRebalance {
		p.nextRebalance = now + p.config.RebalanceInterval
	}
	if len(batch.Changes) == 0 {
		return nil
	}
	p.inFlight = true
	p.recordChanges(&batch, now)
	for _, change := range batch.Changes {
		p.nodesToReport[change.Node] = true
	}
	return &batch
}

// TakeNodesToReport returns the gateways for which something has changed since the last call.
// They should report now.
func (p *Planner) TakeNodesToReport() map[string]bool {
	nodes := p.nodesToReport
	p.nodesToReport = map[string]bool{}
	return nodes
}

// Began returns when this term began.
func (p *Planner) Began() time.Duration { return p.began }
