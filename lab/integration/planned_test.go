package integration

import (
	"testing"

	"github.com/quartzdock/quartzdock/lab/machines"
)

// TestPlannedStop: SIGTERM of each role, with slow map packs running, cuts off
// nothing.
func TestPlannedStop(t *testing.T) {
	rig := StartRig(t)
	rig.Run(t, "agent", func(s *Scenario) {
		victim := s.owner()
		s.stopPlanned(victim.Agent)
		s.start(victim.Agent)
	})
	rig.Run(t, "router", func(s *Scenario) {
		s.stopPlanned(s.Routers[0])
		s.start(s.Routers[0])
	})
	rig.Run(t, "leader", func(s *Scenario) {
		leader := s.leader()
		s.stopPlanned(leader)
		s.start(leader)
	})
	rig.Run(t, "follower", func(s *Scenario) {
		follower := s.follower()
		s.stopPlanned(follower)
		s.start(follower)
	})
	rig.Run(t, "drain", func(s *Scenario) {
		victim := s.owner()
		s.uncut(func() {
			s.must(s.Operator.Drain(s.ctx, victim))
			s.awaitNewOwners(victim)
		})
		s.must(s.Operator.Activate(s.ctx, victim))
	})
	rig.Run(t, "machine listed as leaving", func(s *Scenario) {
		victim := s.owner()
		s.uncut(func() {
			s.listMachine(victim, machines.Leaving)
			s.awaitNewOwners(victim)
		})
		s.listMachine(victim, machines.Live)
	})
}

// TestRouterRestart: requests in progress at a killed router end as unknown and
// are sent again with their ids.
func TestRouterRestart(t *testing.T) {
	rig := StartRig(t)
	rig.Run(t, "kill router", func(s *Scenario) {
		s.kill(s.Routers[0])
		s.letTrafficPass()
		s.start(s.Routers[0])
	})
	rig.Run(t, "freeze router", func(s *Scenario) {
		s.freeze(s.Routers[0])
		s.letTrafficPass()
		s.thaw(s.Routers[0])
		s.letTrafficPass()
	})
}
