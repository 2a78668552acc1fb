package consensus

import "fmt"

// stepFromLeader takes a message of the leader of this replica's term.
func (c *Core) stepFromLeader(m Message) error {
	if c.role == Leader || (c.leader != 0 && c.leader != m.From) {
		return fmt.Errorf("%w: term %d, replicas %d and %d", ErrTwoLeaders, c.hard.Term, c.leader, m.From)
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
			Kind: MessageHeartbeatAnswer, To: m.From, ToIncarnation: m.FromIncarnation,
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
		Kind: MessageAppendAnswer, To: m.From, ToIncarnation: m.FromIncarnation,
		Refused: true, Rejected: m.LogIndex, LogIndex: index, LogTerm: term,
	})
}

// mergeEntries appends what the log lacks and replaces what differs.
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
		if err := c.noteMemberships(entries[position:]); err != nil {
			return err
		}
		c.membershipChanged()
		return nil
	}
	return nil
}

// acknowledge answers the leader once the log is durable up to index.
func (c *Core) acknowledge(index uint64) {
	c.ackUpTo = max(c.ackUpTo, index)
	c.matched = max(c.matched, index)
}

// durableMatch is what an AppendAnswer could acknowledge now.
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
	removalOpen := c.removalOpen()
	c.log.committed = index
	c.hard.Commit = index
	if removalOpen && c.role != Leader && !c.removalOpen() {
		c.membershipChanged()
	}
}

// snapshotFromLeader replaces the log by a snapshot, unless the log already
// holds what the snapshot covers.
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
	c.hard.Commit = meta.Index
	c.snapshot = meta
	c.installing = m.Snapshot
	c.memberships = []membershipAt{{meta.Index, meta.Membership}}
	c.membershipChanged()
	c.ackUpTo, c.matched = meta.Index, meta.Index
}
