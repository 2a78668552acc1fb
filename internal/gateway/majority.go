package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A gateway without a leader asks the controllers one after the other. If none of them leads
// because no majority is connected, nothing new can be accepted. The responses of a majority
// prove this (configlease.LogStates), so a gateway that reaches a majority may keep serving.

// recordLogState records the state of the log of a controller that does not lead, from its
// response to a request. requestedAt is on the clock that timestamps in reports refer to. A nil
// state is ignored.
func (s *sessionClient) recordLogState(state *fleetwire.OperatorState, requestedAt time.Duration) {
	v := s.gateway.views.load()
	if state == nil || v.table == nil {
		return
	}
	s.logStates.Record(configlease.LogState{
		RequestedAt: requestedAt, Member: state.Member, Voters: state.Voters, Version: state.Version, EvacuationsIndex: state.EvacuationsIndex,
	})
	since, ok := s.logStates.NothingNewerSince(state.Member, v.version(), v.evacuationsIndex)
	if !ok {
		return
	}
	s.configurationLease.extendByMajority(s.started.Add(since), state.For)
	if !s.extendedByMajority {
		s.extendedByMajority = true
		s.gateway.config.Log.Info("nobody leads, and a majority of controllers has nothing newer", "version", uint64(v.version()),
			"silence_ms", s.leaderSilence(steady.Reading()).Milliseconds())
	}
}
