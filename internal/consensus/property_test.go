package consensus

import (
	"fmt"
	"testing"
	"time"

	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/topology"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// faultMachine applies random operations, drawn by rapid, to a cluster. The
// cluster checks at each step that there is at most one leader in a term, one
// valid lease and one entry at an index, and that no message is sent before the
// write on which it depends.
type faultMachine struct {
	*cluster
	rt         *rapid.T
	diskCopies map[topology.ReplicaID]disk
	nextID     topology.ReplicaID
	// acknowledged is the highest index whose proposer saw it committed.
	acknowledged uint64
	pending      map[topology.ReplicaID]map[uint64]uint64
	reads        map[uint64]uint64
	nextRead     uint64
}

func (c *faultMachine) pick(label string) *node {
	ids := c.ids()
	return c.nodes[ids[rapid.IntRange(0, len(ids)-1).Draw(c.rt, label)]]
}

func (c *faultMachine) advance(*rapid.T) {
	for range rapid.IntRange(1, 60).Draw(c.rt, "ticks") {
		c.step()
		c.recordResults()
	}
}

// recordResults records which proposals and reads have completed.
func (c *faultMachine) recordResults() {
	for id, proposals := range c.pending {
		n := c.nodes[id]
		for index, term := range proposals {
			if n.core == nil {
				delete(proposals, index)
				continue
			}
			if n.core.Status().Applied < index {
				continue
			}
			if entry, ok := c.committed[index]; ok && entry.Term == term {
				c.acknowledged = max(c.acknowledged, index)
			}
			delete(proposals, index)
		}
	}
	for _, n := range c.nodes {
		for _, read := range n.reads {
			if !read.Failed {
				assert.Assert(c.rt, read.Index >= c.reads[read.Token], "a read at %d misses entry %d", read.Index, c.reads[read.Token])
			}
		}
		n.reads = nil
	}
}

func (c *faultMachine) propose(*rapid.T) {
	n := c.pick("proposer")
	if n.core == nil || n.paused {
		return
	}
	if index, term, err := n.core.Propose([]byte("value")); err == nil {
		if c.pending[n.member.ID] == nil {
			c.pending[n.member.ID] = map[uint64]uint64{}
		}
		c.pending[n.member.ID][index] = term
		c.processReady(n)
	}
}

func (c *faultMachine) read(*rapid.T) {
	n := c.pick("reader")
	if n.core == nil || n.paused {
		return
	}
	c.nextRead++
	if n.core.ReadIndex(c.nextRead) == nil {
		c.reads[c.nextRead] = c.acknowledged
		c.processReady(n)
	}
}

func (c *faultMachine) crashOne(*rapid.T) { c.crash(c.pick("crashed").member.ID) }

func (c *faultMachine) restartOne(*rapid.T) {
	if n := c.pick("restarted"); n.core == nil && n.fatalErr == nil {
		c.start(n)
	}
}

func (c *faultMachine) powerCut(*rapid.T) {
	for _, id := range c.ids() {
		if n := c.nodes[id]; n.fatalErr == nil && rapid.Bool().Draw(c.rt, "cut") {
			c.crash(id)
			c.restartUnproven(id)
		}
	}
}

func (c *faultMachine) pauseOrResume(*rapid.T) {
	n := c.pick("paused")
	switch {
	case n.core == nil:
	case n.paused:
		c.resume(n.member.ID)
	default:
		n.paused = true
	}
}

func (c *faultMachine) fillOrEmptyDisk(*rapid.T) {
	n := c.pick("full")
	n.diskFull = !n.diskFull
}

func (c *faultMachine) cutOneWay(*rapid.T) {
	c.cut[[2]topology.ReplicaID{c.pick("from").member.ID, c.pick("to").member.ID}] = true
}

func (c *faultMachine) healAll(*rapid.T) {
	c.heal()
	c.lossRate = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(c.rt, "loss")
	c.maxDelay = rapid.SampledFrom([]time.Duration{1, 5, 40, 400}).Draw(c.rt, "delay") * time.Millisecond
}

func (c *faultMachine) compactOne(*rapid.T) {
	if n := c.pick("compacted"); n.core != nil {
		c.compact(n.member.ID, uint64(rapid.IntRange(0, 5).Draw(c.rt, "retained")))
	}
}

func (c *faultMachine) copyDisk(*rapid.T) {
	n := c.pick("copied")
	c.diskCopies[n.member.ID] = n.disk.clone()
}

// restoreOneDiskCopy restores an older copy of a replica's disk, if the group has
// three or more voters and no other replica has lost its disk: it tolerates one
// such loss at a time.
func (c *faultMachine) restoreOneDiskCopy(*rapid.T) {
	n := c.pick("rolled back")
	copied, ok := c.diskCopies[n.member.ID]
	if !ok || n.fatalErr != nil {
		return
	}
	for _, other := range c.nodes {
		if other.core == nil || other.core.Membership().Voters() < 3 {
			return
		}
	}
	for _, other := range c.nodes {
		if other != n && (other.fatalErr != nil || other.core == nil || other.core.Status().Unproven) {
			return
		}
	}
	c.crash(n.member.ID)
	c.restoreDiskCopy(n.member.ID, copied)
}

func (c *faultMachine) changeMembership(*rapid.T) {
	n := c.leader()
	if n == nil {
		return
	}
	kind := rapid.SampledFrom([]ChangeKind{AddLearner, Promote, Remove}).Draw(c.rt, "change")
	change := Change{Kind: kind}
	if kind == AddLearner {
		if len(c.nodes) >= 8 {
			return
		}
		change.Member = testMember(c.nextID)
	} else {
		change.Member = c.pick("member").member
	}
	if _, _, err := n.core.ProposeMembership(change); err != nil {
		return
	}
	if kind == AddLearner {
		c.add(change.Member)
		c.nextID++
	}
	c.processReady(n)
}

func (c *faultMachine) transfer(*rapid.T) {
	if n := c.leader(); n != nil && n.core.TransferLeadership(c.pick("successor").member.ID) == nil {
		c.processReady(n)
	}
}

// healAndCheck ends all faults and checks that the group goes on with all that
// was acknowledged.
func (c *faultMachine) healAndCheck() {
	c.heal()
	c.lossRate, c.maxDelay = 0, 5*time.Millisecond
	for _, id := range c.ids() {
		n := c.nodes[id]
		n.diskFull = false
		switch {
		case n.fatalErr != nil:
		case n.core == nil:
			c.start(n)
		case n.paused:
			c.resume(id)
		}
	}
	for range 500 {
		c.step()
		c.recordResults()
	}
	for _, n := range c.nodes {
		if n.fatalErr != nil {
			// There may be no quorum of replicas with a proven disk left.
			return
		}
	}
	last := c.commit("last")
	assert.Assert(c.rt, last > c.acknowledged)
	members := c.waitForLeader().core.Membership()
	c.waitUntil("all members apply", func() bool {
		for _, member := range members.Members {
			n := c.nodes[member.ID]
			if n.fatalErr == nil && n.core.Status().Applied < last {
				return false
			}
		}
		return true
	})
}

func TestNoCommittedEntryIsLostUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 3, 3, 5}).Draw(rt, "size")
		c := &faultMachine{
			cluster: newCluster(rt, rapid.Uint64().Draw(rt, "seed"), size),
			rt:      rt, nextID: topology.ReplicaID(size + 1),
			diskCopies: map[topology.ReplicaID]disk{},
			pending:    map[topology.ReplicaID]map[uint64]uint64{},
			reads:      map[uint64]uint64{},
		}
		steps := map[string]func(*rapid.T){
			"advance": c.advance, "propose": c.propose, "read": c.read,
			"crash": c.crashOne, "restart": c.restartOne, "power cut": c.powerCut,
			"pause": c.pauseOrResume, "disk full": c.fillOrEmptyDisk,
			"cut": c.cutOneWay, "heal": c.healAll, "compact": c.compactOne,
			"copy disk": c.copyDisk, "roll back": c.restoreOneDiskCopy,
			"membership": c.changeMembership, "transfer": c.transfer,
		}
		for name := range steps {
			if name != "advance" && name != "propose" {
				continue
			}
			for more := range 4 {
				steps[fmt.Sprintf("%s %d", name, more)] = steps[name]
			}
		}
		rt.Repeat(steps)
		c.healAndCheck()
	})
}
