package consensus

import (
	"math"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus/tracker"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// beginLeading is the chart action for a won election. It appends an entry of
// the new term, since entries of earlier terms are known to be committed only
// once one of the new term is (Ongaro, section 3.6.2).
func (c *Core) beginLeading() {
	c.leader, c.leaderSeen = c.config.ID, true
	c.votes = nil
	coldStart := c.coldStartElection
	c.transferVote, c.coldStartElection = false, false
	c.leading = leaderState{
		coldStart:     coldStart,
		peers:         map[topology.ReplicaID]*tracker.Progress{},
		firstIndex:    c.log.lastIndex() + 1,
		electedAt:     c.now,
		nextHeartbeat: c.now,
	}
	c.trackMembers()
	c.appendEntry(EntryNoop, nil)
	c.beginRound()
}

// stopLeading is the chart action for losing leadership.
func (c *Core) stopLeading() {
	if c.leader == c.config.ID {
		c.leader = 0
	}
	c.failReads()
	c.steppedDownAt = c.now
	c.leading = leaderState{}
	c.resetElectionDeadline()
}

// Propose appends a command to the leader's log. The command is committed if
// the entry that is committed at index has this term.
func (c *Core) Propose(data []byte) (index, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
		return 0, 0, err
	}
	if c.leading.uncommittedBytes > c.config.MaxUncommittedBytes {
		return 0, 0, ErrTooMuchInFlight
	}
	index, term = c.appendEntry(EntryCommand, data)
	return index, term, nil
}

func (c *Core) checkCanPropose() error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if c.leading.transfer.target != 0 {
		return ErrTransferring
	}
	return nil
}

// ProposeMembership appends a membership change, which takes effect at once.
// Only one change may be uncommitted at a time, and the leader must first have
// committed an entry of its own term.
func (c *Core) ProposeMembership(change Change) (index, term uint64, err error) {
	if err := c.checkCanPropose(); err != nil {
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
	index, term = c.appendEntry(EntryMembership, encodeMembership(membership))
	c.memberships = append(c.memberships, membershipAt{index, membership})
	c.membershipChanged()
	return index, term, nil
}

// caughtUp reports whether a member durably holds all committed entries.
func (c *Core) caughtUp(id topology.ReplicaID) bool {
	progress, ok := c.leading.peers[id]
	return ok && progress.Match >= c.log.committed
}

func (c *Core) appendEntry(kind EntryKind, data []byte) (index, term uint64) {
	entry := Entry{Index: c.log.lastIndex() + 1, Term: c.hardState.Term, Kind: kind, Data: data}
	c.log.append(entry)
	c.leading.uncommittedBytes += len(data)
	c.leading.needAppend = true
	return entry.Index, entry.Term
}

func (c *Core) tickLeader() {
	c.tickTransfer()
	if c.role == Leader && c.now >= c.leading.nextHeartbeat {
		c.leading.needRound = true
	}
}

// checkQuorum makes the leader step down when no quorum has answered within the
// election timeout. A replica that is a quorum by itself needs no responses.
func (c *Core) checkQuorum() {
	if membership := c.Membership(); membership.Quorum() == 1 && membership.IsVoter(c.config.ID) {
		return
	}
	heardAt := max(c.leading.electedAt, c.leading.confirmedAt)
	if c.now >= heardAt+c.config.ElectionTimeout {
		c.fire(eventQuorumLost)
	}
}

// leaseUntil returns when the leader lease ends; until then no other replica can
// have been elected. A quorum answered a heartbeat sent at confirmedAt, and each
// of its members refuses votes for an election timeout after it received that
// heartbeat. The lease is shortened by the possible clock drift.
func (c *Core) leaseUntil() time.Duration {
	if c.role != Leader || !c.leading.hasLease || c.leading.transfer.target != 0 {
		return 0
	}
	timeout := float64(c.config.ElectionTimeout)
	return c.leading.confirmedAt + time.Duration(timeout*(1-c.config.MaxClockDrift))
}

// beginRound starts a heartbeat round: it sends a heartbeat to each member.
func (c *Core) beginRound() {
	c.leading.needRound = false
	c.leading.nextHeartbeat = c.now + c.config.HeartbeatInterval
	c.leading.round++
	c.leading.rounds = append(c.leading.rounds, heartbeatRound{c.leading.round, c.now})
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

func (c *Core) stepHeartbeatResponse(m Message) {
	progress := c.progressOf(m)
	if progress == nil {
		return
	}
	progress.Round = max(progress.Round, m.Round)
	if m.Match > 0 {
		c.recordMatch(m, progress, m.Match)
	}
	if c.role != Leader {
		return
	}
	if progress.AppendLost(m.Round, m.LogIndex) {
		progress.FallBackToProbe()
	}
	progress.RetryProbe(m.Round, m.LogIndex)
	if progress.Match < c.log.lastIndex() {
		c.leading.needAppend = true
	}
	c.retrySnapshot(progress)
	c.confirmRounds()
}

// progressOf returns the sender's progress and updates its HeardAt. It returns
// nil if this replica does not lead or the sender is not a member.
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

// confirmRounds finds the newest round that a quorum answered, extends the lease
// to match and releases the reads that waited for it.
func (c *Core) confirmRounds() {
	answered := c.quorumValue(func(id topology.ReplicaID) uint64 {
		if id == c.config.ID {
			return c.leading.round
		}
		return c.leading.peers[id].Round
	})
	for len(c.leading.rounds) > 0 && c.leading.rounds[0].round <= answered {
		c.leading.confirmedRound = c.leading.rounds[0].round
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

func (c *Core) stepAppendResponse(m Message) {
	progress := c.progressOf(m)
	if progress == nil {
		return
	}
	if m.Refused {
		if progress.Rejected(m.Rejected, c.matchHint(m)) {
			c.leading.needAppend = true
		}
		return
	}
	c.recordMatch(m, progress, m.LogIndex)
	c.leading.needAppend = true
}

// recordMatch records up to which index a replica's log is durable.
func (c *Core) recordMatch(m Message, progress *tracker.Progress, index uint64) {
	c.observeLogEnd(m, index)
	if progress.Acknowledged(index) {
		c.maybeCommit()
	}
	c.continueTransfer()
}

// matchHint returns the last index at which this log and that of the refusing
// replica may match.
func (c *Core) matchHint(m Message) uint64 {
	index, _ := c.log.conflictHint(m.LogIndex, m.LogTerm)
	return index
}

// maybeCommit commits the entries that are durable at a quorum of voters, if the
// last of them is of this term.
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
	if term, _ := c.log.term(index); term != c.hardState.Term {
		return
	}
	for _, entry := range c.log.entriesFrom(c.log.committed+1, math.MaxInt)[:index-c.log.committed] {
		c.leading.uncommittedBytes -= len(entry.Data)
	}
	c.leading.uncommittedBytes = max(c.leading.uncommittedBytes, 0)
	c.commitTo(index)
	c.leading.needCommit = true
	c.admitQueuedReads()
	c.stepDownIfRemoved()
}

// stepDownIfRemoved makes the leader step down once its own removal is
// committed.
func (c *Core) stepDownIfRemoved() {
	last := c.memberships[len(c.memberships)-1]
	if last.index <= c.log.committed && !last.membership.IsVoter(c.config.ID) {
		c.flushLeader()
		c.fire(eventDemoted)
	}
}

// flushLeader sends what was batched since the last Ready.
func (c *Core) flushLeader() {
	if c.leading.needRound {
		c.beginRound()
	}
	if !c.leading.needAppend && !c.leading.needCommit {
		return
	}
	needCommit := c.leading.needCommit
	c.leading.needAppend, c.leading.needCommit = false, false
	for _, member := range c.Membership().Members {
		if progress, ok := c.leading.peers[member.ID]; ok {
			c.replicateTo(member.ID, progress, needCommit)
		}
	}
}

// replicateTo sends the entries that fit the window, or only the new commit
// index. A paused replica gets neither, so that what is queued for a replica that
// acknowledges nothing stays within the window.
func (c *Core) replicateTo(id topology.ReplicaID, progress *tracker.Progress, needCommit bool) {
	window := tracker.Window{Appends: c.config.MaxInflightAppends, Bytes: c.config.MaxInflightBytes}
	sent := false
	for !progress.Paused(window) && (progress.Next <= c.log.lastIndex() || c.probeNeeded(progress)) {
		c.sendAppend(id, progress)
		sent = true
	}
	if needCommit && !sent && progress.State == tracker.Replicate && !progress.Paused(window) {
		c.sendEmptyAppend(id, progress)
	}
}

// probeNeeded reports whether an Append is sent even without entries, to find
// out where the logs match.
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
	entries := c.log.entriesFrom(progress.Next, c.config.MaxAppendBytes)
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

// snapshotRetryTimeouts is the number of election timeouts after which a
// snapshot that was not acknowledged is sent again.
const snapshotRetryTimeouts = 10

func (c *Core) retrySnapshot(progress *tracker.Progress) {
	waited := c.now - progress.SnapshotSentAt
	if progress.State == tracker.Snapshot && waited > snapshotRetryTimeouts*c.config.ElectionTimeout {
		progress.AbandonSnapshot()
		c.leading.needAppend = true
	}
}
