package consensus

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"gotest.tools/v3/assert"
)

// rolledBack is a group of three in which the entry "b" was committed by the
// leader and one follower, which then went back to a copy of its disk from
// before; the other follower never had the entry, and the leader is down.
func rolledBack(t *testing.T, seed uint64) (c *cluster, leader, older *node) {
	c = newCluster(t, seed, 3)
	first := c.commit("a")
	c.until("all replicas apply", func() bool { return c.allApplied(first) })
	leader = c.waitLeader()
	followers := c.others(leader.member.ID)
	older = followers[0]
	copied := older.disk.clone()
	c.isolate(followers[1].member.ID)
	c.commit("b")
	c.crash(leader.member.ID)
	c.crash(older.member.ID)
	c.heal()
	c.rollBack(older.member.ID, copied)
	return c, leader, older
}

func TestAnOlderCopyOfADiskElectsNobody(t *testing.T) {
	c, leader, older := rolledBack(t, 41)
	c.run(20 * time.Second)
	assert.Assert(t, c.leader() == nil, "the two that are left lack a committed entry")
	assert.Assert(t, older.core.Status().Unproven)

	c.restart(leader.member.ID)
	last := c.commit("c")
	c.until("the others apply", func() bool { return c.allApplied(last) })
	assert.Equal(t, len(leader.applied), 3)
}

// Without recovery the same group loses the entry: what the test above proves
// is not proved by chance.
func TestAnOlderCopyThatIsTrustedLosesAnEntry(t *testing.T) {
	c, _, older := rolledBack(t, 41)
	c.crash(older.member.ID)
	older.unproven = false
	c.start(older)
	found := &recorder{}
	c.t = found
	defer func() {
		assert.Equal(t, recover(), found)
		assert.Assert(t, found.failed, "the lost entry must be noticed")
	}()
	c.commit("c")
	c.run(time.Second)
}

// recorder takes failures in place of a test.
type recorder struct{ failed bool }

func (r *recorder) Helper()               {}
func (r *recorder) Log(...any)            {}
func (r *recorder) Fail()                 { r.failed = true }
func (r *recorder) FailNow()              { r.failed = true; panic(r) }
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }

func TestALeaderTellsAnOlderCopyThatItIsOne(t *testing.T) {
	c := newCluster(t, 42, 3)
	first := c.commit("a")
	c.until("all replicas apply", func() bool { return c.allApplied(first) })
	older := c.others(c.waitLeader().member.ID)[0]
	copied := older.disk.clone()
	last := c.commit("b")
	c.until("all replicas apply", func() bool { return c.allApplied(last) })
	c.crash(older.member.ID)
	c.rollBack(older.member.ID, copied)
	c.until("it ends", func() bool { return older.ended != nil })
	assert.ErrorIs(t, older.ended, ErrOlderCopy)

	// Its place is taken by a new member, and the group is as safe as before.
	replacement := c.add(testMember(4))
	c.change(Change{Kind: AddLearner, Member: replacement.member})
	c.change(Change{Kind: Remove, Member: older.member})
	c.change(Change{Kind: Promote, Member: replacement.member})
	c.crash(c.waitLeader().member.ID)
	c.commit("c")
}

// A peer that saw a higher term from the replica tells it, though no leader
// lives that knows its log.
func TestAPeerRemembersTheTermOfAnOlderCopy(t *testing.T) {
	c := newCluster(t, 43, 3)
	c.commit("a")
	leader := c.waitLeader()
	older := c.others(leader.member.ID)[0]
	copied := older.disk.clone()
	c.crash(leader.member.ID)
	c.until("another term", func() bool { return c.leader() != nil })
	c.run(time.Second)
	c.restart(leader.member.ID)
	c.run(time.Second)
	c.crash(older.member.ID)
	c.rollBack(older.member.ID, copied)
	c.until("it ends", func() bool { return older.ended != nil })
}

func TestNoSecondVoteAfterAVoteWasForgotten(t *testing.T) {
	s := newScript(t, Config{Unproven: true})
	vote := Message{Kind: MessageVote, Term: 7, LogIndex: 5, LogTerm: 3}
	s.step(vote)
	s.finish()
	assert.Assert(t, s.last(MessageVoteAnswer).Refused, "before the others have told what they hold")

	s.core.Tick(s.now)
	s.finish()
	asked := s.last(MessageRecovery)
	membership := NewMembership(testMember(1), testMember(2), testMember(3))
	s.step(Message{Kind: MessageRecoveryAnswer, Term: 7, Round: asked.Run, LogIndex: 4, LogTerm: 3, Membership: &membership})
	s.finish()
	assert.Assert(t, s.core.Status().Unproven, "one of two has answered")
	s.from = 3
	s.step(Message{Kind: MessageRecoveryAnswer, Term: 8, Round: asked.Run, LogIndex: 5, LogTerm: 3, Membership: &membership})
	s.finish()
	for _, term := range []uint64{7, 8} {
		vote.Term = term
		s.step(vote)
		s.finish()
	}
	assert.Assert(t, s.last(MessageVoteAnswer).Refused, "it may have voted in term 8")
	vote.Term, vote.LogIndex = 9, 4
	s.step(vote)
	s.finish()
	assert.Assert(t, s.last(MessageVoteAnswer).Refused, "replica 3 holds more")
	vote.LogIndex = 5
	s.step(vote)
	s.finish()
	assert.Assert(t, !s.last(MessageVoteAnswer).Refused)
	assert.Assert(t, s.core.Role() == NonVoter, "its own log does not reach what replica 3 holds")
}

func TestAnAnswerToAnEarlierStartCountsNothing(t *testing.T) {
	s := newScript(t, Config{Unproven: true})
	for _, from := range []topology.ReplicaID{2, 3} {
		s.from = from
		s.step(Message{Kind: MessageRecoveryAnswer, Term: 1, Round: 12345, Membership: &Membership{}})
	}
	assert.Assert(t, s.core.Status().Unproven)
}

func TestAGroupComesBackAfterAPowerCut(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, 400+seed, 3)
		c.lossRate = 0.1
		for range 5 {
			c.commit("x")
		}
		c.run(time.Duration(c.random.Int64N(int64(time.Second))))
		for _, id := range c.ids() {
			c.crash(id)
		}
		for _, id := range c.ids() {
			c.powerCycle(id)
		}
		last := c.commit("y")
		c.until("all replicas apply", func() bool { return c.allApplied(last) })
		assert.Equal(t, len(c.nodes[1].applied), 6)
	}
}

func TestAReplicaThatIsNotSureOfItsDiskStillAcknowledges(t *testing.T) {
	c := newCluster(t, 44, 3)
	c.commit("a")
	leader := c.waitLeader()
	followers := c.others(leader.member.ID)
	dead, cycled := followers[0], followers[1]
	c.crash(dead.member.ID)
	c.crash(cycled.member.ID)
	c.powerCycle(cycled.member.ID)
	c.commit("b")
	assert.Assert(t, cycled.core.Status().Unproven, "the dead replica has not answered")
	c.change(Change{Kind: Remove, Member: dead.member})
	c.until("it is sure", func() bool { return !cycled.core.Status().Unproven })
	c.commit("c")
}

func TestALostAcknowledgementComesWithTheNextHeartbeat(t *testing.T) {
	c := newCluster(t, 45, 3)
	c.commit("a")
	c.drop = func(m Message) bool { return m.Kind == MessageAppendAnswer }
	c.commit("b")
}

// The acknowledgements were lost with the process, and nothing new is proposed.
func TestAFollowerThatRestartsAcknowledgesAgain(t *testing.T) {
	c := newCluster(t, 46, 3)
	c.commit("a")
	leader := c.waitLeader()
	follower := c.others(leader.member.ID)[0]
	c.drop = func(m Message) bool {
		return m.From == follower.member.ID && (m.Kind == MessageAppendAnswer || m.Kind == MessageHeartbeatAnswer)
	}
	last := c.commit("b")
	c.until("it is on the disk", func() bool { return follower.core.Status().Durable >= last })
	c.run(time.Second)
	c.crash(follower.member.ID)
	c.restart(follower.member.ID)
	c.drop = nil
	c.until("it applies all", func() bool { return follower.core.Status().Applied >= last })
}

// The leader's own removal is on its disk alone when the power fails. Nobody
// else holds that entry, and the leader is no voter any more.
func TestAPowerCutDuringALeadersRemovalLeavesAGroup(t *testing.T) {
	c := newCluster(t, 47, 3)
	c.commit("a")
	leader := c.waitLeader()
	c.run(time.Second)
	c.isolate(leader.member.ID)
	_, _, err := leader.core.ProposeMembership(Change{Kind: Remove, Member: leader.member})
	assert.NilError(t, err)
	c.work(leader)
	for _, id := range c.ids() {
		c.crash(id)
	}
	c.heal()
	for _, id := range c.ids() {
		c.powerCycle(id)
	}
	c.commitAfterRemoval()
}

// commitAfterRemoval waits until a member leads; the removed leader leads only
// until its removal is committed.
func (c *cluster) commitAfterRemoval() {
	c.until("a member leads", func() bool {
		n := c.leader()
		return n != nil && n.core.Membership().IsVoter(n.member.ID)
	})
	c.commit("b")
}

// Without a power cut the leader stands for election again, to commit its own
// removal, which nobody else holds.
func TestARemovedLeaderCommitsItsRemovalAfterARestart(t *testing.T) {
	for _, size := range []int{2, 3} {
		c := newCluster(t, 48, size)
		c.commit("a")
		leader := c.waitLeader()
		c.run(time.Second)
		c.isolate(leader.member.ID)
		_, _, err := leader.core.ProposeMembership(Change{Kind: Remove, Member: leader.member})
		assert.NilError(t, err)
		c.work(leader)
		for _, id := range c.ids() {
			c.crash(id)
		}
		c.heal()
		for _, id := range c.ids() {
			c.restart(id)
		}
		c.commitAfterRemoval()
	}
}
