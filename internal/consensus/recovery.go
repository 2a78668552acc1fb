package consensus

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// A replica that starts from an unproven disk, which may be an older copy or may
// have lost the end of the log, may have forgotten votes that it gave and
// entries that it acknowledged. Until it has recovered it neither votes nor
// stands for election. It does follow a leader and acknowledges entries that it
// writes from now on, which is safe.
//
// It asks all other voters for their term and for the last entry of their logs
// (compare the recovery protocol of Viewstamped Replication; Liskov and Cowling,
// 2012, section 4.3). Once all have answered:
//
//   - It adopts the highest term and grants no vote in it. A candidate that
//     received a forgotten vote had its term on disk before it asked for the
//     vote, and is among the replicas that answered.
//   - It votes only for candidates whose log is at least as up to date as the
//     most up-to-date one reported, the required log end, and stands for
//     election only once its own log is. An entry that was committed with a
//     forgotten acknowledgement is on the disk of another voter, unless two
//     disks were lost.
//
// If a response shows that the replica once held more than it does now, its
// identity cannot be used any more: Step returns ErrOlderCopy.

// logEnd identifies the last durable entry of a log.
type logEnd struct{ index, term uint64 }

// upToDateWith reports whether a log that ends at e is at least as up to date as
// one that ends at other.
func (e logEnd) upToDateWith(other logEnd) bool {
	return e.term > other.term || (e.term == other.term && e.index >= other.index)
}

// recovery is the state of a replica that started from an unproven disk.
type recovery struct {
	// pending is set until all recovery peers have answered.
	pending       bool
	nextRequestAt time.Duration
	responses     map[topology.ReplicaID]recoveryResponse
	// requiredEnd is the log end with which a candidate's log must be up to date
	// to get a vote.
	requiredEnd logEnd
}

type recoveryResponse struct {
	end        logEnd
	membership *Membership
}

// peerObservation is the durable state that a peer's messages have shown in one
// run of its process.
type peerObservation struct {
	incarnation topology.Incarnation
	run         uint64
	term        uint64
	end         logEnd
}

// maxPeerObservations is the number of runs that are remembered for a peer, the
// newest ones.
const maxPeerObservations = 16

func (c *Core) beginRecovery() {
	c.recovery = recovery{pending: true, responses: map[topology.ReplicaID]recoveryResponse{}}
	c.maybeFinishRecovery()
}

// recovered reports whether recovery, if any was needed, is complete, so that
// this replica may stand for election.
func (c *Core) recovered() bool {
	return !c.recovery.pending && c.recovery.requiredEnd == logEnd{}
}

// Proven reports whether this replica knows that its disk holds everything that
// it has acknowledged.
func (c *Core) Proven() bool { return c.recovered() }

// recoveryAllowsVote reports whether recovery allows a vote for the candidate
// that sent m.
func (c *Core) recoveryAllowsVote(m Message) bool {
	return !c.recovery.pending && logEnd{m.LogIndex, m.LogTerm}.upToDateWith(c.recovery.requiredEnd)
}

func (c *Core) durableEnd() logEnd {
	term, _ := c.log.term(c.log.stable)
	return logEnd{c.log.stable, term}
}

// reportedEnd returns the end of the log that counts for the recovery of other
// replicas. Entries from this replica's own removal on are committed by a quorum
// without it, whose members report them. A leader that removes itself may be the
// only one to hold those entries, and no voter's log could ever be up to date
// with them. The entries of a learner do not count.
func (c *Core) reportedEnd() logEnd {
	end := c.durableEnd()
	if c.Membership().IsVoter(c.config.ID) {
		return end
	}
	for position := len(c.memberships) - 1; position > 0; position-- {
		if !c.memberships[position-1].membership.IsVoter(c.config.ID) {
			continue
		}
		before := c.memberships[position].index - 1
		if term, ok := c.log.term(before); ok && before < end.index {
			return logEnd{before, term}
		}
		return end
	}
	return logEnd{}
}

// recoveryPeers returns the members that must answer: all voters that this
// replica or a response lists. In a group of fewer than three voters it includes
// the learners, since one of them may have become a voter with no voter but this
// replica taking part.
func (c *Core) recoveryPeers() []Member {
	var members []Member
	known := map[topology.ReplicaID]bool{c.config.ID: true}
	add := func(membership Membership) {
		for _, member := range membership.Members {
			if !known[member.ID] && (!member.Learner || membership.Voters() < 3) {
				known[member.ID] = true
				members = append(members, member)
			}
		}
	}
	add(c.Membership())
	for _, id := range sortedIDs(c.recovery.responses) {
		if newer := c.recovery.responses[id].membership; newer != nil {
			add(*newer)
		}
	}
	return members
}

func (c *Core) tickRecovery() {
	if !c.recovery.pending || c.now < c.recovery.nextRequestAt {
		return
	}
	c.maybeFinishRecovery()
	c.recovery.nextRequestAt = c.now + c.config.ElectionTimeout/2
	for _, member := range c.recoveryPeers() {
		if _, answered := c.recovery.responses[member.ID]; !answered {
			end := c.durableEnd()
			c.send(Message{
				Kind: MessageRecovery, To: member.ID, ToIncarnation: member.Incarnation,
				LogIndex: end.index, LogTerm: end.term,
			})
		}
	}
}

// stepRecovery answers a recovering replica with the end of this replica's log,
// and refuses if the replica held more in an earlier run than it does now.
func (c *Core) stepRecovery(m Message) {
	end := c.reportedEnd()
	membership := c.Membership()
	c.send(Message{
		Kind: MessageRecoveryResponse, To: m.From, ToIncarnation: m.FromIncarnation,
		Round: m.Run, LogIndex: end.index, LogTerm: end.term,
		Refused: c.hasRegressed(m), Membership: &membership, Commit: c.memberships[len(c.memberships)-1].index,
	})
}

// hasRegressed reports whether the sender of m held more in an earlier run of its
// process than m shows.
func (c *Core) hasRegressed(m Message) bool {
	for _, seen := range c.peerObservations[m.From] {
		if seen.incarnation != m.FromIncarnation || seen.run == m.Run {
			continue
		}
		if m.Term < seen.term || !(logEnd{m.LogIndex, m.LogTerm}).upToDateWith(seen.end) {
			return true
		}
	}
	return false
}

// observeTerm records the term that a message shows to be on its sender's disk.
// Pre-votes carry a term that has not begun and show nothing.
func (c *Core) observeTerm(m Message) {
	if m.Kind == MessagePreVote || m.Kind == MessagePreVoteResponse {
		return
	}
	observations := c.peerObservations[m.From]
	position := len(observations) - 1
	for position >= 0 && (observations[position].run != m.Run || observations[position].incarnation != m.FromIncarnation) {
		position--
	}
	if position < 0 {
		observations = append(observations, peerObservation{incarnation: m.FromIncarnation, run: m.Run})
		observations = observations[max(0, len(observations)-maxPeerObservations):]
		c.peerObservations[m.From] = observations
		position = len(observations) - 1
	}
	observations[position].term = max(observations[position].term, m.Term)
}

// observeLogEnd records that a replica acknowledged the log up to index.
func (c *Core) observeLogEnd(m Message, index uint64) {
	term, ok := c.log.term(index)
	observations := c.peerObservations[m.From]
	for position := range observations {
		seen := &observations[position]
		if ok && seen.run == m.Run && seen.incarnation == m.FromIncarnation && !seen.end.upToDateWith(logEnd{index, term}) {
			seen.end = logEnd{index, term}
		}
	}
}

func (c *Core) stepRecoveryResponse(m Message) error {
	if !c.recovery.pending || m.Round != c.run {
		return nil
	}
	if m.Refused {
		return fmt.Errorf("%w: replica %d has seen state beyond term %d and entry %d", ErrOlderCopy, m.From, c.hardState.Term, c.log.stable)
	}
	if m.Term > c.hardState.Term {
		c.adoptTerm(m.Term, 0)
	}
	response := recoveryResponse{end: logEnd{m.LogIndex, m.LogTerm}}
	if m.Commit > c.memberships[len(c.memberships)-1].index {
		response.membership = m.Membership
	}
	c.recovery.responses[m.From] = response
	c.maybeFinishRecovery()
	return nil
}

// maybeFinishRecovery ends the queries once all recovery peers have answered.
func (c *Core) maybeFinishRecovery() {
	if len(c.Membership().Members) == 0 {
		return
	}
	for _, member := range c.recoveryPeers() {
		if _, answered := c.recovery.responses[member.ID]; !answered {
			return
		}
	}
	c.recovery.pending = false
	for _, response := range c.recovery.responses {
		if !c.recovery.requiredEnd.upToDateWith(response.end) {
			c.recovery.requiredEnd = response.end
		}
	}
	if len(c.recovery.responses) > 0 && c.hardState.Vote == 0 {
		// Prevents a vote for any other candidate in this term, also after a
		// restart.
		c.hardState.Vote = c.config.ID
	}
	c.recovery.responses = nil
	c.maybeClearRequiredEnd()
	c.membershipChanged()
}

// maybeClearRequiredEnd clears the required log end once this replica's own log
// is up to date with it.
func (c *Core) maybeClearRequiredEnd() {
	if c.recovery.pending || c.recovery.requiredEnd == (logEnd{}) || c.installing != nil {
		return
	}
	if c.durableEnd().upToDateWith(c.recovery.requiredEnd) {
		c.recovery.requiredEnd = logEnd{}
		c.membershipChanged()
	}
}
