package consensus

import (
	"math"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus/tracker"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// beginLeading is the action of a won election. An entry of the new term is
// appended, since only by committing one the earlier entries are known to be
// committed (Ongaro, section 3.6.2).
func (c *Core) beginLeading() {
	c.leader, c.leaderSeen = c.config.ID, true
	c.votes = nil
	startedAnew := c.unledVote
	c.transferVote, c.unledVote = false, false
	c.leading = leadership{
		startedAnew:   startedAnew,
		peers:         map[topology.ReplicaID]*tracker.Progress{},
		firstIndex:    c.log.lastIndex() + 1,
		electedAt:     c.now,
		nextHeartbeat: c.now,
	}
	c.trackMembers()
	c.appendOwn(EntryNoop, nil)
	c.beginRound()
}

// stopLeading is the action of losing leadership.
func (c *Core) stopLeading() {
	if c.leader == c.config.ID {
		c.leader = 0
	}
	c.failReads()
	c.ledUntil = c.now
	c.leading = leadership{}
	c.resetElectionDeadline()
}

// Propose appends a command at the leader. It is committed once the entry at
// index is committed with this term.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if err := c.mayPropose(); err != nil {
		return 0, 0, err
	}
	if c.leading.uncommittedBytes > c.config.MaxUncommittedBytes {
		return 0, 0, ErrTooMuchInFlight
	}
	index, term = c.appendOwn(EntryCommand, data)
	return index, term, nil
}

func (c *Core) mayPropose() error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.leading.transfer.target != 0 {
		return ErrTransferring
	}
	return nil
}

// ProposeMembership appends a membership change, which is in force at once.
// One change may be uncommitted at a time, and only after the leader has
// committed an entry of its own term.
func (c *Core) ProposeMembership(change Change) (index, term uint64, err error) {
	if err := c.mayPropose(); err != nil {
		return 0, 0, err
	}
	if c.log.committed < c.leading.firstIndex {
		return 0, 0, ErrTermNotCommitted
	}
	if c.memberships[len(c.memberships)-1].index > c.log.committed {
		return 0, 0, ErrChangeInProgress
	}
	membership, change, err := c.Membership().With(change)
	if err != nil {
		return 0, 0, err
	}
	if change.Kind == Promote && !c.caughtUp(change.Member.ID) {
		return 0, 0, ErrNotCaughtUp
	}
	index, term = c.appendOwn(EntryMembership, encodeMembership(membership))
	c.memberships = append(c.memberships, membershipAt{index, membership})
	c.membershipChanged()
	return index, term, nil
}

// caughtUp reports whether a member durably holds all that is committed.
func (c *Core) caughtUp(id topology.ReplicaID) bool {
	progress, ok := c.leading.peers[id]
	return ok && progress.Match >= c.log.committed
}

func (c *Core) appendOwn(kind EntryKind, data []byte) (index, term uint64) {
	entry := Entry{Index: c.log.lastIndex() + 1, Term: c.hard.Term, Kind: kind, Data: data}
	c.log.append(entry)
	c.leading.uncommittedBytes += len(data)
	c.leading.appendWanted = true
	return entry.Index, entry.Term
}

func (c *Core) tickLeader() {
	c.tickTransfer()
	if c.role == Leader && c.now >= c.leading.nextHeartbeat {
		c.leading.roundWanted = true
	}
}

// checkQuorum ends leadership when no quorum has answered within the election
// timeout. A replica that is a quorum alone needs no answer.
func (c *Core) checkQuorum() {
	if membership := c.Membership(); membership.Quorum() == 1 && membership.IsVoter(c.config.ID) {
		return
	}
	heardAt := max(c.leading.electedAt, c.leading.confirmedAt)
	if c.now >= heardAt+c.config.ElectionTimeout {
		c.fire(eventQuorumLost)
	}
}

// leaseUntil is when the leader lease ends: until then no other replica can
// have been elected. A quorum answered a heartbeat sent at confirmedAt, and
// each of it refuses votes for an election timeout after it received that
// heartbeat; the part for clock drift is taken off.
func (c *Core) leaseUntil() time.Duration {
	if c.role != Leader || !c.leading.hasLease || c.leading.transfer.target != 0 {
		return 0
	}
	timeout := float64(c.config.ElectionTimeout)
	return c.leading.confirmedAt + time.Duration(timeout*(1-c.config.MaxClockDrift))
}

// beginRound sends heartbeats to all members.
func (c *Core) beginRound() {
	c.leading.roundWanted = false
	c.leading.nextHeartbeat = c.now + c.config.HeartbeatInterval
	c.leading.round++
	c.leading.rounds = append(c.leading.rounds, roundStart{c.leading.round, c.now})
	c.assignReads()
	for _, member := range c.Membership().Members {
		progress, ok := c.leading.peers[member.ID]
		if !ok || member.ID == c.config.ID {
			continue
		}
		c.send(Message{Kind: MessageHeartbeat, To: member.ID, Round: c.leading.round, Commit: min(progress.Match, c.log.committed), Match: progress.Match})
	}
	c.confirmRounds()
}

func (c *Core) stepHeartbeatAnswer(m Message) {
	progress := c.progressOf(m)
	if progress == nil {
		return
	}
	progress.Round = max(progress.Round, m.Round)
	if m.Match > 0 {
		c.noteMatch(m, progress, m.Match)
	}
	if c.role != Leader {
		return
	}
	if progress.Lost(m.Round, m.LogIndex) {
		progress.Unreachable()
	}
	progress.RetryProbe(m.Round, m.LogIndex)
	if progress.Match < c.log.lastIndex() {
		c.leading.appendWanted = true
	}
	c.retrySnapshot(progress)
	c.confirmRounds()
}

// progressOf returns the sender's progress and notes that it was heard; nil
// where this replica does not lead or the sender is no member.
func (c *Core) progressOf(m Message) *tracker.Progress {
	if c.role != Leader {
		return nil
	}
	progress, ok := c.leading.peers[m.From]
	if !ok {
		return nil
	}
	progress.HeardAt = c.now
	return progress
}

// confirmRounds finds the newest round that a quorum answered.
func (c *Core) confirmRounds() {
	answered := c.quorumValue(func(id topology.ReplicaID) uint64 {
		if id == c.config.ID {
			return c.leading.round
		}
		return c.leading.peers[id].Round
	})
	for len(c.leading.rounds) > 0 && c.leading.rounds[0].round <= answered {
		c.leading.confirmed = c.leading.rounds[0].round
		c.leading.confirmedAt = c.leading.rounds[0].sentAt
		c.leading.hasLease = true
		c.leading.rounds = c.leading.rounds[1:]
	}
	c.releaseReads()
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (c *Core) quorumValue(value func(topology.ReplicaID) uint64) uint64 {
	membership := c.Membership()
	values := make([]uint64, 0, len(membership.Members))
	for _, member := range membership.Members {
		if !member.Learner {
			values = append(values, value(member.ID))
		}
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-membership.Quorum()]
}

func (c *Core) stepAppendAnswer(m Message) {
	progress := c.progressOf(m)
	if progress == nil {
		return
	}
	if m.Refused {
		if progress.Rejected(m.Rejected, c.nextHint(m)) {
			c.leading.appendWanted = true
		}
		return
	}
	c.noteMatch(m, progress, m.LogIndex)
	c.leading.appendWanted = true
}

// noteMatch notes what a replica holds durably.
func (c *Core) noteMatch(m Message, progress *tracker.Progress, index uint64) {
	c.noteMarkEnd(m, index)
	if progress.Acknowledged(index) {
		c.maybeCommit()
	}
	c.continueTransfer()
}

// nextHint returns the last index where this log and the refusing one may
// match.
func (c *Core) nextHint(m Message) uint64 {
	index, _ := c.log.conflictHint(m.LogIndex, m.LogTerm)
	return index
}

// maybeCommit commits what a quorum of voters holds durably, if it is of this
// term.
func (c *Core) maybeCommit() {
	index := c.quorumValue(func(id topology.ReplicaID) uint64 {
		if id == c.config.ID {
			return c.log.stable
		}
		return c.leading.peers[id].Match
	})
	if index <= c.log.committed {
		return
	}
	if term, _ := c.log.term(index); term != c.hard.Term {
		return
	}
	for _, entry := range c.log.from(c.log.committed+1, math.MaxInt)[:index-c.log.committed] {
		c.leading.uncommittedBytes -= len(entry.Data)
	}
	c.leading.uncommittedBytes = max(c.leading.uncommittedBytes, 0)
	c.commitTo(index)
	c.leading.commitWanted = true
	c.admitWaitingReads()
	c.leaveIfRemoved()
}

// leaveIfRemoved ends leadership once the own removal is committed.
func (c *Core) leaveIfRemoved() {
	last := c.memberships[len(c.memberships)-1]
	if last.index <= c.log.committed && !last.membership.IsVoter(c.config.ID) {
		c.flushLeader()
		c.fire(eventDemoted)
	}
}

// flushLeader sends what was gathered since the last Ready.
func (c *Core) flushLeader() {
	if c.leading.roundWanted {
		c.beginRound()
	}
	if !c.leading.appendWanted && !c.leading.commitWanted {
		return
	}
	commitWanted := c.leading.commitWanted
	c.leading.appendWanted, c.leading.commitWanted = false, false
	for _, member := range c.Membership().Members {
		if progress, ok := c.leading.peers[member.ID]; ok {
			c.replicateTo(member.ID, progress, commitWanted)
		}
	}
}

// replicateTo sends what fits the window, or news of the commit index alone. A
// replica that acknowledges nothing gets no such news: the window bounds what
// waits for it.
func (c *Core) replicateTo(id topology.ReplicaID, progress *tracker.Progress, commitWanted bool) {
	window := tracker.Window{Appends: c.config.MaxInflightAppends, Bytes: c.config.MaxInflightBytes}
	sent := false
	for !progress.Paused(window) && (progress.Next <= c.log.lastIndex() || c.probeNeeded(progress)) {
		c.sendAppend(id, progress)
		sent = true
	}
	if commitWanted && !sent && progress.State == tracker.Replicate && !progress.Paused(window) {
		c.sendEmptyAppend(id, progress)
	}
}

// probeNeeded reports whether an Append without entries is of use: to find
// where the logs match.
func (c *Core) probeNeeded(progress *tracker.Progress) bool {
	return progress.State == tracker.Probe
}

func (c *Core) sendAppend(id topology.ReplicaID, progress *tracker.Progress) {
	previous := progress.Next - 1
	term, ok := c.log.term(previous)
	if !ok {
		c.sendSnapshot(id, progress)
		return
	}
	entries := c.log.from(progress.Next, c.config.MaxAppendBytes)
	bytes := 0
	for _, entry := range entries {
		bytes += len(entry.Data)
	}
	c.send(Message{Kind: MessageAppend, To: id, LogIndex: previous, LogTerm: term, Entries: entries, Commit: c.log.committed})
	progress.Sent(previous+uint64(len(entries)), bytes, c.leading.round)
}

func (c *Core) sendEmptyAppend(id topology.ReplicaID, progress *tracker.Progress) {
	if term, ok := c.log.term(progress.Next - 1); ok {
		c.send(Message{Kind: MessageAppend, To: id, LogIndex: progress.Next - 1, LogTerm: term, Commit: c.log.committed})
	}
}

func (c *Core) sendSnapshot(id topology.ReplicaID, progress *tracker.Progress) {
	progress.BeginSnapshot(c.snapshot.Index, c.now)
	c.send(Message{Kind: MessageSnapshot, To: id, Snapshot: &Snapshot{Meta: c.snapshot}})
}

// snapshotRetryTimeouts is after how many election timeouts a snapshot that
// was not acknowledged is sent again.
const snapshotRetryTimeouts = 10

func (c *Core) retrySnapshot(progress *tracker.Progress) {
	waited := c.now - progress.SnapshotSentAt
	if progress.State == tracker.Snapshot && waited > snapshotRetryTimeouts*c.config.ElectionTimeout {
		progress.AbandonSnapshot()
		c.leading.appendWanted = true
	}
}
