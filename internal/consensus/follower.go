package consensus

import "fmt"

// stepFromLeader handles a message from the leader of this replica's term.
func (c *Core) stepFromLeader(m Message) error {
	if c.role == Leader || (c.leader != 0 && c.leader != m.From) {
		return fmt.Errorf("%w: term %d, replicas %d and %d", ErrTwoLeaders, c.hardState.Term, c.leader, m.From)
	}
	c.leader = m.From
	c.leaderIncarnation = m.FromIncarnation
	c.leaderHeardAt, c.leaderSeen = c.now, true
	c.fire(eventLeaderHeard)
	switch m.Kind {
	case MessageAppend:
		return c.appendFromLeader(m)
	case MessageHeartbeat:
		if m.Match > c.log.lastIndex() {
			return fmt.Errorf("%w: entry %d was acknowledged in term %d, the log ends at %d", ErrOlderCopy, m.Match, m.Term, c.log.lastIndex())
		}
		c.commitTo(min(m.Commit, c.log.lastIndex()))
		c.send(Message{
			Kind: MessageHeartbeatResponse, To: m.From, ToIncarnation: m.FromIncarnation,
			Round: m.Round, LogIndex: c.matched, Match: c.durableMatch(),
		})
	case MessageSnapshot:
		c.snapshotFromLeader(m)
	}
	return nil
}

func (c *Core) appendFromLeader(m Message) error {
	if m.LogIndex < c.log.committed {
		c.acknowledge(c.log.committed)
		return nil
	}
	if !c.log.matches(m.LogIndex, m.LogTerm) {
		c.refuseAppend(m)
		return nil
	}
	if err := c.mergeEntries(m.Entries); err != nil {
		return err
	}
	last := m.LogIndex + uint64(len(m.Entries))
	c.commitTo(min(m.Commit, last))
	c.acknowledge(last)
	return nil
}

func (c *Core) refuseAppend(m Message) {
	index, term := c.log.conflictHint(m.LogIndex, m.LogTerm)
	c.send(Message{
		Kind: MessageAppendResponse, To: m.From, ToIncarnation: m.FromIncarnation,
		Refused: true, Rejected: m.LogIndex, LogIndex: index, LogTerm: term,
	})
}

// mergeEntries appends the entries that the log lacks and replaces those that
// conflict.
func (c *Core) mergeEntries(entries []Entry) error {
	for position, entry := range entries {
		if c.log.matches(entry.Index, entry.Term) {
			continue
		}
		if entry.Index <= c.log.committed {
			return fmt.Errorf("%w: index %d, term %d", ErrCommittedConflict, entry.Index, entry.Term)
		}
		if entry.Index <= c.log.lastIndex() {
			c.log.truncateFrom(entry.Index)
			c.dropMembershipsFrom(entry.Index)
		}
		c.log.append(entries[position:]...)
		if err := c.recordMemberships(entries[position:]); err != nil {
			return err
		}
		c.membershipChanged()
		return nil
	}
	return nil
}

// acknowledge queues an acknowledgement, which is sent to the leader once the
// log is durable up to index.
func (c *Core) acknowledge(index uint64) {
	c.ackUpTo = max(c.ackUpTo, index)
	c.matched = max(c.matched, index)
}

// durableMatch returns the last index that an AppendResponse could acknowledge
// now.
func (c *Core) durableMatch() uint64 {
	if c.installing != nil {
		return 0
	}
	return min(c.matched, c.log.stable)
}

func (c *Core) commitTo(index uint64) {
	if index <= c.log.committed {
		return
	}
	removalPending := c.removalUncommitted()
	c.log.committed = index
	c.hardState.Commit = index
	if removalPending && c.role != Leader && !c.removalUncommitted() {
		c.membershipChanged()
	}
}

// snapshotFromLeader replaces the log with a snapshot, unless the log already
// holds the entries that the snapshot covers.
func (c *Core) snapshotFromLeader(m Message) {
	meta := m.Snapshot.Meta
	if meta.Index <= c.log.committed {
		c.acknowledge(c.log.committed)
		return
	}
	if c.log.matches(meta.Index, meta.Term) {
		c.commitTo(meta.Index)
		c.acknowledge(meta.Index)
		return
	}
	c.log.restore(meta)
	c.hardState.Commit = meta.Index
	c.snapshot = meta
	c.installing = m.Snapshot
	c.memberships = []membershipAt{{meta.Index, meta.Membership}}
	c.membershipChanged()
	c.ackUpTo, c.matched = meta.Index, meta.Index
}
