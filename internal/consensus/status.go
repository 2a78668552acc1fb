package consensus

import (
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus/tracker"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Status is a copy of what a replica knows of itself and its group.
type Status struct {
	ID          topology.ReplicaID
	Incarnation topology.Incarnation
	Role        Role
	Term        uint64
	// Unproven: the replica takes no part in elections until it knows that its
	// disk lacks nothing that it acknowledged.
	Unproven bool
	// Leader is zero where none is known.
	Leader    topology.ReplicaID
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// Durable is the last index synced here.
	Durable uint64
	// LeaseUntil is when the leader lease ends, on the clock given to Tick;
	// zero at a replica without one. Whoever acts as the leader compares it
	// with the time at the moment of acting.
	LeaseUntil time.Duration
	// StartedAnew says, at a leader, that it was elected since all members had started anew.
	StartedAnew bool
	// EarlierLeasesEnd is, at a leader, by when every leader lease of an earlier
	// term has ended, on the same clock; it may be before its election or after.
	EarlierLeasesEnd time.Duration
	// LeaderHeardAt is when a leader was last heard, or the start.
	LeaderHeardAt time.Duration
	Membership    Membership
	// Peers is set at the leader.
	Peers []PeerStatus
}

// PeerStatus is what a leader knows of another member.
type PeerStatus struct {
	ID            topology.ReplicaID
	Match         uint64
	State         tracker.State
	InflightBytes int
	// HeardAt is when it last answered; zero is never in this term.
	HeardAt time.Duration
}

// IsLeader reports whether the replica may act as the leader at a time on the
// clock given to Tick.
func (s Status) IsLeader(now time.Duration) bool {
	return s.Role == Leader && now < s.LeaseUntil
}

// Successor returns the voter that lacks the least of the leader's log, to which
// leadership is best given; zero is none.
func (s Status) Successor() topology.ReplicaID {
	var best PeerStatus
	for _, peer := range s.Peers {
		if s.Membership.IsVoter(peer.ID) && (best.ID == 0 || peer.Match > best.Match) {
			best = peer
		}
	}
	return best.ID
}

// Status returns a copy of the replica's state.
func (c *Core) Status() Status {
	status := Status{
		ID:            c.config.ID,
		Incarnation:   c.config.Incarnation,
		Role:          c.role,
		Term:          c.hard.Term,
		Unproven:      !c.recovered(),
		Leader:        c.leader,
		Commit:        c.log.committed,
		Applied:       c.log.applied,
		LastIndex:     c.log.lastIndex(),
		Durable:       c.log.stable,
		LeaseUntil:    c.leaseUntil(),
		LeaderHeardAt: c.leaderHeardAt,

		StartedAnew:      c.leading.startedAnew,
		EarlierLeasesEnd: c.earlierLeasesEnd,
		Membership:       c.Membership(),
	}
	for _, member := range status.Membership.Members {
		if progress, ok := c.leading.peers[member.ID]; ok && member.ID != c.config.ID {
			status.Peers = append(status.Peers, PeerStatus{
				ID: member.ID, Match: progress.Match, State: progress.State,
				InflightBytes: progress.InflightBytes(), HeardAt: progress.HeardAt,
			})
		}
	}
	return status
}

// Membership returns the membership in force, which may not be committed yet.
func (c *Core) Membership() Membership {
	return c.memberships[len(c.memberships)-1].membership
}

// SnapshotMeta returns the meta data of a snapshot taken now, of all that is
// applied. It holds between Advance and the next Ready, unless Installing.
func (c *Core) SnapshotMeta() SnapshotMeta {
	index := c.log.applied
	term, _ := c.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Membership: c.membershipAt(index)}
}

// Installing reports whether a received snapshot is not yet durable; the state
// machine is then behind what Status says is applied.
func (c *Core) Installing() bool { return c.installing != nil }

// Unapplied returns the entries that are in the log and not applied, committed or not, and
// false where the log is not all that this replica may have acknowledged. The entries must
// not be changed.
func (c *Core) Unapplied() ([]Entry, bool) {
	if c.Installing() || !c.recovered() {
		return nil, false
	}
	return c.log.from(c.log.applied+1, math.MaxInt), true
}

// LastTerm is that of the last entry of the log.
func (c *Core) LastTerm() uint64 { return c.log.lastTerm() }

// EntriesWithin counts the entries up to index, back from it, whose data fit a
// number of bytes: what Compact may retain.
func (c *Core) EntriesWithin(index uint64, bytes int) uint64 {
	count := uint64(0)
	for position := index; position > c.log.previousIndex && position <= c.log.lastIndex(); position-- {
		bytes -= len(c.log.entries[position-c.log.previousIndex-1].Data)
		if bytes < 0 {
			break
		}
		count++
	}
	return count
}

// Role returns the replica's role.
func (c *Core) Role() Role { return c.role }

func (c *Core) membershipAt(index uint64) Membership {
	found := c.memberships[0].membership
	for _, at := range c.memberships {
		if at.index <= index {
			found = at.membership
		}
	}
	return found
}

func (c *Core) noteMemberships(entries []Entry) error {
	for _, entry := range entries {
		if entry.Kind != EntryMembership {
			continue
		}
		membership, err := DecodeMembership(entry.Data)
		if err != nil {
			return err
		}
		c.memberships = append(c.memberships, membershipAt{entry.Index, membership})
	}
	return nil
}

func (c *Core) dropMembershipsFrom(index uint64) {
	for len(c.memberships) > 1 && c.memberships[len(c.memberships)-1].index >= index {
		c.memberships = c.memberships[:len(c.memberships)-1]
	}
}

// pruneMemberships drops those that the snapshot's replaces.
func (c *Core) pruneMemberships() {
	for len(c.memberships) > 1 && c.memberships[1].index <= c.snapshot.Index {
		c.memberships = c.memberships[1:]
	}
}

// membershipChanged brings role and tracking in line with the membership in
// force. A leader that is removed leads on until its removal is committed.
func (c *Core) membershipChanged() {
	voter := c.recovered() && (c.votesIn(c.Membership()) || c.removalOpen())
	switch {
	case c.role == Leader:
		c.trackMembers()
	case voter:
		c.fire(eventPromoted)
	default:
		c.fire(eventDemoted)
	}
}

func (c *Core) votesIn(membership Membership) bool {
	return membership.IsVoter(c.config.ID) && membership.Names(c.config.ID, c.config.Incarnation)
}

// removalOpen reports whether the newest membership, which is not known to be
// committed, takes the vote of this replica away. It then still stands for
// election, without a vote of its own, as it may be the only one to hold that
// entry (Ongaro, section 4.2.2).
func (c *Core) removalOpen() bool {
	last := len(c.memberships) - 1
	return last > 0 && c.memberships[last].index > c.log.committed && c.votesIn(c.memberships[last-1].membership)
}

// trackMembers keeps a progress for each other member, and for no one else.
func (c *Core) trackMembers() {
	membership := c.Membership()
	for _, member := range membership.Members {
		if _, ok := c.leading.peers[member.ID]; !ok && member.ID != c.config.ID {
			c.leading.peers[member.ID] = tracker.New(c.log.lastIndex())
		}
	}
	for id := range c.leading.peers {
		if _, ok := membership.Find(id); !ok {
			delete(c.leading.peers, id)
		}
	}
}
