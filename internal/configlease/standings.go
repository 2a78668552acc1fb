package configlease

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Standing is what one controller that does not lead had in its log, committed or not,
// when it answered a gateway.
type Standing struct {
	// Asked is when the gateway asked, on its own clock; the answer was made later.
	Asked time.Duration
	// Member is the controller, and Voters are all that vote, in ascending order, by the
	// newest membership in its log.
	Member topology.ReplicaID
	Voters []topology.ReplicaID
	// Version of the configuration, and index of the evacuated zones.
	Version          routeconfig.Version
	EvacuationsIndex uint64
}

// Standings are what the controllers of a group said of themselves while nobody led. The
// zero value is ready. It is not safe for concurrent use.
//
// What is accepted is in the logs of a majority of the voters. So where a majority says,
// each at some moment after an earliest one, that it has nothing newer than what a gateway
// has in force, nothing newer was accepted before that moment: one of those that had
// accepted it would have said so. It may have been accepted since; so the gateway may
// serve for Terms.ApplyWithin from that moment, as by a word that another gateway passes
// on, and no leader needs to know (reads by a quorum without a leader: Charapko, Ailijiang
// and Demirbas, "Linearizable Quorum Reads in Paxos", HotStorage 2019). The majority must
// have the same voters in their logs: memberships change by one voter at a time, each
// committed before the next, so that no later membership was committed before either, and
// majorities of this one and the next share a member.
type Standings struct {
	newest map[topology.ReplicaID]Standing
}

// Take notes an answer. Answers of a member replace its earlier ones.
func (s *Standings) Take(told Standing) {
	if s.newest == nil {
		s.newest = map[topology.ReplicaID]Standing{}
	}
	if known, ok := s.newest[told.Member]; !ok || told.Asked >= known.Asked {
		s.newest[told.Member] = told
	}
}

// NothingNewerSince returns the latest moment before which nothing was accepted that is
// newer than a version and an index of evacuated zones, by a majority of the voters that
// a member names; false where no majority says so.
func (s *Standings) NothingNewerSince(by topology.ReplicaID, version routeconfig.Version, evacuationsIndex uint64) (time.Duration, bool) {
	voters := s.newest[by].Voters
	var asked []time.Duration
	for member, told := range s.newest {
		agrees := slices.Contains(voters, member) && slices.Equal(told.Voters, voters)
		if agrees && told.Version <= version && told.EvacuationsIndex <= evacuationsIndex {
			asked = append(asked, told.Asked)
		}
	}
	majority := len(voters)/2 + 1
	if len(voters) == 0 || len(asked) < majority {
		return 0, false
	}
	slices.SortFunc(asked, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	return asked[majority-1], true
}
