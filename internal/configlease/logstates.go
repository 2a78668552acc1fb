package configlease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// LogState is the state of the log of one controller that does not lead, including uncommitted
// entries, when it responded to a gateway.
type LogState struct {
	// RequestedAt is when the gateway sent its request, by its own clock; the response is from
	// a later moment.
	RequestedAt time.Duration
	// Member is the controller, and Voters are all voting members, in ascending order, by
	// the newest membership in its log.
	Member topology.ReplicaID
	Voters []topology.ReplicaID
	// Version of the configuration, and index of the evacuated zones.
	Version          routeconfig.Version
	EvacuationsIndex uint64
}

// LogStates collects the responses of the controllers of a group while there is no leader. The
// zero value is ready to use. It is not safe for concurrent use.
//
// An accepted change is in the logs of a majority of the voters. So if a majority of the voters
// reports, each after some earliest moment, that it has nothing newer than what a gateway has
// in force, nothing newer was accepted before that moment: at least one of the voters that had
// accepted it would have reported it. It may have been accepted since. So the gateway may serve
// for Terms.ApplyWithin from that moment, as with a lease that another gateway relays, and no
// leader needs to know (quorum reads without a leader: Charapko, Ailijiang and Demirbas,
// "Linearizable Quorum Reads in Paxos", HotStorage 2019). The majority must have the same
// voters in their logs: memberships change by one voter at a time, each committed before the
// next, so that no later membership was committed before that moment either, and majorities of
// this membership and the next share a member.
type LogStates struct {
	newest map[topology.ReplicaID]LogState
}

// Record records a response. It replaces an earlier response of the same member.
func (s *LogStates) Record(state LogState) {
	if s.newest == nil {
		s.newest = map[topology.ReplicaID]LogState{}
	}
	if known, ok := s.newest[state.Member]; !ok || state.RequestedAt >= known.RequestedAt {
		s.newest[state.Member] = state
	}
}

// NothingNewerSince returns the latest moment before which nothing newer than a version and an
// index of evacuated zones was accepted, according to a majority of the voters that a member
// names. It returns false if there is no such majority.
func (s *LogStates) NothingNewerSince(by topology.ReplicaID, version routeconfig.Version, evacuationsIndex uint64) (time.Duration, bool) {
	voters := s.newest[by].Voters
	var requested []time.Duration
	for member, state := range s.newest {
		agrees := slices.Contains(voters, member) && slices.Equal(state.Voters, voters)
		if agrees && state.Version <= version && state.EvacuationsIndex <= evacuationsIndex {
			requested = append(requested, state.RequestedAt)
		}
	}
	majority := len(voters)/2 + 1
	if len(voters) == 0 || len(requested) < majority {
		return 0, false
	}
	slices.SortFunc(requested, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return requested[majority-1], true
}
