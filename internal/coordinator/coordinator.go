package coordinator

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/loadtable"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Defaults of Config.
const (
	DefaultDecisionInterval    = time.Second
	DefaultMinDecisionInterval = 100 * time.Millisecond
	// DefaultMaxReleaseWait is about five times the duration of a typical export
	// request.
	DefaultMaxReleaseWait = 10 * time.Second
	DefaultWarmLimit      = 30 * time.Second
	DefaultDrainLimit     = 30 * time.Second
	DefaultSettleTime     = 300 * time.Millisecond
	DefaultMaxSettleTime  = 2 * time.Second
	DefaultStuckTimeout   = 10 * time.Second
	// leavingMaxReleaseWait bounds MaxReleaseWait for a back end that is leaving:
	// it has to stop taking new requests within a few seconds.
	leavingMaxReleaseWait = 2 * time.Second
	// MaxBatchSize is the largest number of ownership changes in one log entry.
	// At about 80 bytes each, the changes for a lost zone fit one entry.
	MaxBatchSize = 4096
	// releaseMargin is added to a service's drain limit before a move is
	// cancelled: the owner's agent enforces the limit itself.
	releaseMargin = 5 * time.Second
)

// Config configures a Coordinator. Zero fields take the defaults.
type Config struct {
	// LeaseDuration is how long each granted lease is valid.
	LeaseDuration time.Duration
	// DecisionInterval is the time between two placement decisions about load.
	// Lost back ends are handled at once.
	DecisionInterval time.Duration
	// MinDecisionInterval is the least time between two decisions, including
	// those made because a finished move lets a deferred one begin.
	MinDecisionInterval time.Duration
	// MaxReleaseWait is how long a move whose target is ready waits for
	// long-running requests at the owner, which keeps serving meanwhile.
	MaxReleaseWait time.Duration
	// StuckTimeout is how long an agent may lag behind a revision before its
	// lease is no longer renewed.
	StuckTimeout time.Duration
	// WarmLimit is how long a target may take to prepare a shard.
	WarmLimit time.Duration
	// SettleTime is how long the first assignment of a new service's shards is
	// delayed after the latest back end joined, so that the shards are spread
	// over all of them. MaxSettleTime bounds the delay after the first join.
	SettleTime    time.Duration
	MaxSettleTime time.Duration
	// Evaluate decides the moves; nil means placement.Evaluate. The lab sets it
	// to compare other policies.
	Evaluate func(placement.Input) placement.Decision
}

func (config Config) withDefaults() Config {
	setDefault(&config.LeaseDuration, ownership.DefaultLeaseDuration)
	setDefault(&config.DecisionInterval, DefaultDecisionInterval)
	setDefault(&config.MinDecisionInterval, DefaultMinDecisionInterval)
	setDefault(&config.MaxReleaseWait, DefaultMaxReleaseWait)
	setDefault(&config.WarmLimit, DefaultWarmLimit)
	setDefault(&config.StuckTimeout, DefaultStuckTimeout)
	setDefault(&config.SettleTime, DefaultSettleTime)
	setDefault(&config.MaxSettleTime, DefaultMaxSettleTime)
	if config.Evaluate == nil {
		config.Evaluate = placement.Evaluate
	}
	return config
}

func setDefault(field *time.Duration, value time.Duration) {
	if *field == 0 {
		*field = value
	}
}

// Coordinator decides for one leader. It is not safe for concurrent use: the
// goroutine that owns the state calls it.
type Coordinator struct {
	config Config
	state  *controlstate.State

	leading bool
	// leases is nil while not leading.
	leases *ownership.LeaseTable
	agents map[topology.BackendID]*agent
	loads  *loadtable.Table
	// routerReports holds when each router last reported.
	routerReports map[string]time.Duration
	// onLeavingMachine holds the back ends on machines that the platform lists as
	// leaving.
	onLeavingMachine map[topology.BackendID]bool

	// backendRemovedAt is when a back end was last removed; zero means never. If
	// its service was deleted as well, it may have served its shards until its
	// lease ended.
	backendRemovedAt time.Duration

	// inFlight is the batch that is proposed and not yet applied. revoking holds
	// the back ends that lose shards by it, or by a queued change, without having
	// released them.
	inFlight *controlstate.ChangeOwnership
	revoking map[topology.BackendID]bool
	// queued holds decided changes beyond MaxBatchSize, for the next batches.
	queued []controlstate.OwnershipChange

	moves map[topology.ShardID]*move
	// owners holds the last known owner of each shard; lastMoved and createdAt
	// hold when a shard changed owner or was created by a split in this term.
	owners    map[topology.ShardID]topology.BackendID
	lastMoved map[topology.ShardID]time.Duration
	createdAt map[topology.ShardID]time.Duration
	loadMoves map[topology.ServiceID][]time.Duration

	// revisions holds when recent revisions were applied, to detect agents that
	// are stuck at an old one.
	revisions revisionLog

	// nextDecisionAt is when placement is to be evaluated next and lastDecisionAt
	// when it was last evaluated.
	nextDecisionAt time.Duration
	lastDecisionAt time.Duration
	// durationPending is set between a decision and the next tick, which measures
	// how long the decision took. decisionPause is the least time from one
	// decision to the next; lossDecisionPause applies instead if a back end was
	// lost since (lossSinceDecision). moveEnded says that a move has ended since.
	durationPending                  bool
	decisionPause, lossDecisionPause time.Duration
	lossSinceDecision                bool
	moveEnded                        bool
	decision                         placement.Decision
	joins                            joinTracker
	statistics                       Statistics
}

// agent is what the leader knows about the agent process of a back end.
type agent struct {
	boot uint64
	// withoutRevision is set if the process had not applied any revision when it
	// attached.
	withoutRevision bool
	// requiredRevision is the revision that the process must have applied before
	// its lease is renewed.
	requiredRevision topology.Revision
	// leavingAt is when it announced a planned stop; zero means never.
	leavingAt time.Duration
	leaving   bool
	// lost says that its lease has ended, and lostAt when that was noticed.
	lostAt time.Duration
	lost   bool
	// liveSince is when it was granted a lease after having had none.
	liveSince time.Duration
}

// move is the progress of one move, as far as the leader knows it.
type move struct {
	epoch topology.Epoch
	phase topology.ShardPhase
	since time.Duration
	// warmed and released say that the target is ready and that the owner has
	// released the shard; failure is the target's error.
	warmed   bool
	released bool
	failure  string
}

// Statistics holds counters since the start of the process.
type Statistics struct {
	Renewals, RefusedRenewals uint64
	LeasesLapsed              uint64
	BatchesProposed           uint64
	MovesByKind               map[string]uint64
	MovesCancelled            uint64
}

// New returns a coordinator over the state that is not the leader yet.
func New(config Config, state *controlstate.State) *Coordinator {
	c := &Coordinator{config: config.withDefaults(), state: state}
	c.statistics.MovesByKind = make(map[string]uint64)
	c.StepDown()
	return c
}

// BecomeLeader starts a term at now. All entries of earlier terms must have been
// applied.
func (c *Coordinator) BecomeLeader(now time.Duration) { c.BecomeLeaderAfter(now, now) }

// BecomeLeaderAfter is like BecomeLeader, with the time by which the leader
// leases of all earlier terms have ended; zero means unknown.
func (c *Coordinator) BecomeLeaderAfter(earlierLeasesEnd, now time.Duration) {
	c.StepDown()
	if earlierLeasesEnd == 0 {
		earlierLeasesEnd = now
	}
	c.leading = true
	c.leases = ownership.NewLeaseTable(c.config.LeaseDuration, now)
	longest := max(c.config.LeaseDuration, c.state.MaxLease())
	c.leases.SetSettled(min(earlierLeasesEnd, now) + longest)
	c.revisions.add(c.state.Revision(), now)
	c.nextDecisionAt = now
	c.joins = joinTracker{services: make(map[topology.ServiceID]joinTimes)}
}

// StepDown ends the term and discards all state that is not in the log.
func (c *Coordinator) StepDown() {
	c.leading = false
	c.leases = nil
	c.agents = make(map[topology.BackendID]*agent)
	c.loads = loadtable.New()
	c.routerReports = make(map[string]time.Duration)
	c.onLeavingMachine = make(map[topology.BackendID]bool)
	c.inFlight = nil
	c.queued = nil
	c.revoking = make(map[topology.BackendID]bool)
	c.moves = make(map[topology.ShardID]*move)
	c.owners = make(map[topology.ShardID]topology.BackendID)
	c.lastMoved = make(map[topology.ShardID]time.Duration)
	c.createdAt = make(map[topology.ShardID]time.Duration)
	c.loadMoves = make(map[topology.ServiceID][]time.Duration)
	c.decision = placement.Decision{}
	c.moveEnded = false
	c.revisions = revisionLog{}
	c.backendRemovedAt = 0
	c.durationPending, c.lossSinceDecision = false, false
	c.decisionPause, c.lossDecisionPause = 0, 0
}

// Leading reports whether the coordinator acts as the leader.
func (c *Coordinator) Leading() bool { return c.leading }

// Live reports whether a back end holds a valid lease granted by this leader.
func (c *Coordinator) Live(backend topology.BackendID, now time.Duration) bool {
	return c.leading && c.leases.Live(backend, now)
}

// Pending returns the moves of the last placement decision that have not begun.
func (c *Coordinator) Pending() []placement.Move {
	var pending []placement.Move
	for _, move := range c.decision.Moves {
		shard, known := c.state.Shard(move.Shard)
		if known && shard.Owner == move.From && shard.Phase != topology.ShardWarming && shard.Phase != topology.ShardReleasing {
			pending = append(pending, move)
		}
	}
	return pending
}

// Findings returns the findings of the last placement decision for the operator.
func (c *Coordinator) Findings() []placement.Finding { return c.decision.Findings }

// ClaimsDiscounted returns how many reports of this term carried a claimed load
// that contradicted what was observed.
func (c *Coordinator) ClaimsDiscounted() uint64 { return c.loads.ContradictedClaims() }

// Load returns the observed load of a back end.
func (c *Coordinator) Load(backend topology.BackendID, now time.Duration) loadtable.Backend {
	return c.loads.Backend(backend, now)
}

// Statistics returns a copy of the counters.
func (c *Coordinator) Statistics() Statistics {
	copied := c.statistics
	copied.MovesByKind = make(map[string]uint64, len(c.statistics.MovesByKind))
	for kind, count := range c.statistics.MovesByKind {
		copied.MovesByKind[kind] = count
	}
	return copied
}

// RecordRouterLoad records a router's report on the load of back ends. The first
// report of a router in a term only starts its reporting interval.
func (c *Coordinator) RecordRouterLoad(router string, report *wire.RouterLoad, now time.Duration) {
	if !c.leading {
		return
	}
	last, known := c.routerReports[router]
	c.routerReports[router] = now
	if known && now > last {
		c.loads.RecordRouterReport(report, now-last, now)
	}
}

// SetLeavingMachines takes the back ends on machines that the platform lists as
// leaving; these are drained. The list may be out of date and is only a hint: a
// back end on it is never treated as lost for that reason.
func (c *Coordinator) SetLeavingMachines(leaving []topology.BackendID, now time.Duration) {
	listed := make(map[topology.BackendID]bool, len(leaving))
	for _, id := range leaving {
		listed[id] = true
		if !c.onLeavingMachine[id] {
			c.nextDecisionAt = now
		}
	}
	c.onLeavingMachine = listed
}
