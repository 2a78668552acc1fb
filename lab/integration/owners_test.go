package integration

import (
	"testing"

	"github.com/quartzdock/quartzdock/lab/fleet"
)

// TestLostOwner: an owner, or a part of it, is lost or hangs, and returns.
func TestLostOwner(t *testing.T) {
	rig := StartShortRig(t)
	for _, lost := range []struct {
		name  string
		parts func(*fleet.Member) []*fleet.Process
	}{
		{"agent", func(m *fleet.Member) []*fleet.Process { return []*fleet.Process{m.Agent} }},
		{"back end", func(m *fleet.Member) []*fleet.Process { return []*fleet.Process{m.Backend} }},
		{"machine", func(m *fleet.Member) []*fleet.Process { return []*fleet.Process{m.Backend, m.Agent} }},
	} {
		rig.Run(t, "kill "+lost.name, func(s *Scenario) {
			victim := s.owner()
			s.kill(lost.parts(victim)...)
			s.awaitNewOwners(victim)
			s.letTrafficPass()
			s.start(lost.parts(victim)...)
		})
		rig.Run(t, "freeze "+lost.name, func(s *Scenario) {
			victim := s.owner()
			s.freeze(lost.parts(victim)...)
			s.awaitNewOwners(victim)
			s.letTrafficPass()
			s.thaw(lost.parts(victim)...)
			s.letTrafficPass()
		})
	}
	rig.Run(t, "restart agent in mid-request", func(s *Scenario) {
		victim := s.owner()
		s.kill(victim.Agent)
		s.start(victim.Agent)
		s.letTrafficPass()
	})
	rig.Run(t, "restart back end in mid-request", func(s *Scenario) {
		victim := s.owner()
		s.kill(victim.Backend)
		s.start(victim.Backend)
		s.letTrafficPass()
	})
}
