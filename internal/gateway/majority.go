package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A gateway without a leader asks the controllers one after the other. If none of them leads
// because no majority is connected, nothing new can be accepted. The answers of a majority
// prove this (configlease.Standings), so a gateway that reaches a majority may keep serving.

// recordStanding takes the standing that a controller which does not lead sent in answer to a
// request. requestedAt is on the clock that timestamps in reports refer to. A nil standing is
// ignored.
func (s *sessionClient) recordStanding(standing *fleetwire.OperatorState, requestedAt time.Duration) {
	v := s.gateway.views.load()
	if standing == nil || v.table == nil {
		return
	}
	s.standings.Record(configlease.LogState{
		Asked: requestedAt, Member: standing.Member, Voters: standing.Voters, Version: standing.Version, EvacuationsIndex: standing.EvacuationsIndex,
	})
	since, ok := s.standings.NothingNewerSince(standing.Member, v.version(), v.evacuationsIndex)
	if !ok {
		return
	}
	s.configurationLease.extendByMajority(s.started.Add(since), standing.For)
	if !s.extendedByMajority {
		s.extendedByMajority = true
		s.gateway.config.Log.Info("nobody leads, and a majority of controllers has nothing newer", "version", uint64(v.version()),
			"silence_ms", s.leaderSilence(steady.Reading()).Milliseconds())
	}
}
