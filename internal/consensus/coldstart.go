package consensus

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// A replica refuses votes for an ElectionTimeout after its start, since an
// earlier process of it may have answered a leader's heartbeat. After a cold
// start, in which all replicas have restarted, the group would wait for that
// timeout alone. A cold-start election need not wait. A leader lease ends with
// the leader's process, so no earlier lease is left once every replica that
// could hold one has reported, after some point in time, that its process
// started before that point and has neither led nor heard a leader: it is
// leaderless. All of them must report so; a majority is not enough, as the
// leader may be among the rest.
//
// A candidate that has such a report of all others sends vote requests that are
// marked as Unled. A voter that is itself leaderless grants them regardless of
// the lease that an earlier process may have granted. A vote counts only if it
// comes from the process that sent the report, since one that has started later
// may have forgotten a later leader. This is safe:
//
//   - A leader lease that is still valid belongs to a running process and rests
//     on the responses of a quorum. One replica of that quorum is among the
//     candidate's voters.
//   - Suppose that this replica answered the leader before it voted. In the
//     process that voted, it would have refused the vote. In an earlier process,
//     that process had ended before the candidate asked, and the leader, which
//     was asked after that, would have reported that it leads.
//   - Suppose that it voted first. Then its term, which is durable, is higher
//     than the leader's, and it would have refused the heartbeat.

// preVoteRound is one round of pre-votes, in which a candidate finds out whether
// all members are leaderless.
type preVoteRound struct {
	number    uint64
	startedAt time.Duration
	// leaderlessRuns holds the run of each peer that has reported, within the
	// round, that it is leaderless.
	leaderlessRuns map[topology.ReplicaID]uint64
}

// leaderless reports whether this process has neither led nor heard a leader
// since its start.
func (c *Core) leaderless() bool { return !c.leaderSeen && c.recovered() }

// uptime returns how long this process has run. It is never zero, which in
// Message.UpFor means that nothing is reported.
func (c *Core) uptime() time.Duration { return max(c.now-c.config.Now, 1) }

// beginPreVoteRound begins a round of pre-votes.
func (c *Core) beginPreVoteRound() {
	c.coldStartElection = false
	c.preVoteRound = preVoteRound{number: c.preVoteRound.number + 1, startedAt: c.now, leaderlessRuns: map[topology.ReplicaID]uint64{}}
}

// recordLeaderless records a pre-vote response whose sender reports that it is
// leaderless. The report counts only if the sender's uptime, corrected for clock
// drift, shows that its process started before the round did.
func (c *Core) recordLeaderless(m Message) {
	round := &c.preVoteRound
	startedBefore := float64(m.UpFor)*(1-c.config.MaxClockDrift) >= float64(c.now-round.startedAt)
	if m.UpFor == 0 || m.Round != round.number || !startedBefore || !c.Membership().HasIncarnation(m.From, m.FromIncarnation) {
		return
	}
	round.leaderlessRuns[m.From] = m.Run
}

// allLeaderless reports whether all members are known to be leaderless. With a
// learner in the membership, or a change that is not known to be committed, it
// is not certain which replicas could lead, and the result is false.
func (c *Core) allLeaderless() bool {
	newest := &c.memberships[len(c.memberships)-1]
	if !c.leaderless() || newest.index > c.log.committed {
		return false
	}
	for _, member := range newest.membership.Members {
		if _, reported := c.preVoteRound.leaderlessRuns[member.ID]; member.Learner || !reported && member.ID != c.config.ID {
			return false
		}
	}
	return true
}

// yieldTo lets another replica that runs a pre-vote round after a cold start go
// first. Of two that do so at the same time, the one with the higher ID yields,
// so that votes are not split. A candidate that has already sent vote requests
// does not yield.
func (c *Core) yieldTo(other topology.ReplicaID) {
	if c.role != Follower && (c.role != PreCandidate || c.config.ID < other) {
		return
	}
	c.preVoteRound = preVoteRound{number: c.preVoteRound.number + 1}
	c.electionDeadline = c.coldStartDeadline(c.config.HeartbeatInterval)
}

// grantsColdStartVote reports whether the vote request is one of a cold-start
// election and this replica is leaderless. A lease that an earlier process may
// have granted then does not stand in the way.
func (c *Core) grantsColdStartVote(m Message) bool { return m.Unled && c.leaderless() }

// fromExpectedRun reports whether a vote may count in the current election. In a
// cold-start election only votes of the processes that reported to be leaderless
// do.
func (c *Core) fromExpectedRun(m Message) bool {
	return !c.coldStartElection || c.preVoteRound.leaderlessRuns[m.From] == m.Run
}

// inColdStart reports whether this replica has just started and is leaderless.
// It then starts pre-vote rounds more often than a replica that has lost its
// leader, to find others that have just started.
func (c *Core) inColdStart() bool { return c.leaderless() && c.uptime() < 2*c.config.ElectionTimeout }

// coldStartDeadline returns when a replica that has just started begins its next
// pre-vote round: soon, as all members may be running, and at a random time, so
// that one of them is first.
func (c *Core) coldStartDeadline(earliest time.Duration) time.Duration {
	return c.now + earliest + time.Duration(c.random.Int64N(int64(c.config.HeartbeatInterval)))
}
