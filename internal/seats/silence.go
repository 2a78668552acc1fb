package seats

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// maxStep bounds the time that one observation adds to a silence. A leader that was suspended has
// heard nobody meanwhile, and its members' answers are only about to be read.
const maxStep = 100 * time.Millisecond

// recordStep is by how much a silence has to grow to be recorded again.
const recordStep = 250 * time.Millisecond

// Record has the silences of members that were not present, as a leader recorded them in the log for
// the leaders after it.
type Record map[topology.ReplicaID]time.Duration

// Silence counts for how long a leader has not heard each member. What an earlier leadership has
// heard says nothing about the present: the count begins anew with each term, and a member that has
// not been heard since counts as unheard. That a member was silent does carry over (Inherit), so that
// leaderships that are short don't keep the seat of one that is gone. The zero value is ready for use.
// It is not safe for concurrent use.
type Silence struct {
	term       uint64
	observedAt time.Duration
	members    map[topology.ReplicaID]silentMember
	inherited  Record
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

// Inherit takes over what earlier leaders have recorded, until the next term.
func (s *Silence) Inherit(recorded Record) { s.inherited = recorded }

// total returns the silence of a member. That under earlier leaders is added once the member has had
// the time to be heard by this one.
func (s *Silence) total(id topology.ReplicaID) time.Duration {
	member := s.members[id]
	if member.heardAt > 0 || member.silence < PresentWithin {
		return member.silence
	}
	return member.silence + s.inherited[id]
}

// Record returns what is to be recorded in place of an earlier record, and whether they differ enough
// to do so. No silence is recorded as more than maxRecorded, so that a member is removed only after
// one leader has missed it for the rest.
func (s *Silence) Record(earlier Record, maxRecorded time.Duration) (record Record, changed bool) {
	record = Record{}
	for id, member := range s.members {
		silence := min(s.total(id), maxRecorded)
		switch {
		case silence >= PresentWithin:
			record[id] = silence
		case member.heardAt == 0 && earlier[id] > 0:
			record[id] = earlier[id] // it may still be heard
		}
	}
	changed = len(record) != len(earlier)
	for id, silence := range record {
		known, ok := earlier[id]
		changed = changed || !ok || silence >= known+recordStep || silence > known && silence == maxRecorded
	}
	return record, changed
}

// Members returns the members of the leader's status with their silence.
func (s *Silence) Members(status *consensus.Status) []Member {
	members := []Member{{ID: status.ID, Voter: status.Membership.IsVoter(status.ID), Heard: true, CaughtUp: true}}
	for _, peer := range status.Peers {
		counted := s.members[peer.ID]
		member, _ := status.Membership.Find(peer.ID)
		members = append(members, Member{
			ID: peer.ID, Voter: status.Membership.IsVoter(peer.ID), Seat: member.Seat,
			Heard: counted.heardAt > 0, Silence: s.total(peer.ID), CaughtUp: peer.Match >= status.Commit,
		})
	}
	return members
}
