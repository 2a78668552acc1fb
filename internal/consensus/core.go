package consensus

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus/tracker"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Core is one replica's part of the protocol. It is pure: time, messages and
// what was persisted come in, and Ready says what to write, send and apply.
// It is not safe for use by several goroutines.
type Core struct {
	config Config
	now    time.Duration
	random *rand.Rand

	role   Role
	hard   HardState
	saved  HardState
	leader topology.ReplicaID
	// leaderIncarnation is the leader's, who may not be in this replica's
	// membership yet.
	leaderIncarnation topology.Incarnation
	log               *entryLog
	// snapshot is the newest durable snapshot, the one that is sent.
	snapshot SnapshotMeta
	// installing is a received snapshot that is not durable yet.
	installing *Snapshot
	// memberships in the log, by ascending index; the last is in force. The
	// first is at or before the snapshot.
	memberships []membershipAt

	electionDeadline time.Duration
	leaderHeardAt    time.Duration
	// ledUntil is when this replica last lost leadership; earlierLeasesEnd is
	// what an election collects of earlier leaders (predecessor.go).
	ledUntil         time.Duration
	earlierLeasesEnd time.Duration
	votes            map[topology.ReplicaID]bool
	// transferVote marks the election as asked for by the leader.
	transferVote bool
	// leaderSeen says that this process has led or heard a leader; unledVote marks an
	// election that rests on no member having done so (unled.go).
	leaderSeen bool
	unledVote  bool
	unledRound unledRound
	// ackUpTo is the index to acknowledge to the leader once it is stable.
	ackUpTo uint64
	// matched is the index up to which the log is known to match the leader's
	// of this term.
	matched uint64

	leading leadership

	// run tells this start from others, recovery is what a start from an
	// unproven disk still waits for, marks is what others showed of their disks.
	run      uint64
	recovery recovery
	marks    map[topology.ReplicaID][]mark
	// holdEntries keeps entries back from Ready while the disk is full.
	holdEntries bool

	early    []Message
	messages []Message
	reads    []ReadState
}

type membershipAt struct {
	index      uint64
	membership Membership
}

// leadership is the state that only a leader has.
type leadership struct {
	peers map[topology.ReplicaID]*tracker.Progress
	// firstIndex is that of the entry that began the term.
	firstIndex       uint64
	electedAt        time.Duration
	startedAnew      bool
	uncommittedBytes int
	// appendWanted and roundWanted gather work until the next Ready.
	appendWanted bool
	commitWanted bool
	roundWanted  bool

	nextHeartbeat time.Duration
	round         uint64
	rounds        []roundStart
	// confirmed is the newest round that a quorum answered, sent at
	// confirmedAt.
	confirmed   uint64
	confirmedAt time.Duration
	hasLease    bool

	waitingReads []uint64
	pendingReads []pendingRead

	transfer transferState
}

type roundStart struct {
	round  uint64
	sentAt time.Duration
}

// New returns a replica that starts from what was durable.
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
		config:        config,
		now:           config.Now,
		random:        rand.New(rand.NewPCG(config.Seed, uint64(config.ID))),
		role:          roleTable.Initial(),
		hard:          config.HardState,
		saved:         config.HardState,
		log:           log,
		snapshot:      config.Snapshot,
		memberships:   []membershipAt{{config.Snapshot.Index, config.Snapshot.Membership}},
		leaderHeardAt: config.Now,
		marks:         map[topology.ReplicaID][]mark{},
	}
	c.run = c.random.Uint64() | 1
	c.hard.Commit = log.committed
	c.config.Entries = nil
	if err := c.noteMemberships(log.entries); err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	c.resetElectionDeadline()
	if config.Unproven {
		c.beginRecovery()
	}
	c.membershipChanged()
	if c.role == Follower {
		c.electionDeadline = c.unledDeadline(0)
	}
	return c, nil
}

// Tick tells the time. Times must not go back.
func (c *Core) Tick(now time.Duration) {
	c.advance(now)
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

// advance moves the clock. After a pause a follower waits anew, because what
// the leader sent meanwhile has yet to be read, and a leader that may have
// been replaced stops leading before anything else is done.
func (c *Core) advance(now time.Duration) {
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

// Step takes a message in. Messages for another group, replica or incarnation,
// and malformed ones, are dropped. An error means that the group's state is damaged: the process
// must end.
func (c *Core) Step(now time.Duration, m Message) error {
	if m.Group != c.config.Group || m.To != c.config.ID || m.ToIncarnation != c.config.Incarnation || !m.wellFormed() {
		return nil
	}
	if member, ok := c.Membership().Find(m.From); ok && member.Incarnation != m.FromIncarnation {
		return nil
	}
	c.advance(now)
	switch m.Kind {
	case MessageRecovery:
		c.answerRecovery(m)
		return nil
	case MessageRecoveryAnswer:
		return c.stepRecoveryAnswer(m)
	}
	c.noteMark(m)
	if m.Term > c.hard.Term && !c.meetHigherTerm(m) {
		return nil
	}
	if m.Term < c.hard.Term {
		c.answerLowerTerm(m)
		return nil
	}
	return c.stepSameTerm(m)
}

// meetHigherTerm adopts the term of a message, unless the message is about a
// term that has not begun. It returns false where the message is dropped.
func (c *Core) meetHigherTerm(m Message) bool {
	switch m.Kind {
	case MessagePreVote:
		c.answerPreVote(m)
		return false
	case MessagePreVoteAnswer:
		if !m.Refused || m.UpFor > 0 {
			c.countPreVote(m)
			return false
		}
	case MessageVote:
		if !m.Transfer && c.promisedToLeader() && !c.votesUnled(m) {
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

// answerLowerTerm tells a leader or candidate of an earlier term about this
// one, so that it does not stay behind.
func (c *Core) answerLowerTerm(m Message) {
	switch {
	case fromLeader(m.Kind):
		c.send(Message{Kind: MessageAppendAnswer, To: m.From, ToIncarnation: m.FromIncarnation, Refused: true, Rejected: m.LogIndex})
	case m.Kind == MessagePreVote:
		c.send(Message{Kind: MessagePreVoteAnswer, To: m.From, ToIncarnation: m.FromIncarnation, Refused: true})
	}
}

func (c *Core) stepSameTerm(m Message) error {
	switch m.Kind {
	case MessagePreVote:
		c.answerPreVote(m)
	case MessagePreVoteAnswer:
		c.countPreVote(m)
	case MessageVote:
		c.answerVote(m)
	case MessageVoteAnswer:
		if c.fromUnledRun(m) {
			c.countVote(m.From, m.FromIncarnation, !m.Refused, m.SinceLeader)
		}
	case MessageAppend, MessageHeartbeat, MessageSnapshot:
		return c.stepFromLeader(m)
	case MessageAppendAnswer:
		c.stepAppendAnswer(m)
	case MessageHeartbeatAnswer:
		c.stepHeartbeatAnswer(m)
	case MessageTimeoutNow:
		c.stepTimeoutNow(m)
	}
	return nil
}

// adoptTerm enters a higher term as a follower.
func (c *Core) adoptTerm(term uint64, leader topology.ReplicaID) {
	c.hard.Term = term
	c.hard.Vote = 0
	c.leader = leader
	c.ackUpTo, c.matched = 0, 0
	c.fire(eventLeaderHeard)
}

// follow is the action of becoming, or staying, a follower or non-voter.
func (c *Core) follow() {
	c.votes = nil
	c.transferVote, c.unledVote = false, false
	c.resetElectionDeadline()
	if c.startsUnled() {
		c.electionDeadline = c.unledDeadline(c.config.HeartbeatInterval)
	}
}

func (c *Core) resetElectionDeadline() {
	timeout := c.config.ElectionTimeout
	c.electionDeadline = c.now + timeout + time.Duration(c.random.Int64N(int64(timeout)))
}

// send queues a message, to be sent early where it depends on nothing that is
// not yet synced.
func (c *Core) send(m Message) {
	m.Group = c.config.Group
	m.From = c.config.ID
	m.FromIncarnation = c.config.Incarnation
	m.Run = c.run
	if m.Term == 0 {
		m.Term = c.hard.Term
	}
	if m.ToIncarnation == 0 {
		member, ok := c.Membership().Find(m.To)
		if !ok {
			return
		}
		m.ToIncarnation = member.Incarnation
	}
	if !c.hardChanged() && sentEarly(m.Kind) {
		c.early = append(c.early, m)
		return
	}
	c.messages = append(c.messages, m)
}

func sentEarly(kind MessageKind) bool {
	switch kind {
	case MessageVote, MessageVoteAnswer, MessageAppendAnswer:
		return false
	}
	return true
}

// HasReady reports whether Ready has work.
func (c *Core) HasReady() bool {
	c.flush()
	return len(c.early) > 0 || len(c.messages) > 0 || len(c.reads) > 0 ||
		c.hardChanged() || c.installing != nil ||
		c.writable() || (c.installing == nil && c.log.committed > c.log.applied)
}

// writable reports whether Ready offers entries to write.
func (c *Core) writable() bool { return !c.holdEntries && c.log.stable < c.log.lastIndex() }

// HoldEntries keeps entries back from Ready, or offers them again: the driver
// holds them while its disk is full. Hard states are still offered.
func (c *Core) HoldEntries(hold bool) { c.holdEntries = hold }

// hardChanged reports whether the term or the vote must be written. The commit
// index goes along with the next write.
func (c *Core) hardChanged() bool {
	return c.hard.Term != c.saved.Term || c.hard.Vote != c.saved.Vote
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
	if c.writable() {
		ready.Entries = c.log.from(c.log.stable+1, math.MaxInt)
	}
	if c.hardChanged() || len(ready.Entries) > 0 || ready.Snapshot != nil {
		// The commit index names only what was durable before this write: without
		// space for the entries the disk still holds others at their indexes.
		hard := c.hard
		hard.Commit = min(hard.Commit, c.log.stable)
		ready.HardState = &hard
	}
	c.early, c.messages, c.reads = nil, nil, nil
	return ready
}

// TakeEarly returns the messages that need not wait for a write in progress.
func (c *Core) TakeEarly() []Message {
	c.flush()
	early := c.early
	c.early = nil
	return early
}

// maxApplyBytes bounds the commands of one Ready, so that applying does not
// hold up heartbeats for long.
const maxApplyBytes = 1 << 20

// committedEntries returns what may be applied. An entry is committed once a
// quorum holds it, which need not include this replica's own disk.
func (c *Core) committedEntries() []Entry {
	if c.installing != nil || c.log.committed <= c.log.applied {
		return nil
	}
	entries := c.log.from(c.log.applied+1, maxApplyBytes)
	return entries[:min(uint64(len(entries)), c.log.committed-c.log.applied)]
}

// Advance tells that the work of a Ready is done.
func (c *Core) Advance(ready Ready) {
	if ready.HardState != nil {
		c.saved = *ready.HardState
	}
	if ready.Snapshot != nil && ready.Snapshot == c.installing {
		c.installing = nil
	}
	c.noteStable(ready.Entries)
	c.leaveFloor()
	if count := len(ready.Committed); count > 0 {
		c.log.applied = max(c.log.applied, ready.Committed[count-1].Index)
	}
	c.countOwnVote()
	if c.role == Leader {
		c.maybeCommit()
	}
}

// noteStable moves the durable end of the log, unless what was written has
// been replaced meanwhile.
func (c *Core) noteStable(entries []Entry) {
	if len(entries) == 0 {
		return
	}
	last := entries[len(entries)-1]
	if c.log.matches(last.Index, last.Term) {
		c.log.stable = max(c.log.stable, last.Index)
	}
}

// flush turns gathered work into messages.
func (c *Core) flush() {
	if c.role == Leader {
		c.flushLeader()
		return
	}
	if c.ackUpTo > 0 && c.ackUpTo <= c.log.stable && c.installing == nil {
		c.send(Message{Kind: MessageAppendAnswer, To: c.leader, ToIncarnation: c.leaderIncarnation, LogIndex: c.ackUpTo})
		c.ackUpTo = 0
	}
}

// Compact tells that a snapshot is durable. Entries up to retain entries
// before it are dropped.
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
