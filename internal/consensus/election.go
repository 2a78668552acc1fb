package consensus

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// promisedToLeader reports whether this replica must refuse votes, because a
// leader may still count on the answer to its last heartbeat, or because this
// replica itself leads with a valid lease.
func (c *Core) promisedToLeader() bool {
	if c.role == Leader {
		return c.now < c.leaseUntil()
	}
	return c.now < c.leaderHeardAt+c.config.ElectionTimeout
}

// startPreVote asks whether a quorum would vote for this replica, without
// entering a new term (Ongaro, section 9.6).
func (c *Core) startPreVote() {
	c.leader = 0
	c.votes = map[topology.ReplicaID]bool{}
	if !c.promisedToLeader() {
		c.votes[c.config.ID] = true
	}
	c.beginUnledRound()
	c.setRetryDeadline()
	c.askVotes(MessagePreVote, c.hard.Term+1)
	c.decidePreVote()
}

// startVote enters a new term and votes for itself. The own vote counts once
// it is synced.
func (c *Core) startVote() {
	c.hard.Term++
	c.hard.Vote = c.config.ID
	c.leader = 0
	c.ackUpTo, c.matched = 0, 0
	c.votes = map[topology.ReplicaID]bool{}
	c.earlierLeasesEnd = 0
	c.setRetryDeadline()
	c.askVotes(MessageVote, c.hard.Term)
}

// setRetryDeadline sets when an election that is not decided is tried again:
// the group has no leader for that long, so it is sooner than the wait of a
// follower, but leaves time for a round trip and a sync.
func (c *Core) setRetryDeadline() {
	if c.startsUnled() {
		c.electionDeadline = c.unledDeadline(c.config.HeartbeatInterval)
		return
	}
	least := c.config.ElectionTimeout / 3
	c.electionDeadline = c.now + least + time.Duration(c.random.Int64N(int64(least)))
}

func (c *Core) askVotes(kind MessageKind, term uint64) {
	for _, member := range c.Membership().Members {
		if member.Learner || member.ID == c.config.ID {
			continue
		}
		c.send(Message{
			Kind:     kind,
			To:       member.ID,
			Term:     term,
			LogIndex: c.log.lastIndex(),
			LogTerm:  c.log.lastTerm(),
			Transfer: c.transferVote,
			Round:    c.unledRound.number,
			Unled:    c.unledVote,
		})
	}
}

func (c *Core) answerPreVote(m Message) {
	fit := m.Term > c.hard.Term && c.mayVoteFor(m) && c.log.upToDate(m.LogIndex, m.LogTerm)
	granted := fit && !c.promisedToLeader()
	answer := Message{Kind: MessagePreVoteAnswer, To: m.From, ToIncarnation: m.FromIncarnation, Refused: !granted, Round: m.Round}
	if fit && c.unled() && m.Round > 0 {
		answer.UpFor = c.upFor()
		c.yieldTo(m.From)
	}
	if granted || answer.UpFor > 0 {
		answer.Term = m.Term
	}
	c.send(answer)
}

func (c *Core) countPreVote(m Message) {
	wouldVote := !m.Refused || m.UpFor > 0
	if c.role != PreCandidate || (wouldVote && m.Term != c.hard.Term+1) {
		return
	}
	c.noteUnled(m)
	// One that refuses for what an earlier process may have promised may still vote.
	if wouldVote && m.Refused || c.noteVote(m.From, m.FromIncarnation, !m.Refused) {
		c.decidePreVote()
	}
}

func (c *Core) decidePreVote() {
	switch granted, refused := c.tally(); {
	case granted >= c.Membership().Quorum():
		c.fire(eventPreVoteWon)
	case c.groupUnled():
		c.unledVote = true
		c.fire(eventPreVoteWon)
	case refused >= c.Membership().Quorum():
		c.fire(eventVoteLost)
	}
}

// answerVote votes for at most one candidate in a term. The answer leaves
// after the vote is synced.
func (c *Core) answerVote(m Message) {
	free := c.hard.Vote == 0 && c.leader == 0
	granted := (free || c.hard.Vote == m.From) &&
		(m.Transfer || !c.promisedToLeader() || c.votesUnled(m)) && c.mayVoteFor(m) &&
		c.log.upToDate(m.LogIndex, m.LogTerm)
	if granted {
		c.hard.Vote = m.From
		c.resetElectionDeadline()
	}
	c.send(Message{
		Kind: MessageVoteAnswer, To: m.From, ToIncarnation: m.FromIncarnation,
		Refused: !granted, SinceLeader: c.sinceLeader(),
	})
}

func (c *Core) countVote(from topology.ReplicaID, incarnation topology.Incarnation, granted bool, sinceLeader time.Duration) {
	if c.role != Candidate || !c.noteVote(from, incarnation, granted) {
		return
	}
	if granted {
		c.noteSinceLeader(sinceLeader)
	}
	switch granted, refused := c.tally(); {
	case granted >= c.Membership().Quorum():
		c.fire(eventVoteWon)
	case refused >= c.Membership().Quorum():
		c.fire(eventVoteLost)
	}
}

// countOwnVote counts the candidate's vote for itself once it is durable.
func (c *Core) countOwnVote() {
	if c.role == Candidate && c.saved.Term == c.hard.Term && c.saved.Vote == c.config.ID {
		c.countVote(c.config.ID, c.config.Incarnation, true, c.sinceLeader())
	}
}

// noteVote records the first answer of a voter; others have no vote.
func (c *Core) noteVote(from topology.ReplicaID, incarnation topology.Incarnation, granted bool) bool {
	membership := c.Membership()
	if !membership.IsVoter(from) || !membership.Names(from, incarnation) {
		return false
	}
	if _, answered := c.votes[from]; answered {
		return false
	}
	c.votes[from] = granted
	return true
}

func (c *Core) tally() (granted, refused int) {
	membership := c.Membership()
	for id, vote := range c.votes {
		if !membership.IsVoter(id) {
			continue
		}
		if vote {
			granted++
		} else {
			refused++
		}
	}
	return granted, refused
}

// stepTimeoutNow starts an election because the leader asks for it.
func (c *Core) stepTimeoutNow(m Message) {
	if m.From != c.leader {
		return
	}
	c.transferVote = true
	if !c.fire(eventTransferRequested) {
		c.transferVote = false
	}
}
