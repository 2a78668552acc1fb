package consensus

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"gotest.tools/v3/assert"
)

// newRolledBackCluster returns a group of three in which the leader and one
// follower committed the entry "b". That follower was then restored from an
// older copy of its disk. The other follower never had the entry, and the leader
// is down.
func newRolledBackCluster(t *testing.T, seed uint64) (c *cluster, leader, older *node) {
	c = newCluster(t, seed, 3)
	first := c.commit("a")
	c.waitUntil("all replicas apply", func() bool { return c.allApplied(first) })
	leader = c.waitForLeader()
	followers := c.others(leader.member.ID)
	older = followers[0]
	copied := older.disk.clone()
	c.isolate(followers[1].member.ID)
	c.commit("b")
	c.crash(leader.member.ID)
	c.crash(older.member.ID)
	c.heal()
	c.restoreDiskCopy(older.member.ID, copied)
	return c, leader, older
}

func TestOlderDiskCopyElectsNoLeader(t *testing.T) {
	c, leader, older := newRolledBackCluster(t, 41)
	c.run(20 * time.Second)
	assert.Assert(t, c.leader() == nil, "both remaining replicas lack a committed entry")
	assert.Assert(t, older.core.Status().Unproven)

	c.restart(leader.member.ID)
	last := c.commit("c")
	c.waitUntil("the others apply", func() bool { return c.allApplied(last) })
	assert.Equal(t, len(leader.applied), 3)
}

// Without recovery the same group loses the entry, which shows that the test
// above does not pass by chance.
func TestTrustedOlderDiskCopyLosesCommittedEntry(t *testing.T) {
	c, _, older := newRolledBackCluster(t, 41)
	c.crash(older.member.ID)
	older.unproven = false
	c.start(older)
	found := &failureRecorder{}
	c.t = found
	defer func() {
		assert.Equal(t, recover(), found)
		assert.Assert(t, found.failed, "the checks of the cluster must detect the lost entry")
	}()
	c.commit("c")
	c.run(time.Second)
}

// failureRecorder records failures in place of a test.
type failureRecorder struct{ failed bool }

func (r *failureRecorder) Helper()               {}
func (r *failureRecorder) Log(...any)            {}
func (r *failureRecorder) Fail()                 { r.failed = true }
func (r *failureRecorder) FailNow()              { r.failed = true; panic(r) }
func (r *failureRecorder) Fatalf(string, ...any) { r.FailNow() }

func TestLeaderDetectsOlderDiskCopy(t *testing.T) {
	c := newCluster(t, 42, 3)
	first := c.commit("a")
	c.waitUntil("all replicas apply", func() bool { return c.allApplied(first) })
	older := c.others(c.waitForLeader().member.ID)[0]
	copied := older.disk.clone()
	last := c.commit("b")
	c.waitUntil("all replicas apply", func() bool { return c.allApplied(last) })
	c.crash(older.member.ID)
	c.restoreDiskCopy(older.member.ID, copied)
	c.waitUntil("the older copy is detected", func() bool { return older.fatalErr != nil })
	assert.ErrorIs(t, older.fatalErr, ErrOlderCopy)

	// Once a new member has replaced it, the group tolerates a crash again.
	replacement := c.add(testMember(4))
	c.change(Change{Kind: AddLearner, Member: replacement.member})
	c.change(Change{Kind: Remove, Member: older.member})
	c.change(Change{Kind: Promote, Member: replacement.member})
	c.crash(c.waitForLeader().member.ID)
	c.commit("c")
}

// A peer that saw a higher term from the replica detects the older copy, also
// without a leader that knows how far the replica's log reached.
func TestPeerDetectsOlderDiskCopyByTerm(t *testing.T) {
	c := newCluster(t, 43, 3)
	c.commit("a")
	leader := c.waitForLeader()
	older := c.others(leader.member.ID)[0]
	copied := older.disk.clone()
	c.crash(leader.member.ID)
	c.waitUntil("another term", func() bool { return c.leader() != nil })
	c.run(time.Second)
	c.restart(leader.member.ID)
	c.run(time.Second)
	c.crash(older.member.ID)
	c.restoreDiskCopy(older.member.ID, copied)
	c.waitUntil("the older copy is detected", func() bool { return older.fatalErr != nil })
}

func TestUnprovenReplicaDoesNotVoteTwiceInATerm(t *testing.T) {
	s := newHarness(t, Config{Unproven: true})
	vote := Message{Kind: MessageVote, Term: 7, LogIndex: 5, LogTerm: 3}
	s.step(vote)
	s.drain()
	assert.Assert(t, s.lastSent(MessageVoteResponse).Refused, "the others have not reported their state yet")

	s.core.Tick(s.now)
	s.drain()
	asked := s.lastSent(MessageRecovery)
	membership := NewMembership(testMember(1), testMember(2), testMember(3))
	s.step(Message{Kind: MessageRecoveryResponse, Term: 7, Round: asked.Run, LogIndex: 4, LogTerm: 3, Membership: &membership})
	s.drain()
	assert.Assert(t, s.core.Status().Unproven, "only one of two peers has answered")
	s.from = 3
	s.step(Message{Kind: MessageRecoveryResponse, Term: 8, Round: asked.Run, LogIndex: 5, LogTerm: 3, Membership: &membership})
	s.drain()
	for _, term := range []uint64{7, 8} {
		vote.Term = term
		s.step(vote)
		s.drain()
	}
	assert.Assert(t, s.lastSent(MessageVoteResponse).Refused, "it may have voted in term 8")
	vote.Term, vote.LogIndex = 9, 4
	s.step(vote)
	s.drain()
	assert.Assert(t, s.lastSent(MessageVoteResponse).Refused, "replica 3 holds more")
	vote.LogIndex = 5
	s.step(vote)
	s.drain()
	assert.Assert(t, !s.lastSent(MessageVoteResponse).Refused)
	assert.Assert(t, s.core.Role() == NonVoter, "its own log is behind that of replica 3")
}

func TestRecoveryResponseToEarlierRunIsIgnored(t *testing.T) {
	s := newHarness(t, Config{Unproven: true})
	for _, from := range []topology.ReplicaID{2, 3} {
		s.from = from
		s.step(Message{Kind: MessageRecoveryResponse, Term: 1, Round: 12345, Membership: &Membership{}})
	}
	assert.Assert(t, s.core.Status().Unproven)
}

func TestGroupRecoversAfterPowerCut(t *testing.T) {
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
			c.restartUnproven(id)
		}
		last := c.commit("y")
		c.waitUntil("all replicas apply", func() bool { return c.allApplied(last) })
		assert.Equal(t, len(c.nodes[1].applied), 6)
	}
}

func TestUnprovenReplicaStillAcknowledges(t *testing.T) {
	c := newCluster(t, 44, 3)
	c.commit("a")
	leader := c.waitForLeader()
	followers := c.others(leader.member.ID)
	dead, cycled := followers[0], followers[1]
	c.crash(dead.member.ID)
	c.crash(cycled.member.ID)
	c.restartUnproven(cycled.member.ID)
	c.commit("b")
	assert.Assert(t, cycled.core.Status().Unproven, "the dead replica has not answered")
	c.change(Change{Kind: Remove, Member: dead.member})
	c.waitUntil("the disk is proven", func() bool { return !cycled.core.Status().Unproven })
	c.commit("c")
}

func TestHeartbeatResponseRepeatsLostAcknowledgement(t *testing.T) {
	c := newCluster(t, 45, 3)
	c.commit("a")
	c.drop = func(m Message) bool { return m.Kind == MessageAppendResponse }
	c.commit("b")
}

// The acknowledgements were lost before the process ended, and no new entry is
// proposed that would cause further ones.
func TestRestartedFollowerAcknowledgesAgain(t *testing.T) {
	c := newCluster(t, 46, 3)
	c.commit("a")
	leader := c.waitForLeader()
	follower := c.others(leader.member.ID)[0]
	c.drop = func(m Message) bool {
		return m.From == follower.member.ID && (m.Kind == MessageAppendResponse || m.Kind == MessageHeartbeatResponse)
	}
	last := c.commit("b")
	c.waitUntil("the entry is durable at the follower", func() bool { return follower.core.Status().Durable >= last })
	c.run(time.Second)
	c.crash(follower.member.ID)
	c.restart(follower.member.ID)
	c.drop = nil
	c.waitUntil("the follower applies all entries", func() bool { return follower.core.Status().Applied >= last })
}

// When the power fails, the entry that removes the leader is only on the leader's
// own disk, and the leader is no longer a voter.
func TestGroupSurvivesPowerCutDuringLeaderRemoval(t *testing.T) {
	c := newCluster(t, 47, 3)
	c.commit("a")
	leader := c.waitForLeader()
	c.run(time.Second)
	c.isolate(leader.member.ID)
	_, _, err := leader.core.ProposeMembership(Change{Kind: Remove, Member: leader.member})
	assert.NilError(t, err)
	c.processReady(leader)
	for _, id := range c.ids() {
		c.crash(id)
	}
	c.heal()
	for _, id := range c.ids() {
		c.restartUnproven(id)
	}
	c.commitAfterRemoval()
}

// commitAfterRemoval waits until a voter leads, since the removed leader may lead
// until its removal is committed, and commits a command.
func (c *cluster) commitAfterRemoval() {
	c.waitUntil("a member leads", func() bool {
		n := c.leader()
		return n != nil && n.core.Membership().IsVoter(n.member.ID)
	})
	c.commit("b")
}

// When the disks are proven, the removed leader stands for election again, to
// commit its own removal, which no other replica holds.
func TestRemovedLeaderCommitsItsRemovalAfterRestart(t *testing.T) {
	for _, size := range []int{2, 3} {
		c := newCluster(t, 48, size)
		c.commit("a")
		leader := c.waitForLeader()
		c.run(time.Second)
		c.isolate(leader.member.ID)
		_, _, err := leader.core.ProposeMembership(Change{Kind: Remove, Member: leader.member})
		assert.NilError(t, err)
		c.processReady(leader)
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
