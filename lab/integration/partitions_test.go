package integration

import (
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/lab/faultproxy"
)

// cuts are the ways in which a link can be cut.
var cuts = []struct {
	name   string
	faults faultproxy.Faults
}{
	{"both directions", faultproxy.BlackHole()},
	{"forward", faultproxy.Lose(faultproxy.Forward)},
	{"backward", faultproxy.Lose(faultproxy.Backward)},
	{"held back", faultproxy.Faults{Forward: faultproxy.Fault{Stall: true}, Backward: faultproxy.Fault{Stall: true}}},
}

// TestAgentCutOffFromControllers: its shards get other owners, and it serves
// nothing after its lease ended although all routers reach it.
func TestAgentCutOffFromControllers(t *testing.T) {
	rig := StartRig(t)
	for _, cut := range cuts {
		rig.Run(t, cut.name, func(s *Scenario) {
			victim := s.owner()
			s.must(s.CutSessions(victim.Agent, cut.faults))
			s.awaitNewOwners(victim)
			s.letTrafficPass()
			s.Links.Heal()
			s.letTrafficPass()
		})
	}
}

// TestAgentCutOffFromBackEnd: what its requests do shows that it can't serve.
func TestAgentCutOffFromBackEnd(t *testing.T) {
	rig := StartRig(t)
	for _, cut := range cuts {
		rig.Run(t, cut.name, func(s *Scenario) {
			victim := s.owner()
			s.must(s.Links.Backend(victim.Name).Set(cut.faults))
			s.awaitNewOwners(victim)
			s.letTrafficPass()
			s.Links.Heal()
			s.letTrafficPass()
		})
	}
}

// TestRoutersCutOffFromAgent: the owner lives, so its keys wait for the link;
// all others are served.
func TestRoutersCutOffFromAgent(t *testing.T) {
	rig := StartRig(t)
	for _, cut := range cuts {
		rig.Run(t, cut.name, func(s *Scenario) {
			victim := s.owner()
			s.must(s.Links.Requests(victim.Name).Set(cut.faults))
			s.letTrafficPass()
			s.Links.Heal()
			s.letTrafficPass()
		})
	}
}

// TestRouterCutOffFromControllers: it answers "stale" rather than by old
// routing data, and recovers.
func TestRouterCutOffFromControllers(t *testing.T) {
	rig := StartRig(t)
	for _, cut := range cuts {
		rig.Run(t, cut.name, func(s *Scenario) {
			s.must(s.CutSessions(s.Routers[0], cut.faults))
			s.awaitStale(0)
			s.letTrafficPass()
		})
	}
}

// TestAnswersBreak: truncated and reset connections on both hops, and late and
// reordered answers.
func TestAnswersBreak(t *testing.T) {
	rig := StartRig(t)
	const bytes, share = 3_000, 0.3
	truncate := faultproxy.Faults{Backward: faultproxy.Fault{TruncateAfter: bytes, Probability: share}}
	reset := faultproxy.Faults{Backward: faultproxy.Fault{ResetAfter: bytes, Probability: share}}
	late := faultproxy.Fault{
		Delay: faultproxy.Duration(20 * time.Millisecond), Jitter: faultproxy.Duration(200 * time.Millisecond),
	}
	for _, broken := range []struct {
		name   string
		faults faultproxy.Faults
	}{
		{"truncated", truncate}, {"reset", reset},
		{"request truncated", faultproxy.Faults{Forward: truncate.Backward}},
		{"late and reordered", faultproxy.Faults{Forward: late, Backward: late}},
	} {
		rig.Run(t, broken.name+" between router and agent", func(s *Scenario) {
			for _, member := range s.Members {
				s.must(s.Links.Requests(member.Name).Set(broken.faults))
			}
			s.letTrafficPass()
		})
		rig.Run(t, broken.name+" between agent and back end", func(s *Scenario) {
			victim := s.owner()
			s.must(s.Links.Backend(victim.Name).Set(broken.faults))
			s.letTrafficPass()
		})
	}
}
