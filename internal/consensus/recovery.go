package consensus

import (
	"fmt"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// A replica that starts from a disk which may be an older copy, or may lack
// its end, has perhaps forgotten votes and entries that it acknowledged. Until
// it knows better it neither votes nor stands for election; it follows a
// leader and acknowledges what it writes from now on, which is safe.
//
// It asks all other voters for their term and for the end of their logs
// (compare the recovery of Viewstamped Replication; Liskov and Cowling, 2012,
// section 4.3). Once all have answered:
//
//   - It enters the highest term and gives no vote in it. A candidate that got
//     a forgotten vote had its term on disk before it asked, and has answered.
//   - It votes only for logs that reach the furthest one heard, the floor, and
//     stands for election only once its own does. An entry that was committed
//     with a forgotten acknowledgement is on the disk of another voter, or is
//     lost with two disks.
//
// Where an answer shows that the replica once held more than it does, its
// identity is at an end: Step returns ErrOlderCopy.

// logEnd is the place of a log's last durable entry.
type logEnd struct{ index, term uint64 }

// reaches reports whether a log that ends here is as far as one that ends at
// other.
func (e logEnd) reaches(other logEnd) bool {
	return e.term > other.term || (e.term == other.term && e.index >= other.index)
}

// recovery is the state of a replica that does not trust its disk.
type recovery struct {
	// pending is set until all others have answered.
	pending bool
	askAt   time.Duration
	answers map[topology.ReplicaID]recoveryAnswer
	// floor is what a log must reach to be voted for.
	floor logEnd
}

type recoveryAnswer struct {
	end        logEnd
	membership *Membership
}

// mark is what another replica showed to have on its disk in one run.
type mark struct {
	incarnation topology.Incarnation
	run         uint64
	term        uint64
	end         logEnd
}

// maxMarks bounds the marks kept, those of the newest runs.
const maxMarks = 16

func (c *Core) beginRecovery() {
	c.recovery = recovery{pending: true, answers: map[topology.ReplicaID]recoveryAnswer{}}
	c.concludeRecovery()
}

// recovered reports whether this replica may stand for election.
func (c *Core) recovered() bool {
	return !c.recovery.pending && c.recovery.floor == logEnd{}
}

// Proven reports whether this replica knows that its disk lacks nothing.
func (c *Core) Proven() bool { return c.recovered() }

// mayVoteFor reports whether recovery allows a vote for a log.
func (c *Core) mayVoteFor(m Message) bool {
	return !c.recovery.pending && logEnd{m.LogIndex, m.LogTerm}.reaches(c.recovery.floor)
}

func (c *Core) durableEnd() logEnd {
	term, _ := c.log.term(c.log.stable)
	return logEnd{c.log.stable, term}
}

// reportedEnd is the end of the log that counts for others' recovery. Entries
// from this replica's own removal on are committed by a quorum without it,
// which answers for them; a leader that removes itself may be the only one to
// hold them, and no voter could ever reach that floor. Those of a learner count
// for nothing.
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

// recoveryMembers are those that must answer: all voters that this replica or
// an answer names, and the learners of a group so small that one of them may
// have become a voter without any of the voters but this one.
func (c *Core) recoveryMembers() []Member {
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
	for _, id := range sortedIDs(c.recovery.answers) {
		if newer := c.recovery.answers[id].membership; newer != nil {
			add(*newer)
		}
	}
	return members
}

func (c *Core) tickRecovery() {
	if !c.recovery.pending || c.now < c.recovery.askAt {
		return
	}
	c.concludeRecovery()
	c.recovery.askAt = c.now + c.config.ElectionTimeout/2
	for _, member := range c.recoveryMembers() {
		if _, answered := c.recovery.answers[member.ID]; !answered {
			end := c.durableEnd()
			c.send(Message{
				Kind: MessageRecovery, To: member.ID, ToIncarnation: member.Incarnation,
				LogIndex: end.index, LogTerm: end.term,
			})
		}
	}
}

// answerRecovery tells a replica that starts what is durable here, and whether
// it showed more in an earlier run than it holds now.
func (c *Core) answerRecovery(m Message) {
	end := c.reportedEnd()
	membership := c.Membership()
	c.send(Message{
		Kind: MessageRecoveryAnswer, To: m.From, ToIncarnation: m.FromIncarnation,
		Round: m.Run, LogIndex: end.index, LogTerm: end.term,
		Refused: c.showedMore(m), Membership: &membership, Commit: c.memberships[len(c.memberships)-1].index,
	})
}

func (c *Core) showedMore(m Message) bool {
	for _, seen := range c.marks[m.From] {
		if seen.incarnation != m.FromIncarnation || seen.run == m.Run {
			continue
		}
		if m.Term < seen.term || !(logEnd{m.LogIndex, m.LogTerm}).reaches(seen.end) {
			return true
		}
	}
	return false
}

// noteMark notes what a message shows of its sender's disk. Messages about a
// coming term show nothing.
func (c *Core) noteMark(m Message) {
	if m.Kind == MessagePreVote || m.Kind == MessagePreVoteAnswer {
		return
	}
	marks := c.marks[m.From]
	position := len(marks) - 1
	for position >= 0 && (marks[position].run != m.Run || marks[position].incarnation != m.FromIncarnation) {
		position--
	}
	if position < 0 {
		marks = append(marks, mark{incarnation: m.FromIncarnation, run: m.Run})
		marks = marks[max(0, len(marks)-maxMarks):]
		c.marks[m.From] = marks
		position = len(marks) - 1
	}
	marks[position].term = max(marks[position].term, m.Term)
}

// noteMarkEnd notes that a replica acknowledged the log up to index.
func (c *Core) noteMarkEnd(m Message, index uint64) {
	term, ok := c.log.term(index)
	marks := c.marks[m.From]
	for position := range marks {
		seen := &marks[position]
		if ok && seen.run == m.Run && seen.incarnation == m.FromIncarnation && !seen.end.reaches(logEnd{index, term}) {
			seen.end = logEnd{index, term}
		}
	}
}

func (c *Core) stepRecoveryAnswer(m Message) error {
	if !c.recovery.pending || m.Round != c.run {
		return nil
	}
	if m.Refused {
		return fmt.Errorf("%w: replica %d knows of more than term %d and entry %d", ErrOlderCopy, m.From, c.hard.Term, c.log.stable)
	}
	if m.Term > c.hard.Term {
		c.adoptTerm(m.Term, 0)
	}
	answer := recoveryAnswer{end: logEnd{m.LogIndex, m.LogTerm}}
	if m.Commit > c.memberships[len(c.memberships)-1].index {
		answer.membership = m.Membership
	}
	c.recovery.answers[m.From] = answer
	c.concludeRecovery()
	return nil
}

// concludeRecovery ends the asking once all have answered.
func (c *Core) concludeRecovery() {
	if len(c.Membership().Members) == 0 {
		return
	}
	for _, member := range c.recoveryMembers() {
		if _, answered := c.recovery.answers[member.ID]; !answered {
			return
		}
	}
	c.recovery.pending = false
	for _, answer := range c.recovery.answers {
		if !c.recovery.floor.reaches(answer.end) {
			c.recovery.floor = answer.end
		}
	}
	if len(c.recovery.answers) > 0 && c.hard.Vote == 0 {
		// Durably no vote for anyone else in this term.
		c.hard.Vote = c.config.ID
	}
	c.recovery.answers = nil
	c.leaveFloor()
	c.membershipChanged()
}

// leaveFloor forgets the floor once the own log reaches it.
func (c *Core) leaveFloor() {
	if c.recovery.pending || c.recovery.floor == (logEnd{}) || c.installing != nil {
		return
	}
	if c.durableEnd().reaches(c.recovery.floor) {
		c.recovery.floor = logEnd{}
		c.membershipChanged()
	}
}
