package consensus

import "time"

// An elected leader learns by when the leader leases of all earlier terms have
// ended, which may be well before its own election. Each voter tells how long
// ago it last heard a leader, or led itself. A lease of an earlier term was
// confirmed by a quorum, which shares a replica with the voters; that replica
// answered no heartbeat of an earlier term after its vote, so the lease ended
// within an ElectionTimeout of when that replica last heard. Where all members have started
// anew, none of their leases lasts (unled.go).

// sinceLeader returns how long ago this replica last heard a leader of an
// earlier term, or led itself.
func (c *Core) sinceLeader() time.Duration {
	return c.now - max(c.leaderHeardAt, c.ledUntil)
}

// noteSinceLeader takes what a voter told of its earlier leaders.
func (c *Core) noteSinceLeader(since time.Duration) {
	if c.unledVote {
		c.earlierLeasesEnd = c.now
		return
	}
	certain := 1 - c.config.MaxClockDrift
	heardAt := c.now - time.Duration(float64(since)*certain)
	end := heardAt + time.Duration(float64(c.config.ElectionTimeout)/certain)
	c.earlierLeasesEnd = max(c.earlierLeasesEnd, end)
}
