package consensus

import (
	"slices"
	"testing"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"gotest.tools/v3/assert"
)

// harness drives a single core directly, as replica 1 of three.
type harness struct {
	t    *testing.T
	core *Core
	now  time.Duration
	// from is the sender of the messages passed to step; zero stands for replica
	// 2.
	from topology.ReplicaID
	sent []Message
}

func newHarness(t *testing.T, config Config) *harness {
	t.Helper()
	config.Group, config.ID, config.Incarnation = testGroup, 1, testMember(1).Incarnation
	config.Snapshot.Membership = NewMembership(testMember(1), testMember(2), testMember(3))
	core, err := New(config)
	assert.NilError(t, err)
	return &harness{t: t, core: core}
}

// step passes a message to the core, at least an election timeout after its
// start.
func (s *harness) step(m Message) {
	s.t.Helper()
	s.now = max(s.now, DefaultElectionTimeout)
	from := max(s.from, 2)
	m.Group, m.From, m.FromIncarnation = testGroup, from, testMember(from).Incarnation
	m.To, m.ToIncarnation = 1, testMember(1).Incarnation
	assert.NilError(s.t, s.core.Step(s.now, m))
}

// drain does all Ready work and collects the messages.
func (s *harness) drain() {
	for s.core.HasReady() {
		ready := s.core.Ready()
		s.sent = append(append(s.sent, ready.Early...), ready.Messages...)
		s.core.Advance(ready)
	}
}

// lastSent returns the last message of a kind that was sent.
func (s *harness) lastSent(kind MessageKind) Message {
	s.t.Helper()
	for position := len(s.sent) - 1; position >= 0; position-- {
		if s.sent[position].Kind == kind {
			return s.sent[position]
		}
	}
	s.t.Fatalf("no message of kind %d was sent", kind)
	return Message{}
}

func kinds(messages []Message) []MessageKind {
	var found []MessageKind
	for _, m := range messages {
		found = append(found, m.Kind)
	}
	return found
}

func TestFollowerAcknowledgesOnlyDurableEntries(t *testing.T) {
	s := newHarness(t, Config{})
	s.step(Message{Kind: MessageAppend, Term: 1, Entries: []Entry{{Index: 1, Term: 1, Kind: EntryNoop}}})
	ready := s.core.Ready()
	assert.Equal(t, len(ready.Entries), 1)
	assert.Equal(t, ready.HardState.Term, uint64(1))
	assert.Assert(t, !slices.Contains(kinds(append(ready.Early, ready.Messages...)), MessageAppendResponse))
	assert.Equal(t, len(s.core.TakeEarly()), 0)

	s.core.Advance(ready)
	ready = s.core.Ready()
	assert.DeepEqual(t, kinds(ready.Messages), []MessageKind{MessageAppendResponse})
	assert.Equal(t, ready.Messages[0].LogIndex, uint64(1))
}

func TestVoteIsSentWithItsHardState(t *testing.T) {
	s := newHarness(t, Config{})
	s.step(Message{Kind: MessageVote, Term: 7})
	ready := s.core.Ready()
	assert.Equal(t, len(ready.Early), 0)
	assert.DeepEqual(t, kinds(ready.Messages), []MessageKind{MessageVoteResponse})
	assert.DeepEqual(t, *ready.HardState, HardState{Term: 7, Vote: 2})

	restarted := newHarness(t, Config{HardState: *ready.HardState})
	restarted.step(Message{Kind: MessageVote, Term: 7})
	assert.Assert(t, !restarted.core.Ready().Messages[0].Refused, "the same candidate may repeat its request")
	assert.NilError(t, restarted.core.Step(restarted.now, Message{
		Kind: MessageVote, Term: 7, Group: testGroup, From: 3, FromIncarnation: testMember(3).Incarnation,
		To: 1, ToIncarnation: testMember(1).Incarnation,
	}))
	assert.Assert(t, restarted.core.Ready().Messages[0].Refused, "a second vote in term 7")
}

func TestCandidateCountsOwnVoteOnceDurable(t *testing.T) {
	s := newHarness(t, Config{})
	// Until then its own vote does not count, because an earlier process may have
	// granted a leader lease.
	for s.core.Role() != PreCandidate || s.now < DefaultElectionTimeout+2*DefaultHeartbeatInterval {
		s.now += DefaultHeartbeatInterval
		s.core.Tick(s.now)
	}
	s.core.Advance(s.core.Ready())
	s.step(Message{Kind: MessagePreVoteResponse, Term: 1})
	assert.Equal(t, s.core.Role(), Candidate)
	s.step(Message{Kind: MessageVoteResponse, Term: 1})
	assert.Equal(t, s.core.Role(), Candidate, "it has one other vote of three, and its own is not written yet")
	s.core.Advance(s.core.Ready())
	assert.Equal(t, s.core.Role(), Leader)
}

func TestLeaderCountsItselfOnceEntryIsDurable(t *testing.T) {
	c := newCluster(t, 11, 3)
	c.commit("a")
	leader := c.waitForLeader()
	leader.diskFull = true
	index, _, err := leader.core.Propose([]byte("b"))
	assert.NilError(t, err)
	followers := c.others(leader.member.ID)
	followers[0].diskFull = true
	c.processReady(leader)
	c.run(2 * time.Second)
	assert.Assert(t, leader.core.Status().Commit < index, "the entry is durable at only one of three replicas")
	followers[0].diskFull = false
	c.waitUntil("committed by the two followers", func() bool { return leader.core.Status().Commit >= index })
}

func TestLeaderKeepsLeaseWhileDisksAreFull(t *testing.T) {
	c := newCluster(t, 12, 3)
	c.commit("a")
	leader := c.waitForLeader()
	for _, n := range c.nodes {
		n.diskFull = true
	}
	for range 500 {
		c.step()
		assert.Assert(t, leader.core.Status().IsLeader(c.now))
	}
	assert.NilError(t, leader.core.ReadIndex(1))
	c.waitUntil("a read while the disks are full", func() bool { return len(leader.reads) == 1 })
	assert.Assert(t, !leader.reads[0].Failed)
}

func TestRestartsLoseNoCommittedEntry(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, 100+seed, 3)
		for round := range 10 {
			last := c.commit(string(rune('a' + round)))
			id := c.ids()[c.random.IntN(3)]
			c.crash(id)
			c.restart(id)
			c.waitUntil("all replicas apply", func() bool { return c.allApplied(last) })
		}
	}
}

// While the disk is full, a replica holds entries that it has not written. The
// commit index that it writes must not cover them: after a restart the log has
// other entries at their indexes.
func TestDurableCommitIndexCoversOnlyDurableEntries(t *testing.T) {
	s := newHarness(t, Config{
		HardState: HardState{Term: 3, Commit: 1},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: EntryNoop}, {Index: 2, Term: 3, Kind: EntryNoop}},
	})
	s.core.HoldEntries(true)
	s.step(Message{Kind: MessageAppend, Term: 4, LogIndex: 1, LogTerm: 1, Commit: 2, Entries: []Entry{{Index: 2, Term: 4, Kind: EntryNoop}}})
	ready := s.core.Ready()
	assert.Equal(t, len(ready.Entries), 0)
	assert.Equal(t, s.core.Status().Commit, uint64(2))
	assert.DeepEqual(t, *ready.HardState, HardState{Term: 4, Commit: 1})
}

func TestMalformedMessagesAreDropped(t *testing.T) {
	for name, m := range map[string]Message{
		"no kind":                   {Term: 9},
		"unknown kind":              {Kind: 99, Term: 9},
		"snapshot without content":  {Kind: MessageSnapshot, Term: 9},
		"answer without membership": {Kind: MessageRecoveryResponse, Term: 9},
		"gap between entries":       {Kind: MessageAppend, Term: 9, Entries: []Entry{{Index: 2, Term: 9, Kind: EntryNoop}}},
		"entry of a later term":     {Kind: MessageAppend, Term: 9, Entries: []Entry{{Index: 1, Term: 10, Kind: EntryNoop}}},
		"entry of unknown kind":     {Kind: MessageAppend, Term: 9, Entries: []Entry{{Index: 1, Term: 9}}},
	} {
		s := newHarness(t, Config{})
		s.step(m)
		assert.Assert(t, !s.core.HasReady(), name)
		assert.Equal(t, s.core.Status().Term, uint64(0), name)
	}
}

func TestHeartbeatMatchBeyondLogEndReturnsErrOlderCopy(t *testing.T) {
	s := newHarness(t, Config{HardState: HardState{Term: 3}, Entries: []Entry{{Index: 1, Term: 3, Kind: EntryNoop}}})
	s.step(Message{Kind: MessageHeartbeat, Term: 3, Match: 1})
	err := s.core.Step(s.now, Message{
		Kind: MessageHeartbeat, Term: 3, Match: 2, Group: testGroup, From: 2, FromIncarnation: testMember(2).Incarnation,
		To: 1, ToIncarnation: testMember(1).Incarnation,
	})
	assert.ErrorIs(t, err, ErrOlderCopy)
}
