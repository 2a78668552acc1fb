package consensus

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"maps"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Member is a replica as listed in the group's membership.
type Member struct {
	ID          topology.ReplicaID
	Incarnation topology.Incarnation
	// Address is where the replica accepts connections of peers, as "IP:port".
	Address string
	// Learner members receive the log but do not vote or count toward a quorum.
	Learner bool
	// Seat is set for a learner that is to vote in place of a member that was removed for it.
	Seat bool
}

// HoldsSeat reports whether the member votes or has the seat of a removed one.
func (m Member) HoldsSeat() bool { return !m.Learner || m.Seat }

// Membership lists a group's members by ascending ID.
type Membership struct {
	Members []Member
	// LastID is the highest ReplicaID ever assigned; IDs are never reused.
	LastID topology.ReplicaID
}

// ChangeKind is a kind of membership change.
type ChangeKind uint8

// Kinds of membership changes.
const (
	// AddLearner adds Member as a learner. If its ID is zero, a new one is
	// assigned.
	AddLearner ChangeKind = iota + 1
	// Promote makes a learner that has caught up a voter.
	Promote
	// Remove removes a member. Its seat, if it holds one, goes to Successor.
	Remove
)

// String returns the kind's name.
func (k ChangeKind) String() string {
	switch k {
	case AddLearner:
		return "add-learner"
	case Promote:
		return "promote"
	case Remove:
		return "remove"
	}
	return fmt.Sprintf("change-%d", uint8(k))
}

// Change is a single-server membership change. It adds or removes at most one
// voter, so that any quorum before it and any quorum after it share a member
// (Ongaro, "Consensus: Bridging Theory and Practice", section 4.1).
type Change struct {
	Kind   ChangeKind
	Member Member
	// Successor is the learner that gets the seat of a removed member, in the same entry. Zero gives
	// the seat up.
	Successor topology.ReplicaID
}

// NewMembership returns a membership of the given members, sorted by ID.
func NewMembership(members ...Member) Membership {
	membership := Membership{Members: slices.Clone(members)}
	slices.SortFunc(membership.Members, compareMembers)
	for _, member := range members {
		membership.LastID = max(membership.LastID, member.ID)
	}
	return membership
}

// sortedIDs returns a map's keys in ascending order, so that runs are
// reproducible.
func sortedIDs[T any](values map[topology.ReplicaID]T) []topology.ReplicaID {
	return slices.Sorted(maps.Keys(values))
}

func compareMembers(a, b Member) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	}
	return 0
}

// Find returns the member with an ID.
func (m Membership) Find(id topology.ReplicaID) (Member, bool) {
	for _, member := range m.Members {
		if member.ID == id {
			return member, true
		}
	}
	return Member{}, false
}

// HasIncarnation reports whether the membership lists this ID with this incarnation.
func (m Membership) HasIncarnation(id topology.ReplicaID, incarnation topology.Incarnation) bool {
	member, ok := m.Find(id)
	return ok && member.Incarnation == incarnation
}

// Voters counts the members that vote.
func (m Membership) Voters() int {
	voters := 0
	for _, member := range m.Members {
		if !member.Learner {
			voters++
		}
	}
	return voters
}

// Quorum returns the smallest number of voters that is a majority.
func (m Membership) Quorum() int { return m.Voters()/2 + 1 }

// IsVoter reports whether the membership lists this ID as a voter.
func (m Membership) IsVoter(id topology.ReplicaID) bool {
	member, ok := m.Find(id)
	return ok && !member.Learner
}

// With returns the membership after a change, and the change with the ID that
// was assigned.
func (m Membership) With(change Change) (Membership, Change, error) {
	next := Membership{Members: slices.Clone(m.Members), LastID: m.LastID}
	switch change.Kind {
	case AddLearner:
		return next.addLearner(change)
	case Promote, Remove:
		return next.changeMember(change)
	}
	return m, change, &ChangeError{change, "unknown kind"}
}

func (m Membership) addLearner(change Change) (Membership, Change, error) {
	if change.Member.Incarnation == 0 {
		return m, change, &ChangeError{change, "no incarnation is given"}
	}
	for _, member := range m.Members {
		if member.Incarnation == change.Member.Incarnation {
			return m, change, &ChangeError{change, fmt.Sprintf("its incarnation is already replica %d", member.ID)}
		}
	}
	if change.Member.ID == 0 {
		change.Member.ID = m.LastID + 1
	}
	if change.Member.ID <= m.LastID {
		return m, change, &ChangeError{change, "its ID was given before"}
	}
	change.Member.Learner = true
	m.LastID = change.Member.ID
	m.Members = append(m.Members, change.Member)
	return m, change, nil
}

func (m Membership) changeMember(change Change) (Membership, Change, error) {
	position := slices.IndexFunc(m.Members, func(member Member) bool { return member.ID == change.Member.ID })
	if position < 0 {
		return m, change, &ChangeError{change, "no such member"}
	}
	member := m.Members[position]
	switch {
	case change.Kind == Promote && !member.Learner:
		return m, change, &ChangeError{change, "it is a voter already"}
	case change.Kind == Promote:
		m.Members[position].Learner, m.Members[position].Seat = false, false
		return m, change, nil
	case !member.Learner && m.Voters() == 1:
		return m, change, &ChangeError{change, "it is the last voter"}
	}
	if change.Successor != 0 && member.HoldsSeat() {
		if reason := m.reserveSeat(change.Successor); reason != "" {
			return m, change, &ChangeError{change, reason}
		}
	}
	m.Members = slices.Delete(m.Members, position, position+1)
	return m, change, nil
}

// reserveSeat gives a learner the seat of a member that is removed. It returns why it can't.
func (m Membership) reserveSeat(successor topology.ReplicaID) (reason string) {
	position := slices.IndexFunc(m.Members, func(member Member) bool { return member.ID == successor })
	switch {
	case position < 0:
		return "its successor is no member"
	case m.Members[position].HoldsSeat():
		return "its successor holds a seat already"
	}
	m.Members[position].Seat = true
	return ""
}

func encodeMembership(membership Membership) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(membership); err != nil {
		panic(err) // encoding plain fields into memory cannot fail
	}
	return buffer.Bytes()
}

// DecodeMembership decodes the data of an EntryMembership.
func DecodeMembership(data []byte) (Membership, error) {
	var membership Membership
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&membership); err != nil {
		return Membership{}, fmt.Errorf("membership entry: %w", err)
	}
	return membership, nil
}
