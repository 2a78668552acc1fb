package consensus

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// A replica that starts refuses votes for an ElectionTimeout, since an earlier process of it
// may have answered a leader's heartbeat. Where all replicas have stopped, the group would
// wait for that alone. There is a proof that ends sooner: a leader lease ends with the
// leader's process, so that no earlier one lasts once every replica that could hold it has
// said, after a moment, that its process began before that moment and has neither led nor
// heard a leader. All of them must say so: a majority proves nothing, as the leader may be
// among the rest.
//
// A candidate that has heard so of all others asks for votes marked as Unled, which a
// voter gives in spite of what an earlier process may have promised, as long as it has heard
// no leader itself. A vote counts only from the process that was heard before, since one
// that has started since may have forgotten a later leader:
//
//   - A leader lease that lasts is that of a process of now, and rests on answers of a
//     quorum. One of that quorum is among the candidate's voters.
//   - Had it answered the leader before it voted, in the process that voted, it would have
//     refused. In an earlier process: that one had ended before the candidate asked, and the
//     leader, asked after that, would have said that it leads.
//   - Had it voted before, its term, which is durable, is above the leader's, and it would
//     have refused the heartbeat.

// unledRound is one round of pre-votes, for the proof that nobody leads.
type unledRound struct {
	number uint64
	began  time.Duration
	// runs of the others that have said, within the round, that they know of no leader.
	runs map[topology.ReplicaID]uint64
}

// unled reports whether this process has neither led nor heard a leader.
func (c *Core) unled() bool { return !c.leaderSeen && c.recovered() }

// upFor is how long this process has run; never zero, which says nothing.
func (c *Core) upFor() time.Duration { return max(c.now-c.config.Now, 1) }

// beginUnledRound begins a round of pre-votes.
func (c *Core) beginUnledRound() {
	c.unledVote = false
	c.unledRound = unledRound{number: c.unledRound.number + 1, began: c.now, runs: map[topology.ReplicaID]uint64{}}
}

// noteUnled takes an answer to a pre-vote that may say that its sender knows of no leader.
// How long its process has run tells whether that began before the round did.
func (c *Core) noteUnled(m Message) {
	round := &c.unledRound
	ranAllRound := float64(m.UpFor)*(1-c.config.MaxClockDrift) >= float64(c.now-round.began)
	if m.UpFor == 0 || m.Round != round.number || !ranAllRound || !c.Membership().Names(m.From, m.FromIncarnation) {
		return
	}
	round.runs[m.From] = m.Run
}

// groupUnled reports whether all members are known to have started anew without a leader.
// Learners, and changes that are not known to be committed, leave open who could lead.
func (c *Core) groupUnled() bool {
	newest := &c.memberships[len(c.memberships)-1]
	if !c.unled() || newest.index > c.log.committed {
		return false
	}
	for _, member := range newest.membership.Members {
		if _, told := c.unledRound.runs[member.ID]; member.Learner || !told && member.ID != c.config.ID {
			return false
		}
	}
	return true
}

// yieldTo lets another replica that looks for those that have started anew go first. Of two
// that do at the same time, the one with the higher ID yields, so that votes are not split.
// One that has asked for votes already goes on.
func (c *Core) yieldTo(other topology.ReplicaID) {
	if c.role != Follower && (c.role != PreCandidate || c.config.ID < other) {
		return
	}
	c.unledRound = unledRound{number: c.unledRound.number + 1}
	c.electionDeadline = c.unledDeadline(c.config.HeartbeatInterval)
}

// votesUnled reports whether a vote is given in spite of what an earlier process may have
// promised.
func (c *Core) votesUnled(m Message) bool { return m.Unled && c.unled() }

// fromUnledRun reports whether a vote may count in the present election: where that rests on
// all being unled, only from the processes that said so.
func (c *Core) fromUnledRun(m Message) bool {
	return !c.unledVote || c.unledRound.runs[m.From] == m.Run
}

// startsUnled reports whether this replica looks for others that have just started, more
// often than one that misses its leader.
func (c *Core) startsUnled() bool { return c.unled() && c.upFor() < 2*c.config.ElectionTimeout }

// unledDeadline is when a replica that has just started asks the others next: soon, as all
// may be there, and at a time by chance, so that one asks first.
func (c *Core) unledDeadline(earliest time.Duration) time.Duration {
	return c.now + earliest + time.Duration(c.random.Int64N(int64(c.config.HeartbeatInterval)))
}
