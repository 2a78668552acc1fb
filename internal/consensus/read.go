package consensus

import "errors"

// pendingRead waits for a heartbeat round that begins after it was asked.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// ErrTooManyReads is returned when too many reads wait for a quorum.
var ErrTooManyReads = errors.New("too many reads wait for a quorum")

// maxReads bounds the reads that wait.
const maxReads = 100_000

// ReadIndex asks for a linearizable read: once a ReadState with the token
// comes, a read of the state applied up to its index sees all that was
// committed before ReadIndex was called. The leader confirms its leadership by
// a heartbeat round (Ongaro, section 6.4).
func (c *Core) ReadIndex(token uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if len(c.leading.waitingReads)+len(c.leading.pendingReads) >= maxReads {
		return ErrTooManyReads
	}
	c.leading.waitingReads = append(c.leading.waitingReads, token)
	c.admitWaitingReads()
	return nil
}

// admitWaitingReads starts a round for the reads that wait, once the leader
// knows the commit index of the terms before its own.
func (c *Core) admitWaitingReads() {
	if len(c.leading.waitingReads) > 0 && c.log.committed >= c.leading.firstIndex {
		c.leading.roundWanted = true
	}
}

// assignReads ties the waiting reads to the round that begins.
func (c *Core) assignReads() {
	if c.log.committed < c.leading.firstIndex {
		return
	}
	for _, token := range c.leading.waitingReads {
		c.leading.pendingReads = append(c.leading.pendingReads, pendingRead{token, c.log.committed, c.leading.round})
	}
	c.leading.waitingReads = nil
}

func (c *Core) releaseReads() {
	released := 0
	for _, read := range c.leading.pendingReads {
		if read.round > c.leading.confirmed {
			break
		}
		c.reads = append(c.reads, ReadState{Token: read.token, Index: read.index})
		released++
	}
	c.leading.pendingReads = c.leading.pendingReads[released:]
}

func (c *Core) failReads() {
	for _, token := range c.leading.waitingReads {
		c.reads = append(c.reads, ReadState{Token: token, Failed: true})
	}
	for _, read := range c.leading.pendingReads {
		c.reads = append(c.reads, ReadState{Token: read.token, Failed: true})
	}
}
