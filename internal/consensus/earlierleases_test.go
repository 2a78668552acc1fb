package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// checkEarlierLeases verifies that a replica that has just been elected does not
// report an end of earlier leases that is before the last time at which another
// replica held one. Leaders of later terms are not considered: a replica that
// was paused may count its votes only after another one was elected.
func (c *cluster) checkEarlierLeases(n *node) {
	status := n.core.Status()
	for term, at := range c.leaseHeldAt {
		if term < status.Term && c.leaders[term] != n.member.ID && status.EarlierLeasesEnd < at {
			c.t.Fatalf("replica %d, elected in term %d, reports that earlier leases have ended by %v, but replica %d held one in term %d at %v",
				n.member.ID, status.Term, status.EarlierLeasesEnd, c.leaders[term], term, at)
		}
	}
}

func TestNewLeaderBoundsEndOfEarlierLeases(t *testing.T) {
	c := newCluster(t, 5, 3)
	old := c.waitForLeader()
	c.run(time.Second)
	c.crash(old.member.ID)
	crashed := c.now
	next := c.waitForLeader()
	end := next.core.Status().EarlierLeasesEnd
	const slack = 20 * time.Millisecond
	assert.Assert(t, end >= crashed, "the old leader's lease was still valid at the crash")
	assert.Assert(t, end <= crashed+DefaultElectionTimeout+slack, "the bound is %v after the crash", end-crashed)
}

// TestEarlierLeasesEndUnderFaults causes many elections by pauses, crashes and
// network cuts. checkEarlierLeases checks each of them.
func TestEarlierLeasesEndUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3+2*int(seed%2))
		c.lossRate = 0.05
		random := rand.New(rand.NewPCG(seed, 7))
		for range 40 {
			c.toggleFault(random)
			c.run(time.Duration(random.Int64N(int64(700 * time.Millisecond))))
		}
	}
}

// toggleFault ends the fault of a random replica or begins one there.
func (c *cluster) toggleFault(random *rand.Rand) {
	id := c.ids()[random.IntN(len(c.nodes))]
	n := c.nodes[id]
	switch {
	case n.core == nil:
		c.restart(id)
	case n.paused:
		c.resume(id)
	default:
		c.beginFault(id, random)
	}
}

func (c *cluster) beginFault(id topology.ReplicaID, random *rand.Rand) {
	other := c.ids()[random.IntN(len(c.nodes))]
	switch random.IntN(5) {
	case 0:
		c.crash(id)
	case 1:
		c.nodes[id].paused = true
	case 2:
		c.isolate(id)
	case 3:
		c.cut[[2]topology.ReplicaID{id, other}] = true
	default:
		c.heal()
	}
}

// TestEarlierLeasesEndAcrossMembershipChanges removes one replica of four, so
// that the quorum of the next election differs from that of the last lease, and
// restarts another one from a snapshot.
func TestEarlierLeasesEndAcrossMembershipChanges(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, seed, 4)
		leader := c.waitForLeader()
		removed, restarted := c.nodes[leader.member.ID%4+1], c.nodes[(leader.member.ID+1)%4+1]
		c.change(Change{Kind: Remove, Member: removed.member})
		c.crash(removed.member.ID)
		restarted.disk = restarted.disk.clone()
		restarted.disk.snapshot.Data = encodeApplied(decodeApplied(restarted.disk.snapshot))
		c.restart(restarted.member.ID)
		c.crash(leader.member.ID)
		c.waitUntil("a new leader", func() bool {
			next := c.leader()
			return next != nil && next != leader
		})
	}
}

// TestVoterThatLedReportsItsOwnLease has an isolated replica elected by the vote
// of the previous leader, which alone can report how long its own lease lasted.
func TestVoterThatLedReportsItsOwnLease(t *testing.T) {
	elected := 0
	for seed := range uint64(20) {
		c := newCluster(t, 500+seed, 3)
		last := c.commit("a")
		c.waitUntil("all replicas apply", func() bool { return c.allApplied(last) })
		old := c.waitForLeader()
		followers := c.others(old.member.ID)
		c.isolate(followers[0].member.ID)
		c.run(time.Second)
		c.crash(followers[1].member.ID)
		c.waitUntil("the leader stops", func() bool { return old.core.Role() != Leader })
		c.heal()
		if c.waitUntil("another leader", func() bool { return c.leader() != nil && c.leader().core.Status().Term > 1 }); c.leader() == followers[0] {
			elected++
		}
	}
	assert.Assert(t, elected > 0, "the isolated replica was never elected")
}
