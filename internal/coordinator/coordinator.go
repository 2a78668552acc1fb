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
	DefaultDecideInterval = time.Second
	DefaultDecideAgain    = 100 * time.Millisecond
	// DefaultReleasePatience is about five times the length of a usual export.
	DefaultReleasePatience = 10 * time.Second
	DefaultWarmLimit       = 30 * time.Second
	DefaultDrainLimit      = 30 * time.Second
	DefaultSettleTime      = 300 * time.Millisecond
	DefaultLongestSettle   = 2 * time.Second
	DefaultStuckAfter      = 10 * time.Second
	// leavingPatience bounds ReleasePatience for a back end that leaves, which
	// is to take no new work after a few seconds.
	leavingPatience = 2 * time.Second
	// MaximumBatch is how many changes of ownership one log entry holds, at
	// about 80 bytes each: those of a zone that is lost fit one.
	MaximumBatch = 4096
	// releaseSlack is added to a service's drain limit before a move is given
	// up: the owner's agent enforces the limit itself.
	releaseSlack = 5 * time.Second
)

// Config of a Coordinator. Zero fields take the defaults.
type Config struct {
	// LeaseDuration for which leases are granted.
	LeaseDuration time.Duration
	// DecideInterval between two decisions about load. Losses are decided at
	// once.
	DecideInterval time.Duration
	// DecideAgain is the least time between two decisions, also where moves wait for
	// the room that ended ones have made.
	DecideAgain time.Duration
	// ReleasePatience is how long a move whose target is ready waits for long
	// requests at the owner, which goes on serving.
	ReleasePatience time.Duration
	// StuckAfter is how long an agent may renew without a revision in force
	// before it gets no lease any more.
	StuckAfter time.Duration
	// WarmLimit is how long a target may take to prepare a shard.
	WarmLimit time.Duration
	// SettleTime is how long the first owners of a new service's shards wait
	// after the last new back end came, at most LongestSettle, so that they are
	// spread over all of them.
	SettleTime    time.Duration
	LongestSettle time.Duration
	// Evaluate decides the moves; nil is placement.Evaluate. The lab compares
	// other policies.
	Evaluate func(placement.Input) placement.Decision
}

func (config Config) withDefaults() Config {
	setDefault(&config.LeaseDuration, ownership.DefaultLeaseDuration)
	setDefault(&config.DecideInterval, DefaultDecideInterval)
	setDefault(&config.DecideAgain, DefaultDecideAgain)
	setDefault(&config.ReleasePatience, DefaultReleasePatience)
	setDefault(&config.WarmLimit, DefaultWarmLimit)
	setDefault(&config.StuckAfter, DefaultStuckAfter)
	setDefault(&config.SettleTime, DefaultSettleTime)
	setDefault(&config.LongestSettle, DefaultLongestSettle)
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
	machines      map[topology.BackendID]bool

	// removedAt is when a back end was last removed, zero is never. With its
	// service gone it may have owned shards until its lease ended.
	removedAt time.Duration

	// inFlight is the batch on its way through the log, revoking the back ends
	// that lose shards by it without their promise.
	inFlight *controlstate.ChangeOwnership
	revoking map[topology.BackendID]bool
	// waiting are decided steps beyond MaximumBatch, for the next batches.
	waiting []controlstate.OwnershipChange

	moves map[topology.ShardID]*move
	// owners are the shards' owners as last seen; lastMoved and createdAt are
	// when shards changed owner or were made by a split, in this term.
	owners    map[topology.ShardID]topology.BackendID
	lastMoved map[topology.ShardID]time.Duration
	createdAt map[topology.ShardID]time.Duration
	loadMoves map[topology.ServiceID][]time.Duration

	// commits are the latest revisions of this term, which lagging agents miss.
	commits commits

	// decideAt is when placement is asked next, decidedAt when it was last, and
	// roomMade says that a move has ended since.
	decideAt  time.Duration
	decidedAt time.Duration
	// deciding is set from a decision to the next tick; pause is the least time
	// between this decision and the next, lossPause where a back end was lost
	// since.
	deciding         bool
	pause, lossPause time.Duration
	lossPending      bool
	roomMade         bool
	decision         placement.Decision
	settling         settling
	statistics       Statistics
}

// agent is what the leader knows of the process beside a back end.
type agent struct {
	boot uint64
	// fresh processes had nothing in force when they came.
	fresh bool
	// required is the revision that the process must have in force before its
	// lease is renewed.
	required topology.Revision
	// leavingAt is when it announced a planned stop; zero is never.
	leavingAt time.Duration
	leaving   bool
	// lostAt is when its lease was found to have ended; lost tells whether it
	// has.
	lostAt time.Duration
	lost   bool
	// liveSince is when it got its present lease.
	liveSince time.Duration
}

// move is what the leader knows of a move in progress.
type move struct {
	epoch topology.Epoch
	phase topology.ShardPhase
	since time.Duration
	// warmed and released are the agents' answers.
	warmed   bool
	released bool
	failure  string
}

// Statistics counts what happened since the process started.
type Statistics struct {
	Renewals, RefusedRenewals uint64
	LeasesLapsed              uint64
	BatchesProposed           uint64
	MovesByKind               map[string]uint64
	MovesCancelled            uint64
}

// New returns a coordinator over the state, which does not lead.
func New(config Config, state *controlstate.State) *Coordinator {
	c := &Coordinator{config: config.withDefaults(), state: state}
	c.statistics.MovesByKind = make(map[string]uint64)
	c.StepDown()
	return c
}

// BecomeLeader starts a term. All entries of earlier terms must be applied.
func (c *Coordinator) BecomeLeader(now time.Duration) { c.BecomeLeaderAfter(now, now) }

// BecomeLeaderAfter is BecomeLeader where it is known by when the leader leases
// of all earlier terms have ended. Zero is not known.
func (c *Coordinator) BecomeLeaderAfter(earlierLeasesEnd, now time.Duration) {
	c.StepDown()
	if earlierLeasesEnd == 0 {
		earlierLeasesEnd = now
	}
	c.leading = true
	c.leases = ownership.NewLeaseTable(c.config.LeaseDuration, now)
	longest := max(c.config.LeaseDuration, c.state.LongestLease())
	c.leases.SetSettled(min(earlierLeasesEnd, now) + longest)
	c.commits.add(c.state.Revision(), now)
	c.decideAt = now
	c.settling = settling{services: make(map[topology.ServiceID]period)}
}

// StepDown ends a term. Everything that the leader alone knew is forgotten.
func (c *Coordinator) StepDown() {
	c.leading = false
	c.leases = nil
	c.agents = make(map[topology.BackendID]*agent)
	c.loads = loadtable.New()
	c.routerReports = make(map[string]time.Duration)
	c.machines = make(map[topology.BackendID]bool)
	c.inFlight = nil
	c.waiting = nil
	c.revoking = make(map[topology.BackendID]bool)
	c.moves = make(map[topology.ShardID]*move)
	c.owners = make(map[topology.ShardID]topology.BackendID)
	c.lastMoved = make(map[topology.ShardID]time.Duration)
	c.createdAt = make(map[topology.ShardID]time.Duration)
	c.loadMoves = make(map[topology.ServiceID][]time.Duration)
	c.decision = placement.Decision{}
	c.roomMade = false
	c.commits = commits{}
	c.removedAt = 0
	c.deciding, c.lossPending = false, false
	c.pause, c.lossPause = 0, 0
}

// Leading reports whether the coordinator acts as the leader.
func (c *Coordinator) Leading() bool { return c.leading }

// Live reports whether a back end holds a lease of this leader.
func (c *Coordinator) Live(backend topology.BackendID, now time.Duration) bool {
	return c.leading && c.leases.Live(backend, now)
}

// Pending returns the moves of placement's last decision that were not begun.
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

// Findings returns what placement wants the operator to know.
func (c *Coordinator) Findings() []placement.Finding { return c.decision.Findings }

// ClaimsDiscounted returns how many reports of this term carried a claimed load
// that contradicted what was observed.
func (c *Coordinator) ClaimsDiscounted() uint64 { return c.loads.ContradictedClaims() }

// Load returns what was observed of a back end.
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

// RouterLoad takes what a router saw of back ends.
func (c *Coordinator) RouterLoad(router string, report *wire.RouterLoad, now time.Duration) {
	if !c.leading {
		return
	}
	last, known := c.routerReports[router]
	c.routerReports[router] = now
	if known && now > last {
		c.loads.RecordRouterReport(report, now-last, now)
	}
}

// MachineList takes the platform's list of leaving machines, a hint that lags:
// the back ends beside them are drained. It never proves that one is gone.
func (c *Coordinator) MachineList(leaving []topology.BackendID, now time.Duration) {
	listed := make(map[topology.BackendID]bool, len(leaving))
	for _, id := range leaving {
		listed[id] = true
		if !c.machines[id] {
			c.decideAt = now
		}
	}
	c.machines = listed
}
