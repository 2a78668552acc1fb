package seats

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// maxStep bounds the time that one observation adds to a silence. A leader that was suspended has
// heard nobody meanwhile, and its members' answers are only about to be read.
const maxStep = 100 * time.Millisecond

// Silence counts for how long a leader has not heard each member. What an earlier leadership has
// heard says nothing about the present: the count begins anew with each term, and a member that has
// not been heard since counts as unheard. The zero value is ready for use. It is not safe for
// concurrent use.
type Silence struct {
	term       uint64
	observedAt time.Duration
	members    map[topology.ReplicaID]silentMember
}

type silentMember struct {
	// heardAt is zero if the member has not been heard in this term.
	heardAt time.Duration
	silence time.Duration
}

// Observe updates the count from the leader's status. It is to be called at each tick at which the
// leader holds its lease; now is a time on the replica's clock.
func (s *Silence) Observe(status *consensus.Status, now time.Duration) {
	if s.term != status.Term || s.members == nil {
		*s = Silence{term: status.Term, observedAt: now}
	}
	step := min(now-s.observedAt, maxStep)
	s.observedAt = now
	observed := make(map[topology.ReplicaID]silentMember, len(status.Peers))
	for _, peer := range status.Peers {
		earlier, known := s.members[peer.ID]
		if !known || peer.HeardAt > earlier.heardAt {
			observed[peer.ID] = silentMember{heardAt: peer.HeardAt}
			continue
		}
		observed[peer.ID] = silentMember{earlier.heardAt, earlier.silence + step}
	}
	s.members = observed
}

// Members returns the members of the leader's status with their silence.
func (s *Silence) Members(status *consensus.Status) []Member {
	members := []Member{{ID: status.ID, Voter: status.Membership.IsVoter(status.ID), Heard: true, CaughtUp: true}}
	for _, peer := range status.Peers {
		counted := s.members[peer.ID]
		members = append(members, Member{
			ID: peer.ID, Voter: status.Membership.IsVoter(peer.ID), Heard: counted.heardAt > 0, Silence: counted.silence, CaughtUp: peer.Match >= status.Commit,
		})
	}
	return members
}
