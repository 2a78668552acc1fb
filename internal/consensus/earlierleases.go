package consensus

import "time"

// An elected leader computes a time by which the leader leases of all earlier
// terms have ended, which may be well before its own election. Each voter
// reports how long ago it last heard a leader, or led itself. A lease of an
// earlier term was confirmed by a quorum, which shares a replica with the
// voters. That replica answered no heartbeat of an earlier term after its vote,
// so the lease ended within an ElectionTimeout of the time at which that replica
// last heard the leader. After a cold start no earlier lease is left
// (coldstart.go).

// sinceLeader returns how long ago this replica last heard a leader of an
// earlier term, or led itself.
func (c *Core) sinceLeader() time.Duration {
	return c.now - max(c.leaderHeardAt, c.steppedDownAt)
}

// recordSinceLeader updates earlierLeasesEnd from a granted vote, which reports
// how long ago the voter last heard a leader. The time is corrected for clock
// drift.
func (c *Core) recordSinceLeader(since time.Duration) {
	if c.coldStartElection {
		c.earlierLeasesEnd = c.now
		return
	}
	minClockRate := 1 - c.config.MaxClockDrift
	heardAt := c.now - time.Duration(float64(since)*minClockRate)
	end := heardAt + time.Duration(float64(c.config.ElectionTimeout)/minClockRate)
	c.earlierLeasesEnd = max(c.earlierLeasesEnd, end)
}
