package consensus

import "errors"

// pendingRead is a read that waits for its heartbeat round to be confirmed. The
// round began after the read was requested.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// ErrTooManyReads is returned when too many reads wait for a quorum.
var ErrTooManyReads = errors.New("too many reads wait for a quorum")

// maxReads bounds the number of waiting reads.
const maxReads = 100_000

// ReadIndex requests a linearizable read. Once Ready returns a ReadState with the
// token, a read of the state applied up to its index sees everything that was
// committed before ReadIndex was called. The leader confirms its leadership with
// a heartbeat round (Ongaro, section 6.4).
func (c *Core) ReadIndex(token uint64) error {
	if c.role != Leader {
		return ErrNotLeader
	}
	if len(c.leading.queuedReads)+len(c.leading.pendingReads) >= maxReads {
		return ErrTooManyReads
	}
	c.leading.queuedReads = append(c.leading.queuedReads, token)
	c.admitQueuedReads()
	return nil
}

// admitQueuedReads requests a heartbeat round for the queued reads, once the
// leader has committed an entry of its own term and so knows what earlier terms
// committed.
func (c *Core) admitQueuedReads() {
	if len(c.leading.queuedReads) > 0 && c.log.committed >= c.leading.firstIndex {
		c.leading.needRound = true
	}
}

// assignReads assigns the queued reads to the round that begins.
func (c *Core) assignReads() {
	if c.log.committed < c.leading.firstIndex {
		return
	}
	for _, token := range c.leading.queuedReads {
		c.leading.pendingReads = append(c.leading.pendingReads, pendingRead{token, c.log.committed, c.leading.round})
	}
	c.leading.queuedReads = nil
}

func (c *Core) releaseReads() {
	released := 0
	for _, read := range c.leading.pendingReads {
		if read.round > c.leading.confirmedRound {
			break
		}
		c.reads = append(c.reads, ReadState{Token: read.token, Index: read.index})
		released++
	}
	c.leading.pendingReads = c.leading.pendingReads[released:]
}

func (c *Core) failReads() {
	for _, token := range c.leading.queuedReads {
		c.reads = append(c.reads, ReadState{Token: token, Failed: true})
	}
	for _, read := range c.leading.pendingReads {
		c.reads = append(c.reads, ReadState{Token: read.token, Failed: true})
	}
}
