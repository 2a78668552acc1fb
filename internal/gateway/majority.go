package gateway

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/configlease"
	"github.com/quartzdock/quartzdock/internal/fleetwire"
	"github.com/quartzdock/quartzdock/internal/steady"
)

// A gateway that has no leader asks one controller after the other where it is. Where none
// leads, for want of a majority that hear each other, nothing can be accepted, and their
// answers prove it as long as the gateway reaches a majority (configlease.Standings).

// takeStanding takes what a controller that does not lead has said of itself when it was
// asked at a time on the clock that reports carry; nil is nothing.
func (s *sessionClient) takeStanding(told *fleetwire.Standing, asked time.Duration) {
	v := s.gateway.views.load()
	if told == nil || v.table == nil {
		return
	}
	s.standings.Take(configlease.Standing{
		Asked: asked, Member: told.Member, Voters: told.Voters, Version: told.Version, EvacuationsIndex: told.EvacuationsIndex,
	})
	since, ok := s.standings.NothingNewerSince(told.Member, v.version(), v.evacuationsIndex)
	if !ok {
		return
	}
	s.vouched.takeMajority(s.started.Add(since), told.For)
	if !s.byMajority {
		s.byMajority = true
		s.gateway.config.Log.Info("nobody leads, and a majority of controllers has nothing newer", "version", uint64(v.version()),
			"silence_ms", s.silence(steady.Reading()).Milliseconds())
	}
}
