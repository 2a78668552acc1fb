package seats_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/seats"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Machines are replaced in turn, with freezes and cuts of others between, as many as are drawn, and
// with new leaderships during replacements. No more count as lost at a time than is tolerated. The group always has a quorum, and in the end each
// machine that is there has a seat, and no other.
func TestReplacementsInTurnKeepTheGroup(t *testing.T) {
	for count, tolerated := range map[int]int{3: 1, 5: 1, 11: 2, 22: 4} {
		t.Run(fmt.Sprint(count, " seats"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, count)
				for range rapid.IntRange(1, 3*count).Draw(t, "events") {
					if rapid.IntRange(0, 2).Draw(t, "kind") == 0 {
						s.disturb()
					} else {
						s.replace(rapid.IntRange(1, tolerated).Draw(t, "at once"), rapid.IntRange(0, 2).Draw(t, "restarts"))
					}
					assert.Assert(t, !s.quorumLost, "%d voters", len(s.voters))
				}
				s.run(2*removeAfter + 4*time.Second)
				assert.Equal(t, len(s.voters), count)
				assert.Equal(t, s.presentMachines(), count)
				for id := range s.voters {
					assert.Assert(t, s.present(id), "%d has a seat and is gone", id)
				}
			})
		})
	}
}

// A voter comes back with an empty disk beside another one that is only away, and gets its own seat: the
// group keeps its seats, and bears the next losses.
func TestEmptyDiskBesideASilentMemberKeepsTheSeats(t *testing.T) {
	for _, count := range []int{5, 11, 22} {
		t.Run(fmt.Sprint(count, " seats"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, count)
				for range rapid.IntRange(1, count).Draw(t, "rounds") {
					s.loseDiskBesideSilentMember()
					assert.Equal(t, len(s.voters)+len(s.reserved), count)
					s.disturbTwo()
					assert.Assert(t, !s.quorumLost, "%d voters", len(s.voters))
				}
			})
		})
	}
}

// The group is lost if the seat of one that comes back with an empty disk is given up.
func TestEmptyDiskBesideASilentMemberLosesTheGroupIfItsSeatIsGivenUp(t *testing.T) {
	lost := false
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 5)
		s.givesUpSeats = true
		for range 5 {
			s.loseDiskBesideSilentMember()
			s.disturbTwo()
			lost = lost || s.quorumLost
		}
	})
	assert.Assert(t, lost)
}

// All processes end again and again while machines are replaced, so that no leader lasts long enough
// to miss a voter for ReplaceAfter. Under leaders that count anew the seats of the machines that are
// gone would be kept, until there is no quorum.
func TestShortLeadershipsGiveSeatsToSuccessors(t *testing.T) {
	for _, count := range []int{3, 5, 11} {
		t.Run(fmt.Sprint(count, " seats"), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				s := newSimulation(t, count)
				for range 2 * count {
					s.machines[s.draw("replaced")].gone = true
					s.runInShortTerms(2 * time.Second)
					s.joining[s.start()] = s.now
					s.runInShortTerms(6 * time.Second)
					assert.Assert(t, !s.quorumLost, "%d voters", len(s.voters))
				}
			})
		})
	}
}

// The group is lost if each successor gets a further seat and an absent voter is removed only while
// all others are present.
func TestReplacementsInTurnLoseTheGroupUnderTheRuleOfFurtherSeats(t *testing.T) {
	for _, count := range []int{3, 5, 11, 22} {
		lost := false
		rapid.Check(t, func(t *rapid.T) {
			s := newSimulation(t, count)
			s.admit = func([]seats.Member, topology.ReplicaID) seats.Admission {
				return seats.Admission{Action: seats.Promote}
			}
			s.remove = func(members []seats.Member) topology.ReplicaID {
				absent := 0
				for _, member := range members {
					if member.Voter && member.Silence >= time.Second {
						absent++
					}
				}
				if absent != 1 {
					return 0
				}
				return seats.Remove(members, removeAfter)
			}
			for range 3 * count {
				if s.quorumLost {
					lost = true
					return
				}
				s.replace(1, 0)
			}
		})
		assert.Assert(t, lost, "%d seats", count)
	}
}
