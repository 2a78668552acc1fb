package gateway

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A leader that hangs accepts connections but never responds. The other controllers must be
// dialed before it, even if one that has not noticed yet redirects to it.
func TestSilentControllerIsTriedLast(t *testing.T) {
	list := newControllerList([]string{"a", "b"})
	list.update([]string{"leader", "b", "c"})
	assert.DeepEqual(t, list.dialOrder(), []string{"leader", "b", "c", "a"})
	list.markSilent("leader")
	assert.DeepEqual(t, list.dialOrder(), []string{"b", "c", "a", "leader"})
	assert.Assert(t, !list.mayFollow("leader"), "redirect of a follower to the silent leader")
	assert.Assert(t, list.mayFollow("c"))
	list.markResponsive("c")
	assert.DeepEqual(t, list.dialOrder(), []string{"b", "c", "a", "leader"})
	list.markResponsive("leader")
	assert.DeepEqual(t, list.dialOrder(), []string{"leader", "b", "c", "a"})
	assert.Assert(t, list.mayFollow("leader"))
}

// If there is only one controller, it is dialed again after it was silent.
func TestOnlyControllerIsRetriedAfterSilence(t *testing.T) {
	list := newControllerList([]string{"a"})
	list.markSilent("a")
	assert.DeepEqual(t, list.dialOrder(), []string{"a"})
}

func TestFirstMessageTimeoutGrowsWithFleet(t *testing.T) {
	assert.Assert(t, firstMessageTimeout(4) < firstMessageTimeout(280))
	assert.Assert(t, firstMessageTimeout(1100) <= sessionIdleTimeout)
}
