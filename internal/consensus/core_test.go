package consensus

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestReplicasApplyCommandsInSameOrder(t *testing.T) {
	c := newCluster(t, 1, 3)
	var last uint64
	for i := range 20 {
		last = c.commit(fmt.Sprint(i))
	}
	c.waitUntil("all replicas apply", func() bool { return c.allApplied(last) })
	for _, n := range c.nodes {
		assert.Equal(t, len(n.applied), 20)
	}
}

func TestSingleReplicaFormsQuorum(t *testing.T) {
	c := newCluster(t, 2, 1)
	c.commit("alone")
	leader := c.waitForLeader()
	leader.paused = true
	c.run(5 * time.Second)
	c.resume(leader.member.ID)
	c.commit("after a pause")
	assert.Equal(t, leader.core.Status().Term, uint64(1))
}

func TestCommittedEntriesSurviveLeaderCrash(t *testing.T) {
	c := newCluster(t, 3, 3)
	c.commit("one")
	old := c.waitForLeader()
	c.crash(old.member.ID)
	last := c.commit("two")
	c.restart(old.member.ID)
	c.waitUntil("the old leader catches up", func() bool { return c.allApplied(last) })
	assert.Equal(t, len(old.applied), 2)
}
