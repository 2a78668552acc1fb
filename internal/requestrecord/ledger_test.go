package requestrecord

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/quartzdock/quartzdock/internal/rapidseed"
	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// testAgent is a simulated agent: a ledger, a journal whose unsynced end a crash
// may lose, and a clock of its own.
type testAgent struct {
	ledger  *Ledger
	journal []Change
	synced  int
	// clockSkew is added to the true time.
	clockSkew time.Duration
}

func (agent *testAgent) start() {
	agent.ledger = NewLedger(agent.ledger.limits, func(change Change, durable bool) {
		agent.journal = append(agent.journal, change)
		if durable {
			agent.synced = len(agent.journal)
		}
	})
}

// rewrite replaces the journal by the changes that rebuild the current state.
func (agent *testAgent) rewrite() {
	agent.journal = agent.ledger.Changes()
	agent.synced = len(agent.journal)
}

// ownership is the true ownership of one shard.
type ownership struct {
	id     topology.ShardID
	epoch  topology.Epoch
	owner  int
	covers Range
}

// attempt is a request that an agent admitted.
type attempt struct {
	id     requestid.ID
	owned  ownership
	agent  *testAgent
	ledger *Ledger
	ran    bool
}

// testCluster has several agents and the shards of one service, and knows which
// agent owns each shard and which requests ran. Back ends run only requests of the
// current owner at the current epoch, as their fencing demands.
type testCluster struct {
	now       time.Duration
	agents    []*testAgent
	shards    []*ownership
	lastShard topology.ShardNumber
	keys      map[requestid.ID]topology.KeyHash
	ids       []requestid.ID
	runs      map[requestid.ID]int
	attempts  []*attempt
	transfers []wire.RecordTransfer
	// lastRecordLoss is when a shard last began without a continued record, or a
	// journal was last damaged.
	lastRecordLoss time.Duration
	// probes counts the ids of admitNewID.
	probes int
}

func newTestCluster(t *rapid.T) *testCluster {
	limits := Limits{
		Retention:  time.Minute,
		MaxEntries: rapid.SampledFrom([]int{4, 1000}).Draw(t, "entries"),
	}.withDefaults()
	s := &testCluster{keys: make(map[requestid.ID]topology.KeyHash), runs: make(map[requestid.ID]int), now: time.Hour, lastShard: 1}
	for range rapid.IntRange(2, 3).Draw(t, "holders") {
		agent := &testAgent{clockSkew: time.Duration(rapid.IntRange(0, int(DefaultClockBound.Milliseconds())).Draw(t, "skew")) * time.Millisecond}
		agent.ledger = NewLedger(limits, nil)
		agent.start()
		agent.ledger.Restart(false, s.clock(agent))
		agent.rewrite()
		s.agents = append(s.agents, agent)
	}
	first := &ownership{id: topology.ShardID{Service: 1, Shard: 1}, epoch: 1, covers: Range{Last: math.MaxUint64}}
	s.shards = []*ownership{first}
	s.begin(t, first)
	return s
}

func (s *testCluster) clock(agent *testAgent) int64 { return (s.now + agent.clockSkew).Milliseconds() }

// begin lets the owner serve at the current epoch.
func (s *testCluster) begin(t *rapid.T, owned *ownership) {
	agent := s.agents[owned.owner]
	continued, err := agent.ledger.Begin(owned.id, owned.epoch, owned.covers, s.clock(agent))
	assert.NilError(t, err)
	if !continued {
		s.lastRecordLoss = s.now
	}
}

func (s *testCluster) shard(t *rapid.T) *ownership {
	return s.shards[rapid.IntRange(0, len(s.shards)-1).Draw(t, "shard")]
}

func (s *testCluster) anyAgent(t *rapid.T) (int, *testAgent) {
	index := rapid.IntRange(0, len(s.agents)-1).Draw(t, "holder")
	return index, s.agents[index]
}

func (s *testCluster) ownerOf(key topology.KeyHash) *ownership {
	for _, owned := range s.shards {
		if owned.covers.Start <= key && key <= owned.covers.Last {
			return owned
		}
	}
	panic("no shard covers the key")
}

func (s *testCluster) advance(t *rapid.T) {
	s.now += time.Duration(rapid.SampledFrom([]int{1, 100, 300, 61_000}).Draw(t, "milliseconds")) * time.Millisecond
}

// send sends a new or a repeated id to the current owner, or to an agent that
// still believes to be the owner.
func (s *testCluster) send(t *rapid.T) {
	var id requestid.ID
	resend := len(s.ids) > 0 && rapid.Bool().Draw(t, "resend")
	if resend {
		id = rapid.SampledFrom(s.ids).Draw(t, "id")
	} else {
		bound := int(DefaultClockBound.Milliseconds())
		stamp := s.now + time.Duration(rapid.IntRange(-4*bound, bound).Draw(t, "stamp"))*time.Millisecond
		id = requestid.New(time.UnixMilli(stamp.Milliseconds()), [10]byte{8: byte(len(s.ids) >> 8), 9: byte(len(s.ids))})
		s.ids = append(s.ids, id)
		s.keys[id] = topology.KeyHash(rapid.Uint64().Draw(t, "key"))
	}
	owned := *s.ownerOf(s.keys[id])
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		owned.owner, _ = s.anyAgent(t)
		owned.epoch -= topology.Epoch(rapid.IntRange(0, 1).Draw(t, "epochs behind"))
	}
	s.admit(t, id, owned)
}

func (s *testCluster) admit(t *rapid.T, id requestid.ID, owned ownership) {
	agent := s.agents[owned.owner]
	verdict, err := agent.ledger.Admit(owned.id, owned.epoch, id, 7, s.clock(agent))
	if err != nil {
		return
	}
	switch verdict.Decision {
	case Fresh:
		s.attempts = append(s.attempts, &attempt{id: id, owned: owned, agent: agent, ledger: agent.ledger})
	case Answered, AnswerNotKept:
		assert.Equal(t, s.runs[id], 1, "reported as run, but it did not run exactly once")
	case Mismatch:
		t.Fatalf("id %v found with another fingerprint", id)
	}
}

func (s *testCluster) anyAttempt(t *rapid.T) *attempt {
	if len(s.attempts) == 0 {
		t.Skip("no attempt is pending")
	}
	return rapid.SampledFrom(s.attempts).Draw(t, "attempt")
}

// run lets a back end run an attempt, possibly late, even after a crash of the
// agent.
func (s *testCluster) run(t *rapid.T) {
	running := s.anyAttempt(t)
	for _, owned := range s.shards {
		if *owned == running.owned && !running.ran {
			running.ran = true
			s.runs[running.id]++
			assert.Equal(t, s.runs[running.id], 1, "ran more than once")
		}
	}
}

// end lets an agent end an attempt. It abandons only an attempt that did not run
// and, once removed from attempts, cannot run any more.
func (s *testCluster) end(t *rapid.T) {
	ended := s.anyAttempt(t)
	for i, other := range s.attempts {
		if other == ended {
			s.attempts = append(s.attempts[:i:i], s.attempts[i+1:]...)
		}
	}
	if ended.ledger != ended.agent.ledger {
		return // the agent crashed meanwhile and no longer knows the attempt
	}
	switch {
	case rapid.IntRange(0, 3).Draw(t, "lost") == 0:
		ended.ledger.MarkOutcomeUnknown(ended.owned.id, ended.id)
	case ended.ran:
		ended.ledger.Finish(ended.owned.id, ended.id, &Answer{Status: 200, Body: []byte("ok")})
	default:
		ended.ledger.Abandon(ended.owned.id, ended.id)
	}
}

// crash restarts an agent that lost part of the unsynced end of its journal or,
// with damage, any part of the end.
func (s *testCluster) crash(t *rapid.T) {
	index, agent := s.anyAgent(t)
	minimum, damaged := agent.synced, rapid.IntRange(0, 4).Draw(t, "damaged") == 0
	if damaged {
		minimum = 0
		s.lastRecordLoss = s.now
	}
	agent.journal = agent.journal[:rapid.IntRange(minimum, len(agent.journal)).Draw(t, "kept")]
	agent.start()
	for _, change := range agent.journal {
		agent.ledger.Replay(change)
	}
	agent.ledger.Restart(damaged, s.clock(agent))
	agent.rewrite()
	for _, owned := range s.shards {
		if owned.owner == index {
			s.begin(t, owned)
		}
	}
}

// takeOver gives a shard to another agent without a transfer.
func (s *testCluster) takeOver(t *rapid.T) {
	owned := s.shard(t)
	owned.owner, _ = s.anyAgent(t)
	owned.epoch++
	s.begin(t, owned)
}

// move releases a shard and gives it to another agent. The record arrives at once,
// late or never.
func (s *testCluster) move(t *rapid.T) {
	owned := s.shard(t)
	from := s.agents[owned.owner]
	from.ledger.Release(owned.id, owned.epoch)
	transfer, err := from.ledger.Export(owned.id, owned.epoch, s.clock(from))
	assert.NilError(t, err)
	var to *testAgent
	owned.owner, to = s.anyAgent(t)
	if rapid.Bool().Draw(t, "arrives") {
		assert.NilError(t, to.ledger.Import(transfer, s.clock(to)))
	} else {
		s.transfers = append(s.transfers, transfer)
	}
	owned.epoch++
	s.begin(t, owned)
}

// deliver lets a transfer arrive late, at any agent.
func (s *testCluster) deliver(t *rapid.T) {
	if len(s.transfers) == 0 {
		t.Skip("no transfer is pending")
	}
	_, to := s.anyAgent(t)
	assert.NilError(t, to.ledger.Import(rapid.SampledFrom(s.transfers).Draw(t, "transfer"), s.clock(to)))
}

// split makes the right half of a shard a new shard.
func (s *testCluster) split(t *rapid.T) {
	left := s.shard(t)
	if left.covers.Last-left.covers.Start < 2 {
		t.Skip("too small")
	}
	s.lastShard++
	middle := left.covers.Start + (left.covers.Last-left.covers.Start)/2
	left.epoch++
	right := &ownership{id: topology.ShardID{Service: 1, Shard: s.lastShard}, epoch: left.epoch, owner: left.owner,
		covers: Range{Start: middle + 1, Last: left.covers.Last}}
	left.covers.Last = middle
	s.shards = append(s.shards, right)
	s.begin(t, right)
	s.begin(t, left)
}

// merge extends a shard over its right neighbour.
func (s *testCluster) merge(t *rapid.T) {
	left := s.shard(t)
	for i, right := range s.shards {
		if left.covers.Last+1 == right.covers.Start && right.covers.Start != 0 && left.owner == right.owner {
			left.epoch = max(left.epoch, right.epoch) + 1
			left.covers.Last = right.covers.Last
			s.shards = append(s.shards[:i:i], s.shards[i+1:]...)
			s.begin(t, left)
			return
		}
	}
	t.Skip("no neighbour of the same owner")
}

// admitNewID checks that the current owner admits a new id, unless entries were
// dropped or a record was lost shortly before.
func (s *testCluster) admitNewID(t *rapid.T) {
	for _, agent := range s.agents {
		if agent.ledger.Counts().Dropped > 0 {
			t.Skip("ids were dropped")
		}
	}
	if s.now <= s.lastRecordLoss+3*DefaultClockBound {
		t.Skip("a record was lost")
	}
	owned := s.shard(t)
	agent := s.agents[owned.owner]
	s.probes++
	id := requestid.New(time.UnixMilli(s.now.Milliseconds()), [10]byte{7: 1, 8: byte(s.probes >> 8), 9: byte(s.probes)})
	verdict, err := agent.ledger.Admit(owned.id, owned.epoch, id, 7, s.clock(agent))
	assert.NilError(t, err)
	assert.Equal(t, verdict.Decision, Fresh, "%s", fmt.Sprint(owned, s.now, s.lastRecordLoss))
	agent.ledger.Abandon(owned.id, id)
}

// raiseRapidDefaults raises rapid's numbers of checks and steps, unless flags set
// them or the tests run with -short.
func raiseRapidDefaults(t *testing.T) {
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.steps": "60"} {
		if found := flag.Lookup(name); !testing.Short() && found.Value.String() == found.DefValue {
			assert.NilError(t, found.Value.Set(value))
		}
	}
}

// TestNoIDRunsTwice drives several ledgers through sends, resends, crashes, damaged
// journals, takeovers, moves, late transfers, splits and merges.
func TestNoIDRunsTwice(t *testing.T) {
	raiseRapidDefaults(t)
	rapid.Check(t, func(t *rapid.T) {
		s := newTestCluster(t)
		t.Repeat(map[string]func(*rapid.T){
			"send":       s.send,
			"send again": s.send,
			"run":        s.run,
			"run again":  s.run,
			"end":        s.end,
			"advance":    s.advance,
			"crash":      s.crash,
			"take over":  s.takeOver,
			"move":       s.move,
			"deliver":    s.deliver,
			"split":      s.split,
			"merge":      s.merge,
			"rewrite": func(t *rapid.T) {
				_, agent := s.anyAgent(t)
				agent.rewrite()
			},
			"new work goes on": s.admitNewID,
		})
	})
}

func TestLedgerRefusesFutureStamps(t *testing.T) {
	ledger := NewLedger(Limits{}, nil)
	now := start.UnixMilli()
	_, err := ledger.Begin(shard, 1, whole, now)
	assert.NilError(t, err)
	_, err = ledger.Admit(shard, 1, idAt(start.Add(DefaultClockBound), 1), 7, now)
	assert.ErrorIs(t, err, ErrEarly)
	_, err = ledger.Admit(shard, 1, idAt(start.Add(DefaultClockBound+time.Millisecond), 1), 7, now)
	assert.ErrorIs(t, err, ErrFuture)
	assert.Assert(t, !errors.Is(err, ErrEarly))
}
