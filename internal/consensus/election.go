package consensus

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// boundByLease reports whether this replica must refuse votes, because a leader
// lease may still rest on its response to the last heartbeat, or because it
// leads with a valid lease itself.
func (c *Core) boundByLease() bool {
	if c.role == Leader {
		return c.now < c.leaseUntil()
	}
	return c.now < c.leaderHeardAt+c.config.ElectionTimeout
}

// startPreVote asks whether a quorum would vote for this replica, without
// starting a new term (Ongaro, section 9.6).
func (c *Core) startPreVote() {
	c.leader = 0
	c.votes = map[topology.ReplicaID]bool{}
	if !c.boundByLease() {
		c.votes[c.config.ID] = true
	}
	c.beginPreVoteRound()
	c.setRetryDeadline()
	c.requestVotes(MessagePreVote, c.hardState.Term+1)
	c.decidePreVote()
}

// startVote starts a new term and votes for itself. The candidate's own vote
// counts once it is synced.
func (c *Core) startVote() {
	c.hardState.Term++
	c.hardState.Vote = c.config.ID
	c.leader = 0
	c.ackUpTo, c.matched = 0, 0
	c.votes = map[topology.ReplicaID]bool{}
	c.earlierLeasesEnd = 0
	c.setRetryDeadline()
	c.requestVotes(MessageVote, c.hardState.Term)
}

// setRetryDeadline sets when an undecided election is retried. The group has no
// leader until then, so the delay is shorter than a follower's election timeout,
// but leaves time for a round trip and a sync.
func (c *Core) setRetryDeadline() {
	if c.inColdStart() {
		c.electionDeadline = c.coldStartDeadline(c.config.HeartbeatInterval)
		return
	}
	least := c.config.ElectionTimeout / 3
	c.electionDeadline = c.now + least + time.Duration(c.random.Int64N(int64(least)))
}

func (c *Core) requestVotes(kind MessageKind, term uint64) {
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
			Round:    c.preVoteRound.number,
			Unled:    c.coldStartElection,
		})
	}
}

func (c *Core) stepPreVote(m Message) {
	eligible := m.Term > c.hardState.Term && c.recoveryAllowsVote(m) && c.log.upToDate(m.LogIndex, m.LogTerm)
	granted := eligible && !c.boundByLease()
	response := Message{Kind: MessagePreVoteResponse, To: m.From, ToIncarnation: m.FromIncarnation, Refused: !granted, Round: m.Round}
	if eligible && c.leaderless() && m.Round > 0 {
		response.UpFor = c.uptime()
		c.yieldTo(m.From)
	}
	if granted || response.UpFor > 0 {
		response.Term = m.Term
	}
	c.send(response)
}

func (c *Core) stepPreVoteResponse(m Message) {
	wouldVote := !m.Refused || m.UpFor > 0
	if c.role != PreCandidate || (wouldVote && m.Term != c.hardState.Term+1) {
		return
	}
	c.recordLeaderless(m)
	// A replica that refuses only because an earlier process of it may have
	// granted a lease is not recorded as refusing: it may still grant a
	// cold-start vote.
	if wouldVote && m.Refused || c.recordVote(m.From, m.FromIncarnation, !m.Refused) {
		c.decidePreVote()
	}
}

func (c *Core) decidePreVote() {
	switch granted, refused := c.tally(); {
	case granted >= c.Membership().Quorum():
		c.fire(eventPreVoteWon)
	case c.allLeaderless():
		c.coldStartElection = true
		c.fire(eventPreVoteWon)
	case refused >= c.Membership().Quorum():
		c.fire(eventVoteLost)
	}
}

// stepVote grants a vote to at most one candidate in a term. The response is
// sent after the vote is synced.
func (c *Core) stepVote(m Message) {
	voteAvailable := c.hardState.Vote == 0 && c.leader == 0
	granted := (voteAvailable || c.hardState.Vote == m.From) &&
		(m.Transfer || !c.boundByLease() || c.grantsColdStartVote(m)) && c.recoveryAllowsVote(m) &&
		c.log.upToDate(m.LogIndex, m.LogTerm)
	if granted {
		c.hardState.Vote = m.From
		c.resetElectionDeadline()
	}
	c.send(Message{
		Kind: MessageVoteResponse, To: m.From, ToIncarnation: m.FromIncarnation,
		Refused: !granted, SinceLeader: c.sinceLeader(),
	})
}

func (c *Core) countVote(from topology.ReplicaID, incarnation topology.Incarnation, granted bool, sinceLeader time.Duration) {
	if c.role != Candidate || !c.recordVote(from, incarnation, granted) {
		return
	}
	if granted {
		c.recordSinceLeader(sinceLeader)
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
	if c.role == Candidate && c.persisted.Term == c.hardState.Term && c.persisted.Vote == c.config.ID {
		c.countVote(c.config.ID, c.config.Incarnation, true, c.sinceLeader())
	}
}

// recordVote records the first response of a voter. It returns false for further
// responses and for replicas that are not voters.
func (c *Core) recordVote(from topology.ReplicaID, incarnation topology.Incarnation, granted bool) bool {
	membership := c.Membership()
	if !membership.IsVoter(from) || !membership.HasIncarnation(from, incarnation) {
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

// stepTimeoutNow starts an election at the leader's request.
func (c *Core) stepTimeoutNow(m Message) {
	if m.From != c.leader {
		return
	}
	c.transferVote = true
	if !c.fire(eventTransferRequested) {
		c.transferVote = false
	}
}
