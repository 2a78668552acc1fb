package consensus

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus/tracker"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Core runs the protocol for one replica. It performs no I/O: the driver passes
// in the time, messages and the outcome of writes, and Ready returns what to
// write, send and apply. It is not safe for concurrent use.
type Core struct {
	config Config
	now    time.Duration
	random *rand.Rand

	role      Role
	hardState HardState
	persisted HardState
	leader    topology.ReplicaID
	// leaderIncarnation is kept because the leader may not be in this replica's
	// membership yet.
	leaderIncarnation topology.Incarnation
	log               *entryLog
	// snapshot is the newest durable snapshot, which is sent to replicas that
	// lag behind the log.
	snapshot SnapshotMeta
	// installing is a received snapshot that is not yet durable.
	installing *Snapshot
	// memberships are those in the log, by ascending index; the last one is in
	// effect. The first is at or before the snapshot.
	memberships []membershipAt

	electionDeadline time.Duration
	leaderHeardAt    time.Duration
	// steppedDownAt is when this replica last lost leadership. earlierLeasesEnd
	// is the bound on earlier leader leases that an election computes from its
	// votes (earlierleases.go).
	steppedDownAt    time.Duration
	earlierLeasesEnd time.Duration
	votes            map[topology.ReplicaID]bool
	// transferVote marks an election that the leader asked for.
	transferVote bool
	// leaderSeen is set once this process has led or heard a leader;
	// coldStartElection marks an election for which no member's process has
	// (coldstart.go).
	leaderSeen        bool
	coldStartElection bool
	preVoteRound      preVoteRound
	// ackUpTo is the index to acknowledge to the leader once it is durable.
	ackUpTo uint64
	// matched is the index up to which the log is known to match the log of
	// this term's leader.
	matched uint64

	leading leaderState

	// run identifies this process among the replica's starts. recovery is the
	// progress of a start from an unproven disk. peerObservations holds the
	// durable state that each peer is known to have had.
	run              uint64
	recovery         recovery
	peerObservations map[topology.ReplicaID][]peerObservation
	// holdEntries withholds entries from Ready while the disk is full.
	holdEntries bool

	early    []Message
	messages []Message
	reads    []ReadState
}

type membershipAt struct {
	index      uint64
	membership Membership
}

// leaderState is the state that only a leader has.
type leaderState struct {
	peers map[topology.ReplicaID]*tracker.Progress
	// firstIndex is the index of the first entry of the leader's term.
	firstIndex       uint64
	electedAt        time.Duration
	coldStart        bool
	uncommittedBytes int
	// needAppend, needCommit and needRound batch work until the next Ready:
	// sending entries, sending the commit index and starting a heartbeat round.
	needAppend bool
	needCommit bool
	needRound  bool

	nextHeartbeat time.Duration
	round         uint64
	rounds        []heartbeatRound
	// confirmedRound is the newest round that a quorum answered, sent at
	// confirmedAt.
	confirmedRound uint64
	confirmedAt    time.Duration
	hasLease       bool

	queuedReads  []uint64
	pendingReads []pendingRead

	transfer transferState
}

type heartbeatRound struct {
	round  uint64
	sentAt time.Duration
}

// New returns a replica that starts from the durable state in config.
func New(config Config) (*Core, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	log, err := newEntryLog(config.Snapshot, config.Entries, config.HardState.Commit)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	c := &Core{
		config:           config,
		now:              config.Now,
		random:           rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		role:             roleTable.Initial(),
		hardState:        config.HardState,
		persisted:        config.HardState,
		log:              log,
		snapshot:         config.Snapshot,
		memberships:      []membershipAt{{config.Snapshot.Index, config.Snapshot.Membership}},
		leaderHeardAt:    config.Now,
		peerObservations: map[topology.ReplicaID][]peerObservation{},
	}
	c.run = c.random.Uint64() | 1
	c.hardState.Commit = log.committed
	c.config.Entries = nil
	if err := c.recordMemberships(log.entries); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	c.resetElectionDeadline()
	if config.Unproven {
		c.beginRecovery()
	}
	c.membershipChanged()
	if c.role == Follower {
		c.electionDeadline = c.coldStartDeadline(0)
	}
	return c, nil
}

// Tick passes in the current time, which must not go backwards.
func (c *Core) Tick(now time.Duration) {
	c.advanceClock(now)
	if c.role == Leader {
		c.tickLeader()
		return
	}
	c.tickRecovery()
	if c.now >= c.electionDeadline {
		c.resetElectionDeadline()
		c.fire(eventElectionTimeout)
	}
}

// advanceClock sets the time. After a pause of the process a follower extends
// its election deadline by the pause, because messages that the leader sent
// meanwhile have yet to be read. A leader checks first that it still has a
// quorum, since it may have been replaced.
func (c *Core) advanceClock(now time.Duration) {
	if now <= c.now {
		return
	}
	gap := now - c.now
	c.now = now
	if c.role == Leader {
		c.checkQuorum()
		return
	}
	if gap > c.config.HeartbeatInterval {
		c.electionDeadline += gap - c.config.HeartbeatInterval
	}
}

// Step handles a message. Messages for another group, replica or incarnation,
// and malformed ones, are dropped. An error means that the group's state is
// damaged; the process must then stop.
func (c *Core) Step(now time.Duration, m Message) error {
	if m.Group != c.config.Group || m.To != c.config.ID || m.ToIncarnation != c.config.Incarnation || !m.wellFormed() {
		return nil
	}
	if member, ok := c.Membership().Find(m.From); ok && member.Incarnation != m.FromIncarnation {
		return nil
	}
	c.advanceClock(now)
	switch m.Kind {
	case MessageRecovery:
		c.stepRecovery(m)
		return nil
	case MessageRecoveryResponse:
		return c.stepRecoveryResponse(m)
	}
	c.observeTerm(m)
	if m.Term > c.hardState.Term && !c.handleHigherTerm(m) {
		return nil
	}
	if m.Term < c.hardState.Term {
		c.respondToLowerTerm(m)
		return nil
	}
	return c.stepSameTerm(m)
}

// handleHigherTerm adopts the term of a message. It returns false if the message
// needs no further handling: a pre-vote request or response, whose term has not
// begun, or a vote request that is ignored while bound by a leader lease.
func (c *Core) handleHigherTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		c.stepPreVote(m)
		return false
	case MessagePreVoteResponse:
		if !m.Refused || m.UpFor > 0 {
			c.stepPreVoteResponse(m)
			return false
		}
	case MessageVote:
		if !m.Transfer && c.boundByLease() && !c.grantsColdStartVote(m) {
			return false
		}
	}
	leader := topology.ReplicaID(0)
	if fromLeader(m.Kind) {
		leader = m.From
	}
	c.adoptTerm(m.Term, leader)
	return true
}

func fromLeader(kind MessageKind) bool {
	return kind == MessageAppend || kind == MessageHeartbeat || kind == MessageSnapshot
}

// respondToLowerTerm tells a leader or candidate of an earlier term about the
// current one, so that it catches up.
func (c *Core) respondToLowerTerm(m Message) {
	switch {
	case fromLeader(m.Kind):
		c.send(Message{Kind: MessageAppendResponse, To: m.From, ToIncarnation: m.FromIncarnation, Refused: true, Rejected: m.LogIndex})
	case m.Kind == MessagePreVote:
		c.send(Message{Kind: MessagePreVoteResponse, To: m.From, ToIncarnation: m.FromIncarnation, Refused: true})
	}
}

func (c *Core) stepSameTerm(m Message) error {
	switch m.Kind {
	case MessagePreVote:
		c.stepPreVote(m)
	case MessagePreVoteResponse:
		c.stepPreVoteResponse(m)
	case MessageVote:
		c.stepVote(m)
	case MessageVoteResponse:
		if c.fromExpectedRun(m) {
			c.countVote(m.From, m.FromIncarnation, !m.Refused, m.SinceLeader)
		}
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return c.stepFromLeader(m)
	case MessageAppendResponse:
		c.stepAppendResponse(m)
	case MessageHeartbeatResponse:
		c.stepHeartbeatResponse(m)
	case MessageTimeoutNow:
		c.stepTimeoutNow(m)
	}
	return nil
}

// adoptTerm enters a higher term as a follower.
func (c *Core) adoptTerm(term uint64, leader topology.ReplicaID) {
	c.hardState.Term = term
	c.hardState.Vote = 0
	c.leader = leader
	c.ackUpTo, c.matched = 0, 0
	c.fire(eventLeaderHeard)
}

// follow is the chart action for becoming, or staying, a follower or non-voter.
func (c *Core) follow() {
	c.votes = nil
	c.transferVote, c.coldStartElection = false, false
	c.resetElectionDeadline()
	if c.inColdStart() {
		c.electionDeadline = c.coldStartDeadline(c.config.HeartbeatInterval)
	}
}

func (c *Core) resetElectionDeadline() {
	timeout := c.config.ElectionTimeout
	c.electionDeadline = c.now + timeout + time.Duration(c.random.Int64N(int64(timeout)))
}

// send queues a message, as an early one if it does not depend on unsynced
// writes.
func (c *Core) send(m Message) {
	m.Group = c.config.Group
	m.From = c.config.ID
	m.FromIncarnation = c.config.Incarnation
	m.Run = c.run
	if m.Term == 0 {
		m.Term = c.hardState.Term
	}
	if m.ToIncarnation == 0 {
		member, ok := c.Membership().Find(m.To)
		if !ok {
			return
		}
		m.ToIncarnation = member.Incarnation
	}
	if !c.hardStateChanged() && maySendEarly(m.Kind) {
		c.early = append(c.early, m)
		return
	}
	c.messages = append(c.messages, m)
}

func maySendEarly(kind MessageKind) bool {
	switch kind {
	case MessageVote, MessageVoteResponse, MessageAppendResponse:
		return false
	}
	return true
}

// HasReady reports whether Ready has any work for the driver.
func (c *Core) HasReady() bool {
	c.flush()
	return len(c.early) > 0 || len(c.messages) > 0 || len(c.reads) > 0 ||
		c.hardStateChanged() || c.installing != nil ||
		c.hasEntriesToWrite() || (c.installing == nil && c.log.committed > c.log.applied)
}

// hasEntriesToWrite reports whether Ready returns entries to write.
func (c *Core) hasEntriesToWrite() bool { return !c.holdEntries && c.log.stable < c.log.lastIndex() }

// HoldEntries withholds entries from Ready, or releases them again. The driver
// withholds them while its disk is full; hard states are still returned.
func (c *Core) HoldEntries(hold bool) { c.holdEntries = hold }

// hardStateChanged reports whether the term or the vote must be written. A
// changed commit index alone waits for the next write.
func (c *Core) hardStateChanged() bool {
	return c.hardState.Term != c.persisted.Term || c.hardState.Vote != c.persisted.Vote
}

// Ready returns the next work. Advance must be called before the next Ready.
func (c *Core) Ready() Ready {
	c.flush()
	ready := Ready{
		Early:     c.early,
		Messages:  c.messages,
		Reads:     c.reads,
		Snapshot:  c.installing,
		Committed: c.committedEntries(),
	}
	if c.hasEntriesToWrite() {
		ready.Entries = c.log.entriesFrom(c.log.stable+1, math.MaxInt)
	}
	if c.hardStateChanged() || len(ready.Entries) > 0 || ready.Snapshot != nil {
		// The commit index covers only entries that were durable before this
		// write: if there is no space for the new ones, the disk still holds
		// others at their indexes.
		hard := c.hardState
		hard.Commit = min(hard.Commit, c.log.stable)
		ready.HardState = &hard
	}
	c.early, c.messages, c.reads = nil, nil, nil
	return ready
}

// TakeEarly removes and returns the messages that may be sent while a write is
// in progress.
func (c *Core) TakeEarly() []Message {
	c.flush()
	early := c.early
	c.early = nil
	return early
}

// maxApplyBytes bounds the commands of one Ready, so that applying them does not
// delay heartbeats for long.
const maxApplyBytes = 1 << 20

// committedEntries returns the entries to apply next. An entry is committed once
// it is durable at a quorum, which need not include this replica.
func (c *Core) committedEntries() []Entry {
	if c.installing != nil || c.log.committed <= c.log.applied {
		return nil
	}
	entries := c.log.entriesFrom(c.log.applied+1, maxApplyBytes)
	return entries[:min(uint64(len(entries)), c.log.committed-c.log.applied)]
}

// Advance reports that the work of a Ready is done.
func (c *Core) Advance(ready Ready) {
	if ready.HardState != nil {
		c.persisted = *ready.HardState
	}
	if ready.Snapshot != nil && ready.Snapshot == c.installing {
		c.installing = nil
	}
	c.advanceStable(ready.Entries)
	c.maybeClearRequiredEnd()
	if count := len(ready.Committed); count > 0 {
		c.log.applied = max(c.log.applied, ready.Committed[count-1].Index)
	}
	c.countOwnVote()
	if c.role == Leader {
		c.maybeCommit()
	}
}

// advanceStable moves the durable end of the log to the last entry written,
// unless that entry has been replaced since.
func (c *Core) advanceStable(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	last := entries[len(entries)-1]
	if c.log.matches(last.Index, last.Term) {
		c.log.stable = max(c.log.stable, last.Index)
	}
}

// flush turns batched work into messages.
func (c *Core) flush() {
	if c.role == Leader {
		c.flushLeader()
		return
	}
	if c.ackUpTo > 0 && c.ackUpTo <= c.log.stable && c.installing == nil {
		c.send(Message{Kind: MessageAppendResponse, To: c.leader, ToIncarnation: c.leaderIncarnation, LogIndex: c.ackUpTo})
		c.ackUpTo = 0
	}
}

// Compact reports that a snapshot is durable. Entries before it are dropped,
// apart from the last retain ones.
func (c *Core) Compact(meta SnapshotMeta, retain uint64) {
	if meta.Index <= c.snapshot.Index {
		return
	}
	c.snapshot = meta
	if meta.Index > retain {
		c.log.compactTo(meta.Index - retain)
	}
	c.pruneMemberships()
}
