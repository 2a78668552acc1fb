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

// leading returns a leadership that has begun in a term.
func leading(t *testing.T, term uint64) *leadership.Leadership {
	t.Helper()
	l := &leadership.Leadership{}
	assert.DeepEqual(t, l.Tick(leader(term), 0), leadership.Duty{Announce: true})
	assert.Assert(t, l.Announced(leader(term), term))
	return l
}

func TestElectedLeaderActsOnlyAfterItsAnnouncementIsApplied(t *testing.T) {
	l := &leadership.Leadership{}
	assert.DeepEqual(t, l.Tick(leader(3), 0), leadership.Duty{Announce: true})
	assert.DeepEqual(t, l.Tick(leader(3), 1), leadership.Duty{})
	assert.Assert(t, !l.Leads(leader(3), 1))
	assert.Assert(t, l.Announced(leader(3), 3))
	assert.DeepEqual(t, l.Tick(leader(3), 2), leadership.Duty{Act: true})
	assert.Equal(t, l.Term(), uint64(3))
}

func TestLeaderThatWakesAfterItsLeaseActsOnNothing(t *testing.T) {
	l := leading(t, 3)
	assert.Assert(t, l.Leads(leader(3), leaseEnd-1))
	assert.Assert(t, !l.Leads(leader(3), leaseEnd))
	assert.DeepEqual(t, l.Tick(leader(3), leaseEnd), leadership.Duty{})
}

func TestDeposedLeaderStepsDownOnce(t *testing.T) {
	l := leading(t, 3)
	assert.DeepEqual(t, l.Tick(follower(4), 1), leadership.Duty{StepDown: true})
	assert.DeepEqual(t, l.Tick(follower(4), 2), leadership.Duty{})
	assert.Equal(t, l.Term(), uint64(0))
}

func TestLeaderOfAnotherTermStepsDownAndAnnouncesAnew(t *testing.T) {
	l := leading(t, 3)
	assert.Assert(t, !l.Leads(leader(5), 1))
	assert.DeepEqual(t, l.Tick(leader(5), 1), leadership.Duty{StepDown: true, Announce: true})
	assert.Assert(t, !l.Announced(leader(5), 3), "the announcement of an earlier term begins nothing")
	assert.Assert(t, l.Announced(leader(5), 5))
}

func TestAnnouncementThatComesAfterTheTermBeginsNothing(t *testing.T) {
	l := &leadership.Leadership{}
	l.Tick(leader(3), 0)
	assert.Assert(t, !l.Announced(follower(4), 3))
	assert.Assert(t, !l.Leads(leader(3), 1))
	l.Refused(3)
	assert.DeepEqual(t, l.Tick(leader(6), 2), leadership.Duty{Announce: true})
}

func TestRefusedAnnouncementIsMadeAgain(t *testing.T) {
	l := &leadership.Leadership{}
	l.Tick(leader(3), 0)
	l.Refused(3)
	assert.DeepEqual(t, l.Tick(leader(3), 1), leadership.Duty{Announce: true})
}
