package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// checkEarlierLeases verifies that a replica that has just been elected does
// not put the end of earlier leases before the last moment at which another
// replica held one. One that paused and counts its votes late may find a leader
// of a later term, which this says nothing about.
func (c *cluster) checkEarlierLeases(n *node) {
	status := n.core.Status()
	for term, at := range c.actedAt {
		if term < status.Term && c.leaders[term] != n.member.ID && status.EarlierLeasesEnd < at {
			c.t.Fatalf("replica %d, elected in term %d, counts earlier leases as over at %v, but replica %d held that of term %d at %v",
				n.member.ID, status.Term, status.EarlierLeasesEnd, c.leaders[term], term, at)
		}
	}
}

func TestNewLeaderKnowsByWhenEarlierLeasesHaveEnded(t *testing.T) {
	c := newCluster(t, 5, 3)
	old := c.waitLeader()
	c.run(time.Second)
	c.crash(old.member.ID)
	crashed := c.now
	next := c.waitLeader()
	end := next.core.Status().EarlierLeasesEnd
	const slack = 20 * time.Millisecond
	assert.Assert(t, end >= crashed, "the lease of the old leader may have lasted on")
	assert.Assert(t, end <= crashed+DefaultElectionTimeout+slack, "known %v after the crash", end-crashed)
}

// TestEarlierLeasesEndUnderFaults elects leaders again and again under pauses,
// crashes and cuts; checkEarlierLeases judges each election.
func TestEarlierLeasesEndUnderFaults(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 3+2*int(seed%2))
		c.lossRate = 0.05
		random := rand.New(rand.NewPCG(seed, 7))
		for range 40 {
			c.disturb(random)
			c.run(time.Duration(random.Int64N(int64(700 * time.Millisecond))))
		}
	}
}

// disturb ends one fault or begins one.
func (c *cluster) disturb(random *rand.Rand) {
	id := c.ids()[random.IntN(len(c.nodes))]
	n := c.nodes[id]
	switch {
	case n.core == nil:
		c.restart(id)
	case n.paused:
		c.resume(id)
	default:
		c.begin(id, random)
	}
}

func (c *cluster) begin(id topology.ReplicaID, random *rand.Rand) {
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
// that the quorum of the next election is another than that of the last lease,
// and restarts another from a snapshot.
func TestEarlierLeasesEndAcrossMembershipChanges(t *testing.T) {
	for seed := range uint64(10) {
		c := newCluster(t, seed, 4)
		leader := c.waitLeader()
		removed, restarted := c.nodes[leader.member.ID%4+1], c.nodes[(leader.member.ID+1)%4+1]
		c.change(Change{Kind: Remove, Member: removed.member})
		c.crash(removed.member.ID)
		restarted.disk = restarted.disk.clone()
		restarted.disk.snapshot.Data = encodeApplied(decodeApplied(restarted.disk.snapshot))
		c.restart(restarted.member.ID)
		c.crash(leader.member.ID)
		c.until("a new leader", func() bool {
			next := c.leader()
			return next != nil && next != leader
		})
	}
}

// TestAVoterThatLedTellsOfItsOwnLease elects a replica that was cut off, by the
// vote of the leader before it: nobody else can tell until when that one acted.
func TestAVoterThatLedTellsOfItsOwnLease(t *testing.T) {
	elected := 0
	for seed := range uint64(20) {
		c := newCluster(t, 500+seed, 3)
		last := c.commit("a")
		c.until("all replicas apply", func() bool { return c.allApplied(last) })
		old := c.waitLeader()
		followers := c.others(old.member.ID)
		c.isolate(followers[0].member.ID)
		c.run(time.Second)
		c.crash(followers[1].member.ID)
		c.until("the leader stops", func() bool { return old.core.Role() != Leader })
		c.heal()
		if c.until("another leader", func() bool { return c.leader() != nil && c.leader().core.Status().Term > 1 }); c.leader() == followers[0] {
			elected++
		}
	}
	assert.Assert(t, elected > 0, "the replica that was cut off was never elected")
}
