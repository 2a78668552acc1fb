package simulate

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/coordinator"
	"github.com/quartzdock/quartzdock/internal/distribution"
	"github.com/quartzdock/quartzdock/internal/inforce"
	"github.com/quartzdock/quartzdock/internal/leadership"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	controllerTick  = 10 * time.Millisecond
	snapshotEntries = 150
	retainEntries   = 40
	groupID         = topology.GroupID(1)
)

// controller is the emulated controller process: the real consensus core,
// control state, coordinator and delta log, driven as internal/replica and
// internal/controller drive them.
type controller struct {
	*process
	cluster *cluster
	disk    *disk

	// The rest belongs to one life.
	core        *consensus.Core
	state       *controlstate.State
	coordinator *coordinator.Coordinator
	deltas      *distribution.Log
	view        *distribution.View
	peers       map[topology.ReplicaID]*controller
	writing     bool
	full        bool
	snapshotted uint64
	proposals   map[uint64]proposal
	reads       map[uint64]func(confirmed bool)
	nextRead    uint64
	barriers    []barrier

	leadership leadership.Leadership
	freshness  inforce.Freshness
	tracker    *inforce.Tracker
	sessions   []*session
	agents     map[string]*session
	// serial numbers what the process makes.
	serial int
}

type proposal struct {
	term uint64
	done func(result controlstate.Result, committed bool)
}

// barrier waits until an index is applied.
type barrier struct {
	index uint64
	done  func(confirmed bool)
}

func newController(c *cluster, name string) *controller {
	made := &controller{process: newProcess(c.world, name), cluster: c}
	made.disk = &disk{world: c.world}
	made.disk.lose()
	return made
}

// boot starts the process on what its disk holds. A folder that is a copy of
// itself is refused, and a new one waits to be made a member.
func (c *controller) boot() {
	if c.disk.copied && !c.cluster.has(DefectCopiedFolder) {
		return
	}
	c.disk.copied = false
	c.process.start()
	c.state = controlstate.New(groupID)
	c.deltas = distribution.NewLog(distributionWindow)
	c.view = c.deltas.View()
	c.peers = make(map[topology.ReplicaID]*controller)
	c.writing, c.full = false, false
	c.proposals = make(map[uint64]proposal)
	c.reads = make(map[uint64]func(confirmed bool))
	c.barriers = nil
	c.leadership = leadership.Leadership{}
	c.freshness = inforce.Freshness{}
	c.tracker = inforce.NewTracker(c.clock())
	c.sessions = nil
	c.agents = make(map[string]*session)
	c.core = nil
	c.coordinator = coordinator.New(c.coordinatorConfig(), c.state)
	if c.disk.durable.identity != 0 {
		c.startCore()
	}
	c.every(controllerTick, c.tick)
	c.confirmFreshness()
	c.every(inforce.ReportInterval, c.relay)
	c.every(aliveInterval, c.sendAlive)
}

func (c *controller) coordinatorConfig() coordinator.Config {
	config := coordinator.Config{WarmLimit: warmLimit}
	if c.cluster.has(DefectIgnoreDrain) {
		config.Evaluate = evaluateIgnoringDrain
	}
	return config
}

// distributionWindow keeps few deltas, so that snapshots are used too.
const distributionWindow = 300

// startCore starts consensus from the disk.
func (c *controller) startCore() {
	durable := c.disk.durable.clone()
	if c.cluster.has(DefectVoteNotSynced) && c.life > 1 {
		durable.hard.Vote = 0
		durable.hard.Term = lastTerm(&durable)
	}
	if durable.snapshot.Meta.Index > 0 {
		c.restore(durable.snapshot)
	}
	core, err := consensus.New(consensus.Config{
		Group:       groupID,
		ID:          durable.identity,
		Incarnation: durable.incarnation,
		HardState:   durable.hard,
		Snapshot:    durable.snapshot.Meta,
		Entries:     durable.entries,
		Now:         c.clock(),
		Seed:        c.world.random.Uint64(),
	})
	if err != nil {
		c.world.violate(AcceptedSurvives, "%s cannot start: %v", c.name, err)
		return
	}
	c.core = core
	c.snapshotted = durable.snapshot.Meta.Index
}

func lastTerm(durable *diskContent) uint64 {
	if count := len(durable.entries); count > 0 {
		return durable.entries[count-1].Term
	}
	return durable.snapshot.Meta.Term
}

// crash kills the process; with power loss the disk loses what was not synced,
// which for a killed process the kernel still writes.
func (c *controller) crash() {
	if !c.up {
		return
	}
	c.process.kill()
	c.disk.crash()
	c.endSessions()
}

func (c *controller) endSessions() {
	for _, s := range c.sessions {
		s.connection.serverOpen = false
	}
	c.sessions = nil
}

// tick is internal/replica's and internal/controller's tick.
func (c *controller) tick() {
	if c.core == nil {
		return
	}
	c.core.Tick(c.clock())
	c.follow(c.status())
	c.work()
}

func (c *controller) status() consensus.Status {
	if c.core == nil {
		return consensus.Status{Incarnation: c.disk.durable.incarnation}
	}
	return c.core.Status()
}

// step takes a message of another controller.
func (c *controller) step(message consensus.Message) {
	if c.core == nil && !c.join(message) {
		return
	}
	if err := c.core.Step(c.clock(), message); err != nil {
		c.world.violate(AcceptedSurvives, "%s: %v", c.name, err)
		c.crash()
		return
	}
	c.work()
}

// join takes the identity that the group gave to a new folder.
func (c *controller) join(message consensus.Message) bool {
	if message.ToIncarnation != c.disk.durable.incarnation || message.To == 0 {
		return false
	}
	c.disk.durable.identity = message.To
	c.startCore()
	return c.core != nil
}

// work does what the core asks for until it waits for a write.
func (c *controller) work() {
	c.core.HoldEntries(c.full)
	for !c.writing && c.core.HasReady() {
		ready := c.core.Ready()
		c.send(ready.Early)
		c.apply(ready.Committed)
		if ready.HardState == nil {
			c.finish(ready)
			continue
		}
		c.persist(ready)
	}
	if c.writing {
		c.send(c.core.TakeEarly())
	}
	c.maybeSnapshot()
}

// persist writes a Ready's facts and goes on once they are synced.
func (c *controller) persist(ready consensus.Ready) {
	if c.cluster.diskFull(c) && len(ready.Entries) > 0 {
		c.full = true
		ready.Entries = nil
		c.after(diskFullRetry, c.probeDisk)
	}
	if c.cluster.has(DefectAnswerBeforeSync) {
		c.disk.write(c.process, ready, func() {})
		c.finish(ready)
		return
	}
	c.writing = true
	c.disk.write(c.process, ready, func() {
		c.writing = false
		c.finish(ready)
		c.work()
	})
}

const diskFullRetry = 500 * time.Millisecond

// probeDisk tries a full disk again and again.
func (c *controller) probeDisk() {
	c.full = c.cluster.diskFull(c)
	if c.full {
		c.after(diskFullRetry, c.probeDisk)
	}
}

// finish ends a Ready whose facts are durable.
func (c *controller) finish(ready consensus.Ready) {
	if ready.Snapshot != nil {
		c.restore(*ready.Snapshot)
		c.snapshotted = ready.Snapshot.Meta.Index
		c.forgetProposals(ready.Snapshot.Meta.Index)
	}
	c.send(ready.Messages)
	for _, state := range ready.Reads {
		c.finishRead(state)
	}
	c.core.Advance(ready)
	c.releaseBarriers()
}

func (c *controller) forgetProposals(upTo uint64) {
	for index := range c.proposals {
		if index <= upTo {
			delete(c.proposals, index)
		}
	}
}

func (c *controller) restore(snapshot consensus.Snapshot) {
	if err := c.state.Decode(snapshot.Data); err != nil {
		c.world.violate(AcceptedSurvives, "%s cannot read a snapshot: %v", c.name, err)
		return
	}
	c.deltas.Reset(c.state.Revision())
	c.publish()
}

func (c *controller) maybeSnapshot() {
	status := c.core.Status()
	if c.writing || status.Applied < c.snapshotted+snapshotEntries || status.Applied > status.Durable {
		return
	}
	data, err := c.state.Encode()
	if err != nil {
		c.world.violate(AcceptedSurvives, "%s cannot encode its state: %v", c.name, err)
		return
	}
	snapshot := consensus.Snapshot{Meta: c.core.SnapshotMeta(), Data: data}
	c.writing = true
	c.snapshotted = status.Applied
	c.disk.saveSnapshot(c.process, snapshot, func() {
		c.writing = false
		c.core.Compact(snapshot.Meta, retainEntries)
		c.work()
	})
}

func (c *controller) send(messages []consensus.Message) {
	for _, message := range messages {
		c.sendPeer(message)
	}
}

// sendPeer sends to the machine that holds the member; a member whose disk was
// lost is no longer found and the message is dropped there.
func (c *controller) sendPeer(message consensus.Message) {
	to := c.peer(message.To)
	if to == nil {
		return
	}
	if message.Kind == consensus.MessageSnapshot {
		stored := c.disk.durable.snapshot
		if stored.Meta.Index < message.Snapshot.Meta.Index {
			return
		}
		message.Snapshot = &stored
	}
	c.cluster.network.send(c.process, to.process, func() {
		to.peers[message.From] = c
		to.step(message)
	}, nil)
}

// peer finds another member's machine: by the membership or, before it is
// known, by the messages that came from it.
func (c *controller) peer(id topology.ReplicaID) *controller {
	if member, ok := c.core.Membership().Find(id); ok {
		return c.cluster.controllerNamed(member.Address)
	}
	return c.peers[id]
}

// apply runs committed commands.
func (c *controller) apply(committed []consensus.Entry) {
	for _, entry := range committed {
		c.cluster.committed.observe(c, entry)
		var result controlstate.Result
		if entry.Kind == consensus.EntryCommand {
			result = c.applyCommand(entry)
		}
		c.resolve(entry, result)
	}
}

func (c *controller) applyCommand(entry consensus.Entry) controlstate.Result {
	command, err := controlstate.DecodeCommand(entry.Data)
	if err != nil {
		c.world.violate(AcceptedSurvives, "%s cannot decode entry %d: %v", c.name, entry.Index, err)
		return controlstate.Result{}
	}
	result, delta := c.state.Apply(topology.Revision(entry.Index), command)
	if delta.From == delta.To {
		return result
	}
	c.tracker.Committed(delta.To, c.clock())
	services, shards := c.state.ServiceAndShardCount()
	c.deltas.Append(delta, distribution.Totals{Services: services, Shards: shards, Backends: c.state.BackendCount()})
	c.publish()
	if !c.coordinator.Leading() {
		return result
	}
	if command.ChangeOwnership != nil {
		c.coordinator.ShardsChanged(delta.Shards, c.clock())
	} else {
		c.coordinator.ConfigurationChanged(c.clock())
		c.identifyAgents()
	}
	return result
}

func (c *controller) resolve(entry consensus.Entry, result controlstate.Result) {
	waiting, ok := c.proposals[entry.Index]
	if !ok {
		return
	}
	delete(c.proposals, entry.Index)
	waiting.done(result, waiting.term == entry.Term)
}

// propose puts a command through the log. Done is called when its outcome is
// known; it may never be. False means that nothing was proposed.
func (c *controller) propose(command controlstate.Command, done func(controlstate.Result, bool)) bool {
	if c.core == nil || c.full {
		return false
	}
	data, err := controlstate.EncodeCommand(command)
	if err != nil {
		c.world.violate(AcceptedSurvives, "%s cannot encode a command: %v", c.name, err)
		return false
	}
	index, term, err := c.core.Propose(data)
	if err != nil {
		return false
	}
	c.proposals[index] = proposal{term, done}
	c.later(c.work)
	return true
}

// later runs a function as the next event of the process.
func (c *controller) later(run func()) { c.after(0, run) }

// readIndex confirms leadership by a quorum and waits until all that was
// committed before is applied.
func (c *controller) readIndex(done func(confirmed bool)) {
	if c.core == nil {
		done(false)
		return
	}
	c.nextRead++
	if err := c.core.ReadIndex(c.nextRead); err != nil {
		done(false)
		return
	}
	c.reads[c.nextRead] = done
	c.later(c.work)
}

func (c *controller) finishRead(state consensus.ReadState) {
	done, ok := c.reads[state.Token]
	if !ok {
		return
	}
	delete(c.reads, state.Token)
	if state.Failed {
		done(false)
		return
	}
	c.barriers = append(c.barriers, barrier{state.Index, done})
}

func (c *controller) releaseBarriers() {
	if len(c.barriers) == 0 {
		return
	}
	applied := c.core.Status().Applied
	waiting := c.barriers
	c.barriers = nil
	for _, b := range waiting {
		if b.index <= applied {
			b.done(true)
		} else {
			c.barriers = append(c.barriers, b)
		}
	}
}

// leaseDuration is the length of agents' leases.
const leaseDuration = ownership.DefaultLeaseDuration
