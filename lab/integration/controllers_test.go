package integration

import (
	"testing"
)

// TestControllersLost: the leader is lost, hangs or is cut off, and returns.
func TestControllersLost(t *testing.T) {
	rig := StartRig(t)
	rig.Run(t, "kill leader", func(s *Scenario) {
		leader := s.leader()
		s.kill(leader)
		s.awaitLeaderOtherThan(leader)
		s.letTrafficPass()
		s.start(leader)
	})
	rig.Run(t, "freeze leader", func(s *Scenario) {
		leader := s.leader()
		s.freeze(leader)
		s.awaitLeaderOtherThan(leader)
		s.letTrafficPass()
		s.thaw(leader)
		s.letTrafficPass()
	})
	rig.Run(t, "isolate leader", func(s *Scenario) {
		leader := s.leader()
		s.must(s.Isolate(leader))
		s.awaitLeaderOtherThan(leader)
		s.letTrafficPass()
	})
	rig.Run(t, "isolate follower", func(s *Scenario) {
		s.must(s.Isolate(s.follower()))
		s.letTrafficPass()
	})
	rig.Run(t, "restart all controllers", func(s *Scenario) {
		s.kill(s.Controllers...)
		s.start(s.Controllers...)
		s.letTrafficPass()
	})
}

// TestLeaderAndOwnerLost: both at once.
func TestLeaderAndOwnerLost(t *testing.T) {
	rig := StartShortRig(t)
	rig.Run(t, "kill both", func(s *Scenario) {
		leader, victim := s.leader(), s.owner()
		s.kill(leader, victim.Agent, victim.Backend)
		s.awaitNewOwners(victim)
		s.letTrafficPass()
		s.start(leader, victim.Backend, victim.Agent)
	})
	rig.Run(t, "freeze both", func(s *Scenario) {
		leader, victim := s.leader(), s.owner()
		s.freeze(leader, victim.Agent, victim.Backend)
		s.awaitNewOwners(victim)
		s.letTrafficPass()
		s.thaw(leader, victim.Backend, victim.Agent)
		s.letTrafficPass()
	})
	rig.Run(t, "isolate leader, freeze owner", func(s *Scenario) {
		leader, victim := s.leader(), s.owner()
		s.must(s.Isolate(leader))
		s.freeze(victim.Agent)
		s.awaitNewOwners(victim)
		s.letTrafficPass()
		s.thaw(victim.Agent)
		s.letTrafficPass()
	})
}
