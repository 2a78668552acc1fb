package consensus

import (
	"fmt"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus/tracker"
	"github.com/quartzdock/quartzdock/internal/topology"
	"gotest.tools/v3/assert"
)

func TestOneUncommittedMembershipChangeAtATime(t *testing.T) {
	c := newCluster(t, 31, 3)
	leader := c.waitForLeader()
	c.commit("a")
	c.isolate(leader.member.ID)
	_, _, err := leader.core.ProposeMembership(Change{Kind: AddLearner, Member: testMember(4)})
	assert.NilError(t, err)
	_, _, err = leader.core.ProposeMembership(Change{Kind: AddLearner, Member: testMember(5)})
	assert.ErrorIs(t, err, ErrChangeInProgress)
	c.heal()
	c.waitUntil("the change is committed", func() bool {
		_, _, err = leader.core.ProposeMembership(Change{Kind: AddLearner, Member: testMember(5)})
		return err == nil
	})
	_, _, err = leader.core.ProposeMembership(Change{Kind: Promote, Member: testMember(4)})
	assert.ErrorIs(t, err, ErrChangeInProgress)
}

func TestNewLeaderRefusesMembershipChangeBeforeFirstCommit(t *testing.T) {
	c := newCluster(t, 32, 3)
	c.commit("a")
	old := c.waitForLeader()
	c.crash(old.member.ID)
	// The other two cannot commit while their disks are full.
	for _, n := range c.nodes {
		n.diskFull = true
	}
	leader := c.waitForLeader()
	_, _, err := leader.core.ProposeMembership(Change{Kind: Remove, Member: old.member})
	assert.ErrorIs(t, err, ErrTermNotCommitted)
}

func TestLearnerIsPromotedOnlyWhenCaughtUp(t *testing.T) {
	c := newCluster(t, 33, 3)
	c.commit("a")
	learner := c.add(testMember(4))
	learner.diskFull = true
	c.change(Change{Kind: AddLearner, Member: learner.member})
	c.run(time.Second)
	leader := c.waitForLeader()
	_, _, err := leader.core.ProposeMembership(Change{Kind: Promote, Member: learner.member})
	assert.ErrorIs(t, err, ErrNotCaughtUp)
	learner.diskFull = false
	c.change(Change{Kind: Promote, Member: learner.member})
	assert.Assert(t, c.waitForLeader().core.Membership().IsVoter(4))
}

func TestInvalidMembershipChangesAreRefused(t *testing.T) {
	membership := NewMembership(testMember(1), testMember(2))
	for name, change := range map[string]Change{
		"unknown kind":                {Kind: 9, Member: testMember(1)},
		"learner without incarnation": {Kind: AddLearner, Member: Member{ID: 3}},
		"known incarnation":           {Kind: AddLearner, Member: Member{Incarnation: testMember(2).Incarnation}},
		"ID that was used before":     {Kind: AddLearner, Member: Member{ID: 2, Incarnation: 9}},
		"promotion of a voter":        {Kind: Promote, Member: testMember(2)},
		"promotion of a non-member":   {Kind: Promote, Member: testMember(3)},
		"removal of a non-member":     {Kind: Remove, Member: testMember(3)},
		"removal of the zero ID":      {Kind: Remove},
		"successor that is a voter":   {Kind: Remove, Member: testMember(1), Successor: 2},
		"successor unknown":           {Kind: Remove, Member: testMember(1), Successor: 3},
		"successor of itself":         {Kind: Remove, Member: testMember(1), Successor: 1},
	} {
		_, _, err := membership.With(change)
		refused, ok := err.(*ChangeError)
		assert.Assert(t, ok && refused.Reason != "", name)
	}
	alone := NewMembership(testMember(1))
	_, _, err := alone.With(Change{Kind: Remove, Member: testMember(1)})
	assert.ErrorContains(t, err, "last voter")
}

func TestLeaderStepsDownOnceItsRemovalIsCommitted(t *testing.T) {
	c := newCluster(t, 34, 3)
	c.commit("a")
	old := c.waitForLeader()
	c.change(Change{Kind: Remove, Member: old.member})
	assert.Equal(t, old.core.Role(), NonVoter)
	last := c.commit("b")
	assert.Assert(t, c.leader() != old)
	c.waitUntil("the others apply", func() bool {
		for _, n := range c.others(old.member.ID) {
			if n.core.Status().Applied < last {
				return false
			}
		}
		return true
	})
}

// The entry that removes a member gives its seat to its successor, and a later leader finds it there.
func TestSeatOfARemovedMemberGoesToItsSuccessor(t *testing.T) {
	c := newCluster(t, 38, 3)
	c.commit("a")
	old := c.waitForLeader()
	removed := c.others(old.member.ID)[0]
	learner := c.add(testMember(4))
	c.change(Change{Kind: AddLearner, Member: learner.member})
	c.change(Change{Kind: Remove, Member: removed.member, Successor: 4})
	membership := c.waitForLeader().core.Membership()
	member, _ := membership.Find(4)
	assert.Assert(t, member.Learner && member.Seat && membership.Voters() == 2, "%+v", membership)
	_, _, err := membership.With(Change{Kind: Remove, Member: old.member, Successor: 4})
	assert.ErrorContains(t, err, "holds a seat already")
	c.crash(old.member.ID)
	c.restart(old.member.ID)
	member, _ = c.waitForLeader().core.Membership().Find(4)
	assert.Assert(t, member.Seat)
	c.change(Change{Kind: Promote, Member: learner.member})
	member, _ = c.waitForLeader().core.Membership().Find(4)
	assert.Assert(t, !member.Learner && !member.Seat, "%+v", member)
}

// A learner that was only to get a seat passes it on, and one without a seat has none to pass on.
func TestSeatOfALearnerGoesToItsSuccessor(t *testing.T) {
	membership := NewMembership(testMember(1), testMember(2), Member{ID: 3, Incarnation: 3, Learner: true, Seat: true}, Member{ID: 4, Incarnation: 4, Learner: true})
	next, _, err := membership.With(Change{Kind: Remove, Member: Member{ID: 3}, Successor: 4})
	assert.NilError(t, err)
	member, _ := next.Find(4)
	assert.Assert(t, member.Seat)
	next, _, err = membership.With(Change{Kind: Remove, Member: Member{ID: 4}, Successor: 3})
	assert.NilError(t, err)
	assert.Equal(t, len(next.Members), 3)
}

// A replica whose disk was lost starts with a new incarnation. The other
// replicas ignore its messages under the old ID, and it has no vote.
func TestReplicaWithLostDiskHasNoVote(t *testing.T) {
	c := newCluster(t, 35, 3)
	c.commit("a")
	leader := c.waitForLeader()
	followers := c.others(leader.member.ID)
	lost, behind := followers[0], followers[1]
	c.isolate(behind.member.ID)
	c.commit("b")
	c.crash(leader.member.ID)
	c.heal()
	lost.disk = disk{}
	lost.disk.snapshot.Meta.Membership = NewMembership(testMember(1), testMember(2), testMember(3))
	lost.member.Incarnation = 77
	c.start(lost)
	c.run(20 * time.Second)
	assert.Assert(t, c.leader() == nil, "a stale log and an empty one must not form a quorum")
	c.restart(leader.member.ID)
	c.commit("c")
}

func TestLeaderCrashRightAfterReplacementLosesNothing(t *testing.T) {
	for seed := range uint64(30) {
		c := newCluster(t, 300+seed, 3)
		c.lossRate = 0.1
		for i := range 5 {
			c.commit(fmt.Sprint(i))
		}
		first := c.waitForLeader()
		if seed%2 == 0 {
			first = c.others(first.member.ID)[0]
		}
		c.crash(first.member.ID)
		replacement := c.add(testMember(4))
		c.change(Change{Kind: AddLearner, Member: replacement.member})
		c.commit("during")
		c.change(Change{Kind: Remove, Member: first.member})
		c.change(Change{Kind: Promote, Member: replacement.member})
		leader := c.waitForLeader()
		c.crash(leader.member.ID)
		last := c.commit("after")
		for _, n := range c.others(0) {
			c.waitUntil("the remaining replicas apply all entries", func() bool { return n.core.Status().Applied >= last })
			assert.Equal(t, len(n.applied), 7, "seed %d, replica %d", seed, n.member.ID)
		}
	}
}

func TestRetainedEntriesAvoidSnapshot(t *testing.T) {
	for _, retain := range []uint64{100, 0} {
		c := newCluster(t, 36, 3)
		c.commit("a")
		leader := c.waitForLeader()
		away := c.others(leader.member.ID)[0]
		c.isolate(away.member.ID)
		var last uint64
		for i := range 50 {
			last = c.commit(fmt.Sprint(i))
		}
		c.compact(leader.member.ID, retain)
		snapshots := 0
		c.heal()
		c.waitUntil("it catches up", func() bool {
			for _, peer := range leader.core.Status().Peers {
				if peer.ID == away.member.ID && peer.State == tracker.Snapshot {
					snapshots++
				}
			}
			return c.allApplied(last)
		})
		assert.Equal(t, snapshots > 0, retain == 0)
		assert.Equal(t, len(away.applied), 51)
	}
}

func TestSnapshotCarriesMembership(t *testing.T) {
	c := newCluster(t, 37, 3)
	c.commit("a")
	leader := c.waitForLeader()
	away := c.others(leader.member.ID)[0]
	c.isolate(away.member.ID)
	learner := c.add(testMember(4))
	c.change(Change{Kind: AddLearner, Member: learner.member})
	last := c.commit("b")
	for _, n := range c.others(away.member.ID) {
		c.waitUntil("applied", func() bool { return n.core.Status().Applied >= last })
		c.compact(n.member.ID, 0)
	}
	c.heal()
	c.waitUntil("it catches up", func() bool { return c.allApplied(last) })
	assert.Assert(t, away.core.Membership().HasIncarnation(4, learner.member.Incarnation))
	c.crash(away.member.ID)
	c.restart(away.member.ID)
	assert.Assert(t, away.core.Membership().HasIncarnation(4, learner.member.Incarnation))
}

func TestMemoryForSlowFollowerIsBounded(t *testing.T) {
	c := newCluster(t, 38, 3)
	c.commit("a")
	leader := c.waitForLeader()
	slow := c.others(leader.member.ID)[0]
	slow.diskFull = true
	slow.paused = true
	c.maxDelay = time.Millisecond
	for i := range 400 {
		c.commit(fmt.Sprintf("%-50d", i))
		for _, peer := range leader.core.Status().Peers {
			// One Append may exceed the bound.
			assert.Assert(t, peer.InflightBytes <= 4*200, "in flight to %d: %d bytes", peer.ID, peer.InflightBytes)
		}
	}
	assert.Assert(t, len(slow.inbox) < 400, "%d messages are queued for the paused replica", len(slow.inbox))
}

func TestLeaderWithoutQuorumBoundsUncommittedBytes(t *testing.T) {
	c := newCluster(t, 39, 3)
	leader := c.waitForLeader()
	for _, other := range c.others(leader.member.ID) {
		other.paused = true
	}
	var err error
	proposed := 0
	for err == nil && proposed < 2*DefaultMaxUncommittedBytes {
		_, _, err = leader.core.Propose(make([]byte, 1<<20))
		proposed += 1 << 20
	}
	assert.ErrorIs(t, err, ErrTooMuchInFlight)
	assert.Assert(t, proposed <= DefaultMaxUncommittedBytes+2<<20)
}

func TestMisaddressedMessagesAreDropped(t *testing.T) {
	s := newHarness(t, Config{})
	m := Message{
		Kind: MessageVote, Term: 9, Group: testGroup, From: 2, FromIncarnation: testMember(2).Incarnation,
		To: 1, ToIncarnation: testMember(1).Incarnation,
	}
	for name, change := range map[string]func(*Message){
		"group":              func(m *Message) { m.Group++ },
		"receiver":           func(m *Message) { m.To++ },
		"own incarnation":    func(m *Message) { m.ToIncarnation++ },
		"sender incarnation": func(m *Message) { m.FromIncarnation++ },
	} {
		wrong := m
		change(&wrong)
		assert.NilError(t, s.core.Step(DefaultElectionTimeout, wrong))
		assert.Assert(t, !s.core.HasReady(), "another %s", name)
		assert.Equal(t, s.core.Status().Term, uint64(0))
	}
	assert.Assert(t, topology.ReplicaID(0) == s.core.Status().Leader)
}
