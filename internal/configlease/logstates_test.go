package configlease_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/routeconfig"
	"github.com/quartzdock/quartzdock/internal/topology"
)

func votersUpTo(count int) (voters []topology.ReplicaID) {
	for i := range count {
		voters = append(voters, topology.ReplicaID(i+1))
	}
	return voters
}

// Half of a group of even size is no majority, and a response counts from when the request was
// sent.
func TestMajorityIsAsOldAsItsOldestResponse(t *testing.T) {
	var s configlease.LogStates
	voters := votersUpTo(4)
	for i, requestedAt := range []time.Duration{second, 3 * second} {
		s.Record(configlease.LogState{RequestedAt: requestedAt, Member: voters[i], Voters: voters, Version: 1})
	}
	_, ok := s.NothingNewerSince(1, 1, 0)
	assert.Assert(t, !ok, "two of four")
	s.Record(configlease.LogState{RequestedAt: 2 * second, Member: 3, Voters: voters, Version: 1})
	since, ok := s.NothingNewerSince(1, 1, 0)
	assert.Assert(t, ok && since == second)
	s.Record(configlease.LogState{RequestedAt: 4 * second, Member: 4, Voters: voters, Version: 1})
	since, _ = s.NothingNewerSince(1, 1, 0)
	assert.Equal(t, since, 2*second, "three of them have responded since")
	s.Record(configlease.LogState{RequestedAt: 5 * second, Member: 3, Voters: voters, Version: 1, EvacuationsIndex: 7})
	since, _ = s.NothingNewerSince(1, 1, 0)
	assert.Equal(t, since, second)
}

// However leaders change and whatever is lost or delayed, no gateway uses an older version
// ApplyWithin after a newer one was accepted. Leaders are not modelled: any voter may have a
// newer entry that the majority doesn't have, and entries of a minority may be lost again.
func TestNoGatewayUsesOlderConfigurationByMajorityResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		voters := votersUpTo(rapid.IntRange(1, 8).Draw(t, "voters"))
		logs := make([]routeconfig.Version, len(voters))
		for i := range logs {
			logs[i] = 1
		}
		committed, committedAt := routeconfig.Version(1), map[routeconfig.Version]time.Duration{}
		var s configlease.LogStates
		var inFlight []configlease.LogState
		serving, until := routeconfig.Version(1), time.Duration(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "milliseconds")) * time.Millisecond
			i := rapid.IntRange(0, len(voters)-1).Draw(t, "voter")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0: // an entry of the newest leader reaches a voter
				logs[i] = committed + 1
				holding := 0
				for _, log := range logs {
					if log > committed {
						holding++
					}
				}
				if holding > len(voters)/2 {
					committed++
					committedAt[committed] = now
				}
			case 1: // an entry that the majority doesn't have is lost
				logs[i] = min(logs[i], committed)
			case 2: // a voter responds to a request that was sent a while before
				requestedAt := now - time.Duration(rapid.IntRange(0, 900).Draw(t, "way"))*time.Millisecond
				inFlight = append(inFlight, configlease.LogState{RequestedAt: requestedAt, Member: voters[i], Voters: voters, Version: logs[i]})
			case 3: // a response arrives, in any order
				if len(inFlight) > 0 {
					at := rapid.IntRange(0, len(inFlight)-1).Draw(t, "answer")
					s.Record(inFlight[at])
					if since, ok := s.NothingNewerSince(inFlight[at].Member, serving, 0); ok {
						until = max(until, since+terms.ApplyWithin)
					}
					inFlight = slices.Delete(inFlight, at, at+1)
				}
			case 4: // the gateway gets the newest version by other means
				if rapid.IntRange(0, 9).Draw(t, "rarely") == 0 {
					serving = committed
				}
			}
			if at, ok := committedAt[serving+1]; ok && now >= at+terms.ApplyWithin && now < until {
				t.Fatalf("uses version %d at %v, until %v; %d was accepted at %v", serving, now, until, serving+1, at)
			}
		}
	})
}
