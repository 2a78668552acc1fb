// Package seats decides which controllers vote in a group whose machines come, go and are
// replaced. It is pure.
//
// # Rules
//
// A controller that joins is a learner first. One that comes back with an empty disk gets its own seat
// at once, to vote as soon as it has caught up, whoever else is silent (consensus.Change.Successor). Any
// other one takes, once it has caught up, the seat that has been silent for longest, if one has been for
// ReplaceAfter; if all that hold seats are present, it gets a further seat; otherwise it waits until one
// or the other holds. A member that has been silent for RemoveAfter loses its seat also if no successor
// has come.
//
// # Why the number of seats is kept
//
// The entry that removes a member for a successor gives the seat to that successor, so that any later
// leader finds it in the membership and completes the change. Seats become fewer only by RemoveAfter.
// Otherwise a controller with an empty disk could take the seat of another that is only away: that one
// comes back without a seat, and the group has a voter fewer than machines.
//
// # Why no change costs a majority
//
// Let the group have s voters of which a are present, at a leader that hears a quorum: a >= s/2+1.
// Removing an absent voter leaves a present voters of s-1, whose quorum is at most that of s: as many
// further losses are borne as before, or one more. Giving a seat to a learner that has caught up
// then leaves a+1 of s. Each change adds or removes one voter, so that quorums before and after it
// share a member (Ongaro 2014, section 4.1), and the removal commits by a quorum of the rest, which
// therefore holds everything that was committed before. A voter that was only cut off loses its
// seat at no cost but its own rejoining.
//
// Silence is counted only while the leader itself runs and hears a quorum (Silence), so that a
// leader that was suspended takes nobody for silent. A new leader takes nobody for present that it
// has not heard itself: otherwise a voter that is gone for good would look present at the beginning of
// each leadership, and its successor would get a further seat. How long a member was silent under
// earlier leaders is recorded in the log and counts on (Record), or leaderships shorter than
// ReplaceAfter would keep the seat of a voter that is gone.
package seats

import (
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	// ReplaceAfter is how long a voter must be silent for a joining controller to take its seat.
	ReplaceAfter = 1500 * time.Millisecond
	// PresentWithin is how recently a leader must have heard a voter for it to count as present.
	PresentWithin = 400 * time.Millisecond
	// minPresentVoters is how many voters must be present to remove one without a successor.
	minPresentVoters = 3
)

// Member is a member of the group as its leader sees it, the leader included.
type Member struct {
	ID    topology.ReplicaID
	Voter bool
	// Seat is set for a learner that has the seat of a member that was removed for it.
	Seat bool
	// Heard is set if this leader has heard the member since its election; always for the leader.
	Heard bool
	// Silence is how long the member has not been heard; zero for the leader. That of a member
	// that was never heard is counted from the election, with what earlier leaders have recorded.
	Silence time.Duration
	// CaughtUp is set for a member that durably holds all committed entries.
	CaughtUp bool
}

// present reports whether a member was heard recently.
func (m *Member) present() bool { return m.Heard && m.Silence < PresentWithin }

// holdsSeat reports whether the member votes or is to vote in place of a removed one.
func (m *Member) holdsSeat() bool { return m.Voter || m.Seat }

// ready reports whether a joining controller has caught up and is still present: the log of one that
// has ended since stays caught up until the next entry.
func (m *Member) ready() bool { return m.CaughtUp && m.present() }

// Action is what a leader does about a joining controller.
type Action uint8

// Actions.
const (
	// Wait leaves the joining controller a learner for now.
	Wait Action = iota
	// Promote makes it a voter in addition to the others.
	Promote
	// Replace removes a voter and then makes the joining controller one.
	Replace
)

// Admission is the decision about a joining controller.
type Admission struct {
	Action Action
	// Replaced is the voter that loses its seat; set only with Replace.
	Replaced topology.ReplicaID
}

// Admit decides about a learner that asks for a seat.
func Admit(members []Member, joining topology.ReplicaID) Admission {
	position := slices.IndexFunc(members, func(member Member) bool { return member.ID == joining })
	if position < 0 || !members[position].ready() {
		return Admission{Action: Wait}
	}
	if members[position].Seat {
		return Admission{Action: Promote}
	}
	if silent, ok := longestSilent(members, (*Member).holdsSeat); ok && silent.Silence >= ReplaceAfter {
		return Admission{Action: Replace, Replaced: silent.ID}
	}
	for i := range members {
		if members[i].holdsSeat() && !members[i].present() {
			return Admission{Action: Wait}
		}
	}
	return Admission{Action: Promote}
}

// Remove returns a member that is to be removed although no successor has come: the one that has
// been silent for longest, if for removeAfter. It returns zero if there is none, or if too few voters
// are present.
func Remove(members []Member, removeAfter time.Duration) topology.ReplicaID {
	present := 0
	for i := range members {
		if members[i].Voter && members[i].present() {
			present++
		}
	}
	silent, ok := longestSilent(members, func(*Member) bool { return true })
	if !ok || silent.Silence < removeAfter || present < minPresentVoters {
		return 0
	}
	return silent.ID
}

// longestSilent returns the member that has been silent for longest among those that satisfy a
// condition.
func longestSilent(members []Member, condition func(*Member) bool) (longest Member, ok bool) {
	for i := range members {
		if condition(&members[i]) && (!ok || members[i].Silence > longest.Silence) {
			longest, ok = members[i], true
		}
	}
	return longest, ok
}
