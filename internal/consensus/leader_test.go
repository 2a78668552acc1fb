package consensus

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"gotest.tools/v3/assert"
)

// In all of these tests, cluster.step checks that at most one replica holds a
// valid lease.

func TestIsolatedLeaderLosesLeaseBeforeNextLeaderActs(t *testing.T) {
	c := newCluster(t, 21, 3)
	c.commit("a")
	old := c.waitForLeader()
	c.isolate(old.member.ID)
	c.waitUntil("another leader", func() bool { return c.leader() != nil && c.leader() != old })
	assert.Assert(t, !old.core.Status().IsLeader(c.now))
	index, _, err := old.core.Propose([]byte("lost"))
	if err == nil {
		c.run(3 * time.Second)
		assert.Assert(t, old.core.Status().Commit < index)
	}
	last := c.commit("b")
	c.heal()
	c.waitUntil("the old leader follows", func() bool { return c.allApplied(last) })
	assert.Equal(t, old.core.Role(), Follower)
}

func TestLeaderWithoutResponsesStepsDown(t *testing.T) {
	c := newCluster(t, 22, 3)
	c.commit("a")
	old := c.waitForLeader()
	for _, other := range c.others(old.member.ID) {
		c.cut[[2]topology.ReplicaID{other.member.ID, old.member.ID}] = true
	}
	c.waitUntil("another leader, although the old one is still heard at first", func() bool { return c.leader() != nil && c.leader() != old })
	c.commit("b")
}

func TestPausedLeaderStepsDownOnResume(t *testing.T) {
	c := newCluster(t, 23, 3)
	c.commit("a")
	old := c.waitForLeader()
	assert.NilError(t, old.core.ReadIndex(9))
	old.paused = true
	c.waitUntil("another leader", func() bool { return c.leader() != nil })
	last := c.commit("b")
	assert.Assert(t, !old.core.Status().IsLeader(c.now), "the lease has expired, even before the replica reads its clock")
	c.resume(old.member.ID)
	assert.Assert(t, !old.core.Status().IsLeader(c.now))
	assert.Assert(t, old.core.Role() != Leader)
	assert.Equal(t, len(old.reads), 1)
	assert.Assert(t, old.reads[0].Failed, "a read that was pending during the pause must fail")
	c.waitUntil("the old leader follows", func() bool { return c.allApplied(last) })
}

func TestReturningReplicaDoesNotDisruptLeader(t *testing.T) {
	c := newCluster(t, 24, 3)
	c.commit("a")
	leader := c.waitForLeader()
	away := c.others(leader.member.ID)[0]
	c.isolate(away.member.ID)
	c.run(5 * time.Second)
	term := leader.core.Status().Term
	assert.Equal(t, away.core.Status().Term, term, "pre-vote starts no new term")
	c.heal()
	for range 300 {
		c.step()
		assert.Assert(t, leader.core.Status().IsLeader(c.now))
	}
	assert.Equal(t, leader.core.Status().Term, term)
}

func TestRemovedReplicaDoesNotDisruptLeader(t *testing.T) {
	c := newCluster(t, 25, 4)
	c.commit("a")
	leader := c.waitForLeader()
	removed := c.others(leader.member.ID)[0]
	c.isolate(removed.member.ID)
	c.change(Change{Kind: Remove, Member: removed.member})
	c.heal()
	// The removed replica never learns of its removal and keeps starting
	// elections.
	for range 500 {
		c.step()
		assert.Assert(t, leader.core.Status().IsLeader(c.now))
	}
}

func TestLeadershipTransfer(t *testing.T) {
	c := newCluster(t, 26, 3)
	c.commit("a")
	leader := c.waitForLeader()
	target := c.others(leader.member.ID)[1]
	assert.NilError(t, leader.core.TransferLeadership(target.member.ID))
	_, _, err := leader.core.Propose([]byte("b"))
	assert.ErrorIs(t, err, ErrTransferring)
	assert.Assert(t, !leader.core.Status().IsLeader(c.now), "the lease ends when the transfer begins")
	c.processReady(leader)
	c.waitUntil("the target leads", func() bool { return c.leader() == target })
	c.commit("b")
}

func TestReadIndexCoversEarlierCommits(t *testing.T) {
	c := newCluster(t, 27, 3)
	for round := range uint64(20) {
		last := c.commit("x")
		leader := c.waitForLeader()
		assert.NilError(t, leader.core.ReadIndex(round))
		c.waitUntil("the read is released", func() bool { return len(leader.reads) > 0 })
		assert.Assert(t, leader.reads[0].Index >= last)
		assert.Equal(t, leader.reads[0].Token, round)
		leader.reads = nil
	}
}

func TestIsolatedLeaderFailsReads(t *testing.T) {
	c := newCluster(t, 28, 3)
	c.commit("a")
	old := c.waitForLeader()
	c.isolate(old.member.ID)
	assert.NilError(t, old.core.ReadIndex(1))
	c.processReady(old)
	c.run(2 * time.Second)
	assert.Equal(t, len(old.reads), 1)
	assert.Assert(t, old.reads[0].Failed)
	follower := c.others(old.member.ID)[0]
	if follower != c.leader() {
		assert.ErrorIs(t, follower.core.ReadIndex(2), ErrNotLeader)
	}
}
