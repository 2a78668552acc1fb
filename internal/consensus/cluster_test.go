package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"gotest.tools/v3/assert"
)

const (
	testTick  = 10 * time.Millisecond
	testGroup = topology.GroupID(1)
)

// disk is a fake of a replica's storage. Only what was written to it survives a
// crash.
type disk struct {
	hardState HardState
	entries   []Entry
	snapshot  Snapshot
}

func (d *disk) write(ready Ready) {
	if ready.Snapshot != nil {
		d.snapshot = *ready.Snapshot
		d.entries = nil
	}
	if ready.HardState != nil {
		d.hardState = *ready.HardState
	}
	if len(ready.Entries) > 0 {
		kept := slices.IndexFunc(d.entries, func(e Entry) bool { return e.Index >= ready.Entries[0].Index })
		if kept >= 0 {
			d.entries = d.entries[:kept:kept]
		}
		d.entries = append(d.entries, ready.Entries...)
	}
}

func (d disk) clone() disk {
	d.entries = slices.Clone(d.entries)
	return d
}

// node is one replica of a test cluster with its disk and state machine.
type node struct {
	member  Member
	core    *Core
	disk    disk
	applied []Entry
	reads   []ReadState
	paused  bool
	// inbox holds the messages that arrived while the replica was paused.
	inbox []Message
	// diskFull withholds entries from writing, as the driver does while the disk
	// is full.
	diskFull bool
	// unproven is passed to the next start as Config.Unproven.
	unproven bool
	// fatalErr is the error with which the replica stopped itself.
	fatalErr error
}

type delivery struct {
	at      time.Duration
	message Message
}

// cluster runs replicas on virtual time over a network that delays, loses and
// reorders messages. All randomness comes from one seed.
type cluster struct {
	t         testingT
	now       time.Duration
	random    *rand.Rand
	nodes     map[topology.ReplicaID]*node
	network   []delivery
	cut       map[[2]topology.ReplicaID]bool
	lossRate  float64
	drop      func(Message) bool
	maxDelay  time.Duration
	committed map[uint64]Entry
	leaders   map[uint64]topology.ReplicaID
	// leaseHeldAt is when the leader of each term last held a lease.
	leaseHeldAt map[uint64]time.Duration
	starts      uint64
}

// testingT is the common subset of *testing.T, *testing.B and *rapid.T.
type testingT interface {
	Helper()
	Log(...any)
	Fatalf(string, ...any)
	FailNow()
	Fail()
}

func newCluster(t testingT, seed uint64, size int) *cluster {
	t.Helper()
	c := &cluster{
		t:           t,
		random:      rand.New(rand.NewPCG(seed, 1)),
		nodes:       map[topology.ReplicaID]*node{},
		cut:         map[[2]topology.ReplicaID]bool{},
		maxDelay:    5 * time.Millisecond,
		committed:   map[uint64]Entry{},
		leaders:     map[uint64]topology.ReplicaID{},
		leaseHeldAt: map[uint64]time.Duration{},
	}
	var members []Member
	for id := range size {
		members = append(members, testMember(topology.ReplicaID(id+1)))
	}
	for _, member := range members {
		n := &node{member: member}
		n.disk.snapshot.Meta.Membership = NewMembership(members...)
		c.nodes[member.ID] = n
		c.start(n)
	}
	return c
}

func testMember(id topology.ReplicaID) Member {
	return Member{ID: id, Incarnation: topology.Incarnation(1000 + id), Address: fmt.Sprintf("127.0.0.%d:1", id)}
}

// ids returns the replicas in a fixed order.
func (c *cluster) ids() []topology.ReplicaID {
	var ids []topology.ReplicaID
	for id := range c.nodes {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (c *cluster) start(n *node) {
	c.t.Helper()
	c.starts++
	core, err := New(Config{
		Group: testGroup, ID: n.member.ID, Incarnation: n.member.Incarnation,
		HardState: n.disk.hardState, Snapshot: n.disk.snapshot.Meta, Entries: slices.Clone(n.disk.entries),
		Now: c.now, Seed: c.random.Uint64(), MaxAppendBytes: 200, MaxInflightAppends: 4,
		Unproven: n.unproven,
	})
	assert.NilError(c.t, err)
	n.core = core
	n.applied = decodeApplied(n.disk.snapshot)
	n.paused = false
	n.inbox = nil
}

// decodeApplied decodes the state machine, the list of applied entries, from a
// snapshot.
func decodeApplied(snapshot Snapshot) []Entry {
	var applied []Entry
	for position := 0; position+8 <= len(snapshot.Data); position += 8 {
		applied = append(applied, Entry{Index: uint64(snapshot.Data[position]) | uint64(snapshot.Data[position+1])<<8, Data: snapshot.Data[position+2 : position+8]})
	}
	return applied
}

func encodeApplied(applied []Entry) []byte {
	var data []byte
	for _, entry := range applied {
		record := make([]byte, 8)
		record[0], record[1] = byte(entry.Index), byte(entry.Index>>8)
		copy(record[2:], entry.Data)
		data = append(data, record...)
	}
	return data
}

// crash stops a replica. If its disk was unproven, it is unproven at the next
// start too.
func (c *cluster) crash(id topology.ReplicaID) {
	if n := c.nodes[id]; n.core != nil {
		n.unproven = n.core.Status().Unproven
		n.core = nil
	}
}

func (c *cluster) restart(id topology.ReplicaID) { c.start(c.nodes[id]) }

// restoreDiskCopy starts a replica from an older copy of its disk.
func (c *cluster) restoreDiskCopy(id topology.ReplicaID, copied disk) {
	n := c.nodes[id]
	n.disk = copied.clone()
	n.unproven = true
	c.start(n)
}

// restartUnproven restarts a replica from its present disk as unproven, as after
// a power cut.
func (c *cluster) restartUnproven(id topology.ReplicaID) { c.restoreDiskCopy(id, c.nodes[id].disk) }

func (c *cluster) isolate(id topology.ReplicaID) {
	for other := range c.nodes {
		c.cut[[2]topology.ReplicaID{id, other}] = true
		c.cut[[2]topology.ReplicaID{other, id}] = true
	}
}

func (c *cluster) heal() { clear(c.cut) }

func (c *cluster) send(messages []Message) {
	for _, m := range messages {
		if c.cut[[2]topology.ReplicaID{m.From, m.To}] || c.random.Float64() < c.lossRate {
			continue
		}
		if c.drop != nil && c.drop(m) {
			continue
		}
		if m.Kind == MessageSnapshot {
			snapshot := c.nodes[m.From].disk.snapshot
			m.Snapshot = &snapshot
		}
		delay := time.Duration(c.random.Int64N(int64(c.maxDelay)))
		c.network = append(c.network, delivery{c.now + delay, m})
	}
}

// processReady does the node's Ready work until there is none left.
func (c *cluster) processReady(n *node) {
	if n.core != nil {
		n.core.HoldEntries(n.diskFull)
	}
	for n.core != nil && !n.paused && n.core.HasReady() {
		n.core.HoldEntries(n.diskFull)
		ready := n.core.Ready()
		c.checkEarlyMessages(n, ready)
		c.send(ready.Early)
		n.disk.write(ready)
		if ready.Snapshot != nil {
			n.applied = decodeApplied(*ready.Snapshot)
		}
		c.send(ready.Messages)
		for _, entry := range ready.Committed {
			c.apply(n, entry)
		}
		n.reads = append(n.reads, ready.Reads...)
		n.core.Advance(ready)
		c.checkLeader(n)
	}
}

// checkEarlyMessages verifies that no early message depends on state that is not
// yet written.
func (c *cluster) checkEarlyMessages(n *node, ready Ready) {
	for _, m := range ready.Early {
		switch m.Kind {
		case MessageVote, MessageVoteResponse, MessageAppendResponse:
			c.t.Fatalf("replica %d sends a message of kind %d before its write is done", n.member.ID, m.Kind)
		case MessagePreVote, MessagePreVoteResponse:
		default:
			assert.Assert(c.t, m.Term <= n.disk.hardState.Term, "replica %d sends term %d before it is written", n.member.ID, m.Term)
		}
	}
}

// apply applies an entry and checks that all replicas apply the same one at an
// index.
func (c *cluster) apply(n *node, entry Entry) {
	if earlier, ok := c.committed[entry.Index]; ok {
		assert.Equal(c.t, earlier.Term, entry.Term, "replica %d applies a different entry at index %d", n.member.ID, entry.Index)
		assert.Equal(c.t, string(earlier.Data), string(entry.Data))
	}
	c.committed[entry.Index] = entry
	if entry.Kind == EntryCommand {
		n.applied = append(n.applied, entry)
	}
}

func (c *cluster) checkLeader(n *node) {
	if n.core.Role() != Leader {
		return
	}
	term := n.core.Status().Term
	if other, ok := c.leaders[term]; ok {
		assert.Equal(c.t, other, n.member.ID, "two leaders in term %d", term)
	} else {
		c.checkEarlierLeases(n)
	}
	c.leaders[term] = n.member.ID
}

// checkLeases verifies that at most one replica holds a valid leader lease,
// paused ones included.
func (c *cluster) checkLeases() {
	holder := topology.ReplicaID(0)
	for _, id := range c.ids() {
		n := c.nodes[id]
		if n.core == nil || !n.core.Status().IsLeader(c.now) {
			continue
		}
		c.leaseHeldAt[n.core.Status().Term] = c.now
		if holder != 0 {
			c.t.Fatalf("replicas %d and %d both have a valid lease at %v", holder, id, c.now)
		}
		holder = id
	}
}

// compact takes a snapshot at a replica and drops the log before it, apart from
// the last retain entries.
func (c *cluster) compact(id topology.ReplicaID, retain uint64) {
	n := c.nodes[id]
	status := n.core.Status()
	if status.Applied > status.Durable {
		return
	}
	n.disk.snapshot = Snapshot{Meta: n.core.SnapshotMeta(), Data: encodeApplied(n.applied)}
	n.disk.entries = slices.DeleteFunc(slices.Clone(n.disk.entries), func(e Entry) bool { return e.Index <= status.Applied })
	n.core.Compact(n.disk.snapshot.Meta, retain)
}

// add starts a replica with an empty disk that is in no membership yet.
func (c *cluster) add(member Member) *node {
	n := &node{member: member}
	c.nodes[member.ID] = n
	c.start(n)
	return n
}

// others returns all running replicas except one.
func (c *cluster) others(id topology.ReplicaID) []*node {
	var others []*node
	for _, other := range c.ids() {
		if other != id && c.nodes[other].core != nil {
			others = append(others, c.nodes[other])
		}
	}
	return others
}

// step advances time by one tick.
func (c *cluster) step() {
	c.now += testTick
	due := c.network
	c.network = nil
	slices.SortStableFunc(due, func(a, b delivery) int { return int(a.at - b.at) })
	for _, d := range due {
		if d.at > c.now {
			c.network = append(c.network, d)
			continue
		}
		c.deliver(d.message)
	}
	for _, id := range c.ids() {
		n := c.nodes[id]
		if n.core == nil || n.paused {
			continue
		}
		n.core.Tick(c.now)
		c.processReady(n)
	}
	c.checkLeases()
}

func (c *cluster) deliver(m Message) {
	n, ok := c.nodes[m.To]
	if !ok || n.core == nil {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, m)
		return
	}
	err := n.core.Step(c.now, m)
	if errors.Is(err, ErrOlderCopy) {
		n.core, n.fatalErr = nil, err
		return
	}
	assert.NilError(c.t, err)
	c.processReady(n)
}

// resume ends a pause. Messages that arrived meanwhile are handled after the
// first tick.
func (c *cluster) resume(id topology.ReplicaID) {
	n := c.nodes[id]
	n.paused = false
	n.core.Tick(c.now)
	c.processReady(n)
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		c.deliver(m)
	}
}

func (c *cluster) run(duration time.Duration) {
	for end := c.now + duration; c.now < end; {
		c.step()
	}
}

// waitUntil runs until a condition holds, for at most ten seconds of virtual
// time.
func (c *cluster) waitUntil(what string, condition func() bool) {
	c.t.Helper()
	for end := c.now + 10*time.Second; !condition(); {
		if c.now >= end {
			c.t.Fatalf("not reached within 10 s: %s", what)
		}
		c.step()
	}
}

// leader returns the replica with a valid lease, or nil.
func (c *cluster) leader() *node {
	for _, id := range c.ids() {
		n := c.nodes[id]
		if n.core != nil && !n.paused && n.core.Status().IsLeader(c.now) {
			return n
		}
	}
	return nil
}

func (c *cluster) waitForLeader() *node {
	c.t.Helper()
	c.waitUntil("a leader with a lease", func() bool { return c.leader() != nil })
	return c.leader()
}

// commit proposes a command at the leader and waits until the leader has applied
// it.
func (c *cluster) commit(data string) uint64 {
	c.t.Helper()
	leader := c.waitForLeader()
	index, _, err := leader.core.Propose([]byte(data))
	assert.NilError(c.t, err)
	c.processReady(leader)
	c.waitUntil("command applied", func() bool { return leader.core.Status().Applied >= index })
	return index
}

// change proposes a membership change at the leader and waits until it is
// committed.
func (c *cluster) change(change Change) {
	c.t.Helper()
	leader := c.waitForLeader()
	var index uint64
	c.waitUntil(change.Kind.String()+" accepted", func() bool {
		var err error
		index, _, err = leader.core.ProposeMembership(change)
		return err == nil
	})
	c.processReady(leader)
	c.waitUntil(change.Kind.String()+" committed", func() bool { return leader.core.Status().Commit >= index })
}

func (c *cluster) allApplied(index uint64) bool {
	for _, n := range c.nodes {
		if n.core != nil && n.core.Status().Applied < index {
			return false
		}
	}
	return true
}
