package simulate

import (
	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// keyOf names a session's subscriber over its restarts.
func keyOf(s *session) inforce.Key {
	return inforce.Key{Role: s.hello.Role, Name: s.hello.Name, Address: s.hello.Address}
}

// relay reports this controller's subscribers to the leader.
func (c *controller) relay() {
	leader := c.cluster.controllerNamed(c.leaderName())
	if c.core == nil || leader == nil || leader == c {
		return
	}
	from, report := c.status().ID, c.tracker.Report(true, c.clock())
	c.cluster.network.send(c.process, leader.process, func() {
		if leader.leads() {
			leader.tracker.ApplyReport(from, &report, leader.clock())
		}
	}, nil)
}

// inForceEverywhere reports whether the leader knows that a revision is in
// force at every subscriber that still relies on its routing data.
func (c *controller) inForceEverywhere(revision topology.Revision) bool {
	if !c.leads() {
		return false
	}
	status := c.status()
	progress := c.tracker.Progress(revision, &status, c.clock())
	return progress.Everywhere || c.cluster.has(DefectIgnoreSilent) && allSilent(progress.Lagging)
}

// allSilent reports whether those who lag have no session.
func allSilent(lagging []inforce.Subscriber) bool {
	for _, entry := range lagging {
		if entry.Connected {
			return false
		}
	}
	return true
}
