package seats

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// maxStep bounds the time that one observation adds to a silence. A leader that was suspended has
// heard nobody meanwhile, and its members' answers are only about to be read.
const maxStep = 100 * time.Millisecond

// Silence counts for how long each member has not been heard by a leader. It must be created anew
// when a leadership begins. It is not safe for concurrent use.
type Silence struct {
	observedAt time.Duration
	members    map[topology.ReplicaID]silentMember
}

type silentMember struct {
	heardAt time.Duration
	silence time.Duration
}

// NewSilence returns a count that begins at now, a time on the replica's clock.
func NewSilence(now time.Duration) *Silence {
	return &Silence{observedAt: now, members: map[topology.ReplicaID]silentMember{}}
}

// Observe updates the count from the leader's status. It is to be called at each tick.
func (s *Silence) Observe(status *consensus.Status, now time.Duration) {
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
	members := []Member{{ID: status.ID, Voter: status.Membership.IsVoter(status.ID), CaughtUp: true}}
	for _, peer := range status.Peers {
		members = append(members, Member{
			ID: peer.ID, Voter: status.Membership.IsVoter(peer.ID), Silence: s.members[peer.ID].silence, CaughtUp: peer.Match >= status.Commit,
		})
	}
	return members
}
