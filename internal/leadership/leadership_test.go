package leadership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/leadership"
)

const leaseEnd = time.Minute

func leader(term uint64) *consensus.Status {
	return &consensus.Status{Role: consensus.Leader, Term: term, LeaseUntil: leaseEnd}
}

func follower(term uint64) *consensus.Status {
	return &consensus.Status{Role: consensus.Follower, Term: term}
}

// leading returns the state of a controller that leads in a term.
func leading(t *testing.T, term uint64) *leadership.Leadership {
	t.Helper()
	l := &leadership.Leadership{}
	assert.DeepEqual(t, l.Tick(leader(term), 0), leadership.Actions{Announce: true})
	assert.Assert(t, l.Announced(leader(term), term))
	return l
}

func TestElectedLeaderActsOnlyAfterAnnouncementIsApplied(t *testing.T) {
	l := &leadership.Leadership{}
	assert.DeepEqual(t, l.Tick(leader(3), 0), leadership.Actions{Announce: true})
	assert.DeepEqual(t, l.Tick(leader(3), 1), leadership.Actions{})
	assert.Assert(t, !l.MayAct(leader(3), 1))
	assert.Assert(t, l.Announced(leader(3), 3))
	assert.DeepEqual(t, l.Tick(leader(3), 2), leadership.Actions{MayAct: true})
	assert.Equal(t, l.Term(), uint64(3))
}

func TestLeaderDoesNotActAfterLeaseExpires(t *testing.T) {
	l := leading(t, 3)
	assert.Assert(t, l.MayAct(leader(3), leaseEnd-1))
	assert.Assert(t, !l.MayAct(leader(3), leaseEnd))
	assert.DeepEqual(t, l.Tick(leader(3), leaseEnd), leadership.Actions{})
}

func TestDeposedLeaderStepsDownOnce(t *testing.T) {
	l := leading(t, 3)
	assert.DeepEqual(t, l.Tick(follower(4), 1), leadership.Actions{StepDown: true})
	assert.DeepEqual(t, l.Tick(follower(4), 2), leadership.Actions{})
	assert.Equal(t, l.Term(), uint64(0))
}

func TestLeaderOfNewTermStepsDownAndAnnouncesAgain(t *testing.T) {
	l := leading(t, 3)
	assert.Assert(t, !l.MayAct(leader(5), 1))
	assert.DeepEqual(t, l.Tick(leader(5), 1), leadership.Actions{StepDown: true, Announce: true})
	assert.Assert(t, !l.Announced(leader(5), 3), "the announcement of an earlier term has no effect")
	assert.Assert(t, l.Announced(leader(5), 5))
}

func TestLateAnnouncementDoesNotBeginLeadership(t *testing.T) {
	l := &leadership.Leadership{}
	l.Tick(leader(3), 0)
	assert.Assert(t, !l.Announced(follower(4), 3))
	assert.Assert(t, !l.MayAct(leader(3), 1))
	l.Refused(3)
	assert.DeepEqual(t, l.Tick(leader(6), 2), leadership.Actions{Announce: true})
}

func TestRefusedAnnouncementIsRetried(t *testing.T) {
	l := &leadership.Leadership{}
	l.Tick(leader(3), 0)
	l.Refused(3)
	assert.DeepEqual(t, l.Tick(leader(3), 1), leadership.Actions{Announce: true})
}
