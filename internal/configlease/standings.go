package configlease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// LogState is the state of the log of one controller that does not lead, including
// uncommitted entries, when it answered a gateway.
type LogState struct {
	// Asked is when the gateway sent its question, by its own clock; the answer is from a
	// later moment.
	Asked time.Duration
	// Member is the controller, and Voters are all voting members, in ascending order, by
	// the newest membership in its log.
	Member topology.ReplicaID
	Voters []topology.ReplicaID
	// Version of the configuration, and index of the evacuated zones.
	Version          routeconfig.Version
	EvacuationsIndex uint64
}

// LogStates collects the answers of the controllers of a group while there is no leader. The
// zero value is ready to use. It is not safe for concurrent use.
//
// An accepted change is in the logs of a majority of the voters. So if a majority of the
// voters answers, each after some earliest moment, that it has nothing newer than what a
// gateway has in force, nothing newer was accepted before that moment: at least one of the
// voters that had accepted it would have answered so. It may have been accepted since. So the
// gateway may serve for Terms.ApplyWithin from that moment, as with a lease that another
// gateway passes on, and no leader needs to know (quorum reads without a leader: Charapko,
// Ailijiang and Demirbas, "Linearizable Quorum Reads in Paxos", HotStorage 2019). The
// majority must have the same voters in their logs: memberships change by one voter at a
// time, each committed before the next, so that no later membership was committed before that
// moment either, and majorities of this membership and the next share a member.
type LogStates struct {
	newest map[topology.ReplicaID]LogState
}

// Record records an answer. It replaces an earlier answer of the same member.
func (s *LogStates) Record(answer LogState) {
	if s.newest == nil {
		s.newest = map[topology.ReplicaID]LogState{}
	}
	if known, ok := s.newest[answer.Member]; !ok || answer.Asked >= known.Asked {
		s.newest[answer.Member] = answer
	}
}

// NothingNewerSince returns the latest moment before which nothing newer than a version and an
// index of evacuated zones was accepted, according to a majority of the voters that a member
// names. It returns false if there is no such majority.
func (s *LogStates) NothingNewerSince(by topology.ReplicaID, version routeconfig.Version, evacuationsIndex uint64) (time.Duration, bool) {
	voters := s.newest[by].Voters
	var asked []time.Duration
	for member, answer := range s.newest {
		agrees := slices.Contains(voters, member) && slices.Equal(answer.Voters, voters)
		if agrees && answer.Version <= version && answer.EvacuationsIndex <= evacuationsIndex {
			asked = append(asked, answer.Asked)
		}
	}
	majority := len(voters)/2 + 1
	if len(voters) == 0 || len(asked) < majority {
		return 0, false
	}
	slices.SortFunc(asked, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return asked[majority-1], true
}
