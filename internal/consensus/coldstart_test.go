package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// restartAll stops all replicas at once and restarts those in back once no
// message is in flight any more: a late heartbeat would count as having heard a
// leader.
func (c *cluster) restartAll(back ...topology.ReplicaID) {
	for _, id := range c.ids() {
		c.crash(id)
	}
	c.run(2 * c.maxDelay)
	for _, id := range back {
		c.restart(id)
	}
}

// After all processes were lost, only leases that they may have granted delay an
// election.
func TestColdStartElectsWithoutWaiting(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5)
		last := c.commit("a")
		c.waitUntil("all replicas apply", func() bool { return c.allApplied(last) })
		c.run(time.Second)
		c.restartAll(c.ids()...)
		began := c.now
		c.waitForLeader()
		assert.Assert(t, c.now-began < DefaultElectionTimeout*2/3, "%v after the start", c.now-began)
		status := c.leader().core.Status()
		assert.Assert(t, status.StartedAnew)
		assert.Assert(t, status.EarlierLeasesEnd <= c.now, "no lease of an earlier leader is still valid")
		c.commit("b")
	}
}

// A member that does not come back may be the leader, cut off from the others,
// which must wait until the lease that they may have granted to it has ended.
func TestAbsentMemberPreventsColdStartElection(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5)
		c.commit("a")
		c.run(time.Second)
		c.restartAll(1, 2, 3, 4)
		began := c.now
		c.waitForLeader()
		assert.Assert(t, c.now-began >= DefaultElectionTimeout, "%v after the start", c.now-began)
		assert.Assert(t, !c.leader().core.Status().StartedAnew)
	}
}

// The leader keeps running, isolated from the others, all of which restart. Its
// lease stays valid, and cluster.checkLeases checks that no other replica gets
// one.
func TestIsolatedLeaderKeepsLeaseWhenAllOthersRestart(t *testing.T) {
	for seed := range uint64(20) {
		c := newCluster(t, seed, 5)
		c.commit("a")
		leader := c.waitForLeader().member.ID
		c.isolate(leader)
		for _, id := range c.ids() {
			if id != leader {
				c.crash(id)
				c.restart(id)
			}
		}
		if seed%2 == 0 {
			c.run(50 * time.Millisecond)
			c.heal()
		}
		c.run(2 * time.Second)
		c.heal()
		c.commit("b")
	}
}

// runRestartFaults restarts replicas repeatedly, alone and together, with message
// delays that are long enough for responses of ended processes to arrive.
func runRestartFaults(t *testing.T, seed uint64, size int) {
	c := newCluster(t, seed, size)
	random := rand.New(rand.NewPCG(seed, 11))
	for range 60 {
		c.maxDelay = []time.Duration{5 * time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond}[random.IntN(3)]
		switch random.IntN(6) {
		case 0:
			c.restartAll(c.ids()...)
		case 1, 2:
			id := c.ids()[random.IntN(size)]
			c.crash(id)
			c.restart(id)
		case 3:
			c.isolate(c.ids()[random.IntN(size)])
		case 4:
			c.heal()
		default:
			c.toggleFault(random)
		}
		c.run(time.Duration(random.Int64N(int64(400 * time.Millisecond))))
	}
}

func TestOneLeaseAtATimeUnderRepeatedRestarts(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 60
	}
	for seed := range seeds {
		runRestartFaults(t, seed, 3+2*int(seed%2))
	}
}

// newPreVoteHarness returns a replica that has just begun a pre-vote round, and a
// function that passes it the response of another replica, after change.
func newPreVoteHarness(t *testing.T) (*harness, func(from topology.ReplicaID, change func(*Message))) {
	s := newHarness(t, Config{})
	for s.core.Role() != PreCandidate {
		s.now += testTick
		s.core.Tick(s.now)
	}
	s.core.Advance(s.core.Ready())
	return s, func(from topology.ReplicaID, change func(*Message)) {
		response := Message{
			Kind: MessagePreVoteResponse, Group: testGroup, Term: 1, Refused: true, UpFor: time.Second, Round: 1, Run: 70 + uint64(from),
			From: from, FromIncarnation: testMember(from).Incarnation, To: 1, ToIncarnation: testMember(1).Incarnation,
		}
		if change != nil {
			change(&response)
		}
		assert.NilError(t, s.core.Step(s.now, response))
	}
}

func TestColdStartElectionNeedsValidResponseOfEveryMember(t *testing.T) {
	for name, change := range map[string]func(*Message){
		"a leader was heard":              func(m *Message) { m.UpFor = 0 },
		"a response to an earlier round":  func(m *Message) { m.Round = 0 },
		"a process that started later":    func(m *Message) { m.UpFor = 1 },
		"another incarnation":             func(m *Message) { m.FromIncarnation++ },
		"a response for a different term": func(m *Message) { m.Term = 0 },
	} {
		s, respond := newPreVoteHarness(t)
		s.now += testTick
		respond(2, nil)
		assert.Equal(t, s.core.Role(), PreCandidate, "only one of two peers has answered")
		respond(3, change)
		assert.Assert(t, s.core.Role() != Candidate, name)
	}
	s, respond := newPreVoteHarness(t)
	respond(2, nil)
	respond(3, nil)
	assert.Equal(t, s.core.Role(), Candidate)
}

// A lease that an earlier process of the replica may have granted binds the
// replica's own pre-vote too.
func TestOwnPreVoteDoesNotCountWhileBoundByLease(t *testing.T) {
	s, respond := newPreVoteHarness(t)
	respond(2, func(m *Message) { m.Refused, m.UpFor = false, 0 })
	assert.Equal(t, s.core.Role(), PreCandidate, "it has one vote of three, and its own does not count")
}

// The leader may be a replica that an uncommitted change removes, or a learner
// that has become a voter, so the reports of the known voters prove nothing.
func TestNoColdStartElectionWithLearnerOrUncommittedChange(t *testing.T) {
	three := []Member{testMember(1), testMember(2), testMember(3)}
	learner := testMember(4)
	learner.Learner = true
	for name, config := range map[string]Config{
		"a learner": {Snapshot: SnapshotMeta{Membership: NewMembership(append(three, learner)...)}},
		"a change that is not known to be committed": {
			Snapshot: SnapshotMeta{Membership: NewMembership(append(three, testMember(4))...)},
			Entries:  []Entry{{Index: 1, Term: 0, Kind: EntryMembership, Data: encodeMembership(NewMembership(three...))}},
		},
	} {
		config.Group, config.ID, config.Incarnation = testGroup, 1, testMember(1).Incarnation
		core, err := New(config)
		assert.NilError(t, err)
		s := &harness{t: t, core: core}
		for s.core.Role() != PreCandidate {
			s.now += testTick
			s.core.Tick(s.now)
		}
		for _, from := range []topology.ReplicaID{2, 3, 4} {
			assert.NilError(t, s.core.Step(s.now, Message{
				Kind: MessagePreVoteResponse, Group: testGroup, Term: 1, Refused: true, UpFor: time.Second, Round: s.core.preVoteRound.number, Run: 9,
				From: from, FromIncarnation: testMember(from).Incarnation, To: 1, ToIncarnation: testMember(1).Incarnation,
			}))
		}
		assert.Equal(t, s.core.Role(), PreCandidate, name)
	}
}

// A replica that has heard a leader since its start is bound by the leader's
// lease: it ignores vote requests, even those marked as Unled, and its pre-vote
// response tells that it is not leaderless.
func TestReplicaThatHeardLeaderRefusesColdStartVote(t *testing.T) {
	s := newHarness(t, Config{})
	s.step(Message{Kind: MessageHeartbeat, Term: 1})
	s.drain()
	s.sent = nil
	s.from = 3
	s.step(Message{Kind: MessagePreVote, Term: 2, LogIndex: 9, LogTerm: 1, Round: 1})
	s.step(Message{Kind: MessageVote, Term: 2, LogIndex: 9, LogTerm: 1, Unled: true})
	s.drain()
	assert.Equal(t, len(s.sent), 1, "the vote request is ignored")
	assert.Equal(t, s.sent[0].Kind, MessagePreVoteResponse)
	assert.Assert(t, s.sent[0].Refused)
	assert.Equal(t, s.sent[0].UpFor, time.Duration(0))
}

// Of two replicas that run pre-vote rounds after a cold start, the one with the
// higher ID yields, unless it has already sent vote requests.
func TestColdStartPreVoteYieldsToLowerID(t *testing.T) {
	preVoteFrom := func(from topology.ReplicaID, term uint64) func(*Message) {
		return func(m *Message) {
			*m = Message{Kind: MessagePreVote, Group: m.Group, Term: term, Round: 5, From: from, FromIncarnation: testMember(from).Incarnation, To: m.To, ToIncarnation: m.ToIncarnation}
		}
	}
	s, respond := newPreVoteHarness(t)
	respond(2, preVoteFrom(2, 1))
	respond(2, nil)
	respond(3, nil)
	assert.Equal(t, s.core.Role(), Candidate, "replica 1 does not yield to replica 2")
	respond(2, preVoteFrom(2, 2))
	s.core.Advance(s.core.Ready())
	respond(3, func(m *Message) {
		*m = Message{Kind: MessageVoteResponse, Group: m.Group, Term: 1, Run: 73, From: 3, FromIncarnation: m.FromIncarnation, To: m.To, ToIncarnation: m.ToIncarnation}
	})
	assert.Equal(t, s.core.Role(), Leader, "a candidate that has sent vote requests does not yield")

	yielding := newCluster(t, 1, 3).nodes[3]
	for yielding.core.Role() != PreCandidate {
		yielding.core.Tick(yielding.core.now + testTick)
	}
	assert.NilError(t, yielding.core.Step(yielding.core.now, Message{
		Kind: MessagePreVote, Group: testGroup, Term: 1, Round: 1, From: 1, FromIncarnation: testMember(1).Incarnation, To: 3, ToIncarnation: testMember(3).Incarnation,
	}))
	assert.Equal(t, len(yielding.core.preVoteRound.leaderlessRuns), 0)
	assert.Assert(t, yielding.core.preVoteRound.number > 1, "responses to its own round no longer count")
}

// A process that has started since the pre-vote may have forgotten a leader that
// an earlier one heard.
func TestColdStartVoteCountsOnlyFromRunThatAnsweredPreVote(t *testing.T) {
	s, respond := newPreVoteHarness(t)
	respond(2, nil)
	respond(3, nil)
	s.core.Advance(s.core.Ready())
	vote := func(run uint64) func(*Message) {
		return func(m *Message) {
			*m = Message{Kind: MessageVoteResponse, Group: m.Group, Term: 1, Run: run, From: m.From, FromIncarnation: m.FromIncarnation, To: m.To, ToIncarnation: m.ToIncarnation}
		}
	}
	respond(2, vote(99))
	assert.Equal(t, s.core.Role(), Candidate)
	respond(2, vote(72))
	assert.Equal(t, s.core.Role(), Leader)
}
