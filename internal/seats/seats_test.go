package seats_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/seats"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const removeAfter = 10 * time.Second

func voter(id topology.ReplicaID, silence time.Duration) seats.Member {
	return seats.Member{ID: id, Voter: true, Silence: silence, Heard: true, CaughtUp: silence == 0}
}

func learner(id topology.ReplicaID, caughtUp bool) seats.Member {
	return seats.Member{ID: id, Heard: true, CaughtUp: caughtUp}
}

func TestAdmission(t *testing.T) {
	const absent = seats.ReplaceAfter + time.Second
	for name, test := range map[string]struct {
		members []seats.Member
		want    seats.Admission
	}{
		"all voters are present":             {[]seats.Member{voter(1, 0), voter(2, 0), voter(3, 0), learner(4, true)}, seats.Admission{Action: seats.Promote}},
		"it has not caught up":               {[]seats.Member{voter(1, 0), voter(2, absent), voter(3, 0), learner(4, false)}, seats.Admission{Action: seats.Wait}},
		"it was never heard":                 {[]seats.Member{voter(1, 0), voter(2, absent), voter(3, 0), {ID: 4, CaughtUp: true}}, seats.Admission{Action: seats.Wait}},
		"it has ended since":                 {[]seats.Member{voter(1, 0), voter(2, absent), voter(3, 0), {ID: 4, Heard: true, Silence: absent, CaughtUp: true}}, seats.Admission{Action: seats.Wait}},
		"a voter is absent":                  {[]seats.Member{voter(1, 0), voter(2, absent), voter(3, 0), learner(4, true)}, seats.Admission{Action: seats.Replace, Replaced: 2}},
		"the longest absent one is replaced": {[]seats.Member{voter(1, 0), voter(2, absent), voter(3, 0), voter(4, absent+1), voter(5, 0), learner(6, true)}, seats.Admission{Action: seats.Replace, Replaced: 4}},
		"it is not clear yet":                {[]seats.Member{voter(1, 0), voter(2, seats.PresentWithin), voter(3, 0), learner(4, true)}, seats.Admission{Action: seats.Wait}},
		"its own seat, beside an absent one": {[]seats.Member{voter(1, 0), voter(2, absent), voter(3, 0), {ID: 4, Seat: true, Heard: true, CaughtUp: true}}, seats.Admission{Action: seats.Promote}},
		"it has a seat and is behind":        {[]seats.Member{voter(1, 0), voter(2, absent), voter(3, 0), {ID: 4, Seat: true, Heard: true}}, seats.Admission{Action: seats.Wait}},
		"an absent learner has a seat":       {[]seats.Member{voter(1, 0), voter(2, 0), {ID: 3, Seat: true, Heard: true, Silence: absent}, learner(4, true)}, seats.Admission{Action: seats.Replace, Replaced: 3}},
		"one with a seat is not clear yet":   {[]seats.Member{voter(1, 0), voter(2, 0), {ID: 3, Seat: true}, learner(4, true)}, seats.Admission{Action: seats.Wait}},
		"an absent learner has no seat":      {[]seats.Member{voter(1, 0), voter(2, 0), {ID: 3, Silence: absent}, learner(4, true)}, seats.Admission{Action: seats.Promote}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, seats.Admit(test.members, test.members[len(test.members)-1].ID), test.want)
		})
	}
}

// A member that is gone for good loses its seat also if another one is absent.
func TestRemovalWithoutSuccessor(t *testing.T) {
	members := []seats.Member{voter(1, 0), voter(2, removeAfter+1), voter(3, 0), voter(4, removeAfter), voter(5, 0)}
	assert.Equal(t, seats.Remove(members, removeAfter), topology.ReplicaID(2))
	assert.Equal(t, seats.Remove(members[:4], removeAfter), topology.ReplicaID(0), "two voters are present")
	members[1].Silence, members[3].Silence = removeAfter-1, time.Second
	assert.Equal(t, seats.Remove(members, removeAfter), topology.ReplicaID(0))
}

// A leader that was suspended takes nobody for silent, however long it was.
func TestSuspendedLeaderTakesNobodyForSilent(t *testing.T) {
	status := &consensus.Status{ID: 1, Membership: consensus.NewMembership(consensus.Member{ID: 1}, consensus.Member{ID: 2}), Peers: []consensus.PeerStatus{{ID: 2}}}
	var silence seats.Silence
	for now := 25 * time.Millisecond; now < time.Second; now += 25 * time.Millisecond {
		status.Peers[0].HeardAt = now
		silence.Observe(status, now)
	}
	silence.Observe(status, time.Hour)
	assert.Assert(t, silence.Members(status)[1].Silence < seats.PresentWithin)
	for now := time.Hour; now < time.Hour+seats.ReplaceAfter; now += 25 * time.Millisecond {
		silence.Observe(status, now)
	}
	assert.Assert(t, silence.Members(status)[1].Silence >= seats.ReplaceAfter-25*time.Millisecond)
}

// A new leader has heard nobody yet. A voter that is gone for good must not pass for present at the
// beginning of a leadership, or its successor gets a further seat and the dead voter keeps its own.
func TestNewLeaderTakesNobodyForPresentUnheard(t *testing.T) {
	const tick, answerAfter = 25 * time.Millisecond, 50 * time.Millisecond
	const gone, joining = topology.ReplicaID(3), topology.ReplicaID(4)
	status := &consensus.Status{ID: 1, Term: 1, Membership: consensus.NewMembership(
		consensus.Member{ID: 1}, consensus.Member{ID: 2}, consensus.Member{ID: gone}, consensus.Member{ID: joining, Learner: true})}
	var silence seats.Silence
	now := time.Duration(0)
	lead := func(length time.Duration) (decided seats.Admission) {
		status.Term++
		status.Peers = []consensus.PeerStatus{{ID: 2}, {ID: gone}, {ID: joining}}
		elected := now
		for ; now < elected+length; now += tick {
			if now >= elected+answerAfter {
				status.Peers[0].HeardAt, status.Peers[2].HeardAt = now, now
			}
			silence.Observe(status, now)
			decided = seats.Admit(silence.Members(status), joining)
			if decided.Action != seats.Wait {
				return decided
			}
		}
		return decided
	}
	for range 3 {
		assert.Equal(t, lead(seats.ReplaceAfter/2), seats.Admission{Action: seats.Wait})
	}
	assert.Equal(t, lead(2*seats.ReplaceAfter), seats.Admission{Action: seats.Replace, Replaced: gone})
}
