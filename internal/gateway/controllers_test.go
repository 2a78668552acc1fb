package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A leader that stands still accepts connections and says nothing; the others are tried
// before it, also where one that has not noticed yet names it as the leader.
func TestASilentControllerIsTriedLast(t *testing.T) {
	list := newControllerList([]string{"a", "b"})
	list.learn([]string{"leader", "b", "c"})
	assert.DeepEqual(t, list.order(), []string{"leader", "b", "c", "a"})
	list.fellSilent("leader")
	assert.DeepEqual(t, list.order(), []string{"b", "c", "a", "leader"})
	assert.Assert(t, !list.follows("leader"), "named by a follower")
	assert.Assert(t, list.follows("c"))
	list.heard("c")
	assert.DeepEqual(t, list.order(), []string{"b", "c", "a", "leader"})
	list.heard("leader")
	assert.DeepEqual(t, list.order(), []string{"leader", "b", "c", "a"})
	assert.Assert(t, list.follows("leader"))
}

// A lone controller that fell silent is tried again.
func TestALoneSilentControllerIsTriedAgain(t *testing.T) {
	list := newControllerList([]string{"a"})
	list.fellSilent("a")
	assert.DeepEqual(t, list.order(), []string{"a"})
}

func TestAGreetingIsAwaitedForLongerInALargerFleet(t *testing.T) {
	assert.Assert(t, greetingLimit(4) < greetingLimit(280))
	assert.Assert(t, greetingLimit(1100) <= sessionSilence)
}
