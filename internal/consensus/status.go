package consensus

import (
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus/tracker"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Status is a snapshot of a replica's state and of what it knows about its
// group.
type Status struct {
	ID          topology.ReplicaID
	Incarnation topology.Incarnation
	Role        Role
	Term        uint64
	// Unproven is set while the replica takes no part in elections because its
	// disk may lack something that it acknowledged.
	Unproven bool
	// Leader is zero if none is known.
	Leader    topology.ReplicaID
	Commit    uint64
	Applied   uint64
	LastIndex uint64
	// Durable is the last index that is synced at this replica.
	Durable uint64
	// LeaseUntil is when the leader lease ends, on the clock passed to Tick;
	// zero at a replica without one. Code that acts as the leader must compare
	// it with the time at the moment of acting.
	LeaseUntil time.Duration
	// StartedAnew is set at a leader that won a cold-start election: all members
	// had restarted and knew of no leader.
	StartedAnew bool
	// EarlierLeasesEnd is, at a leader, a time on the same clock by which every
	// leader lease of an earlier term has ended. It may be before or after the
	// leader's election.
	EarlierLeasesEnd time.Duration
	// LeaderHeardAt is when a leader was last heard, or when the process started.
	LeaderHeardAt time.Duration
	Membership    Membership
	// Peers is set only at the leader.
	Peers []PeerStatus
}

// PeerStatus is what a leader knows about another member.
type PeerStatus struct {
	ID            topology.ReplicaID
	Match         uint64
	State         tracker.State
	InflightBytes int
	// HeardAt is when it last answered; zero if never in this term.
	HeardAt time.Duration
}

// IsLeader reports whether the replica may act as the leader at now, a time on
// the clock passed to Tick.
func (s Status) IsLeader(now time.Duration) bool {
	return s.Role == Leader && now < s.LeaseUntil
}

// TransferTarget returns the voter with the most complete copy of the leader's log,
// the best target for a leadership transfer; zero if there is none.
func (s Status) TransferTarget() topology.ReplicaID {
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
		Term:          c.hardState.Term,
		Unproven:      !c.recovered(),
		Leader:        c.leader,
		Commit:        c.log.committed,
		Applied:       c.log.applied,
		LastIndex:     c.log.lastIndex(),
		Durable:       c.log.stable,
		LeaseUntil:    c.leaseUntil(),
		LeaderHeardAt: c.leaderHeardAt,

		StartedAnew:      c.leading.coldStart,
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

// Membership returns the membership in effect, which may not be committed yet.
func (c *Core) Membership() Membership {
	return c.memberships[len(c.memberships)-1].membership
}

// SnapshotMeta returns the metadata of a snapshot taken now, which covers all
// applied entries. It is valid between Advance and the next Ready, unless
// Installing.
func (c *Core) SnapshotMeta() SnapshotMeta {
	index := c.log.applied
	term, _ := c.log.term(index)
	return SnapshotMeta{Index: index, Term: term, Membership: c.membershipAt(index)}
}

// Installing reports whether a received snapshot is not yet durable. The state
// machine is then behind the Applied index of Status.
func (c *Core) Installing() bool { return c.installing != nil }

// Unapplied returns the entries of the log that are not applied, committed or
// not. It returns false if the log may lack entries that this replica has
// acknowledged. The entries must not be modified.
func (c *Core) Unapplied() ([]Entry, bool) {
	if c.Installing() || !c.recovered() {
		return nil, false
	}
	return c.log.entriesFrom(c.log.applied+1, math.MaxInt), true
}

// LastTerm returns the term of the last entry of the log.
func (c *Core) LastTerm() uint64 { return c.log.lastTerm() }

// EntriesWithin returns how many entries, counted backward from index, have data
// that fits a number of bytes; it gives the retain argument of Compact.
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

func (c *Core) recordMemberships(entries []Entry) error {
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

// pruneMemberships drops the memberships that the snapshot's one supersedes.
func (c *Core) pruneMemberships() {
	for len(c.memberships) > 1 && c.memberships[1].index <= c.snapshot.Index {
		c.memberships = c.memberships[1:]
	}
}

// membershipChanged updates the role and the tracked peers to the membership in
// effect. A leader that is removed keeps leading until its removal is committed.
func (c *Core) membershipChanged() {
	voter := c.recovered() && (c.isVoterIn(c.Membership()) || c.removalUncommitted())
	switch {
	case c.role == Leader:
		c.trackMembers()
	case voter:
		c.fire(eventPromoted)
	default:
		c.fire(eventDemoted)
	}
}

func (c *Core) isVoterIn(membership Membership) bool {
	return membership.IsVoter(c.config.ID) && membership.HasIncarnation(c.config.ID, c.config.Incarnation)
}

// removalUncommitted reports whether the newest membership, which is not known
// to be committed, takes away this replica's vote. The replica then still stands
// for election, without a vote of its own, because it may be the only one to
// hold that entry (Ongaro, section 4.2.2).
func (c *Core) removalUncommitted() bool {
	last := len(c.memberships) - 1
	return last > 0 && c.memberships[last].index > c.log.committed && c.isVoterIn(c.memberships[last-1].membership)
}

// trackMembers keeps a Progress for each other member and for no other replica.
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
