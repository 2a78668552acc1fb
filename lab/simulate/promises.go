package simulate

import (
	"bytes"
	"strings"
	"time"

	"github.com/quartzdock/quartzdock/internal/consensus"
	"github.com/quartzdock/quartzdock/internal/controlstate"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// committedLog is what any replica applied first at each index, and the state
// that follows from it. All others must apply the same.
type committedLog struct {
	cluster   *cluster
	entries   map[uint64]committedEntry
	last      uint64
	reference *controlstate.State
	// accepted holds the revision of each operator's change that was accepted.
	accepted map[string]topology.Revision
	// asked is the revision that each operator's change expects.
	asked map[string]topology.Revision
	// expected names the change that was accepted for an expected revision.
	expected map[topology.Revision]string
}

type committedEntry struct {
	term uint64
	data []byte
}

func newCommittedLog(c *cluster) *committedLog {
	return &committedLog{
		cluster:   c,
		entries:   make(map[uint64]committedEntry),
		reference: controlstate.New(groupID),
		accepted:  make(map[string]topology.Revision),
		asked:     make(map[string]topology.Revision),
		expected:  make(map[topology.Revision]string),
	}
}

// observe takes an entry that a controller applies.
func (l *committedLog) observe(by *controller, entry consensus.Entry) {
	known, ok := l.entries[entry.Index]
	if ok {
		if known.term != entry.Term || !bytes.Equal(known.data, entry.Data) {
			l.cluster.world.violate(AcceptedSurvives, "%s applies another entry %d, of term %d instead of %d",
				by.name, entry.Index, entry.Term, known.term)
		}
		return
	}
	l.entries[entry.Index] = committedEntry{entry.Term, entry.Data}
	if entry.Index != l.last+1 {
		l.cluster.world.violate(AcceptedSurvives, "%s applies entry %d after %d", by.name, entry.Index, l.last)
	}
	l.last = entry.Index
	if entry.Kind == consensus.EntryCommand {
		l.apply(entry)
	}
}

func (l *committedLog) apply(entry consensus.Entry) {
	command, err := controlstate.DecodeCommand(entry.Data)
	if err != nil {
		return
	}
	result, delta := l.reference.Apply(topology.Revision(entry.Index), command)
	l.cluster.owners.changed(l.reference, delta.Shards)
	l.cluster.world.note("applied", entry.Index, uint64(len(delta.Shards)))
	if command.RequestID == "" || result.Err() != nil || result.Repeated {
		return
	}
	// A defect makes ids longer; the operator's own comes first.
	requestID, _, _ := strings.Cut(command.RequestID, "/")
	l.accepted[requestID] = result.Revision
	l.noteDrain(&command)
	// Marked shifts conflict with no other change.
	if command.MarkLoadShift == nil {
		l.noteWinner(requestID)
	}
}

func (l *committedLog) noteWinner(requestID string) {
	expected := l.asked[requestID]
	if first, taken := l.expected[expected]; taken {
		l.cluster.world.violate(OneWinner, "%s and %s were both accepted for revision %d", first, requestID, expected)
	}
	l.expected[expected] = requestID
}

// noteDrain remembers since when back ends are leaving.
func (l *committedLog) noteDrain(command *controlstate.Command) {
	set := command.SetBackendState
	if set == nil {
		return
	}
	info, _ := l.reference.BackendByName(set.Backend)
	if info.State == topology.BackendDraining {
		l.cluster.drains.since[info.AgentAddress] = l.cluster.world.now
	} else {
		delete(l.cluster.drains.since, info.AgentAddress)
	}
}

// answered checks what an operator was told.
func (l *committedLog) answered(requestID string, result controlstate.Result) {
	revision, accepted := l.accepted[requestID]
	switch {
	case result.Err() == nil && !accepted:
		l.cluster.world.violate(AcceptedSurvives, "%s was acknowledged and is not committed", requestID)
	case result.Err() == nil && result.Revision != revision:
		l.cluster.world.violate(OneWinner, "%s was answered revision %d, first %d", requestID, result.Revision, revision)
	case result.Err() != nil && accepted:
		l.cluster.world.violate(OneWinner, "%s was accepted at revision %d and then refused: %v", requestID, revision, result.Err())
	}
}

// shardAt is a shard at one epoch.
type shardAt struct {
	shard topology.ShardID
	epoch topology.Epoch
}

// ownerBook knows what a shard covers at each epoch and checks that no two
// back ends could act for a key.
type ownerBook struct {
	cluster *cluster
	ranges  map[shardAt]requestrecord.Range
	// last is the last back end that acted for a position, and the epoch.
	last map[positionOf]topology.Epoch
}

type positionOf struct {
	service  string
	position topology.KeyHash
}

func newOwnerBook(c *cluster) *ownerBook {
	return &ownerBook{
		cluster: c,
		ranges:  make(map[shardAt]requestrecord.Range),
		last:    make(map[positionOf]topology.Epoch),
	}
}

// changed notes the ranges of changed shards.
func (o *ownerBook) changed(state *controlstate.State, shards []topology.Shard) {
	for _, shard := range shards {
		o.ranges[shardAt{shard.ID, shard.Epoch}] = requestrecord.Range{Start: shard.Start, Last: state.RangeEnd(shard.ID)}
	}
}

// observe checks a commit of a back end against what every other one of its
// service could do now.
func (o *ownerBook) observe(b *backend, position topology.KeyHash, shard topology.ShardID, epoch topology.Epoch) {
	o.cluster.world.note("commit", uint64(position), uint64(epoch), uint64(shard.Shard))
	key := positionOf{b.service, position}
	if o.last[key] > epoch {
		o.cluster.world.violate(SingleOwner, "%s acts for a key at epoch %d after another did at %d", b.name, epoch, o.last[key])
	}
	o.last[key] = max(o.last[key], epoch)
	for _, other := range o.cluster.backends {
		if other == b || other.service != b.service || !other.up || !other.leased() {
			continue
		}
		if held, ok := o.holds(other, position); ok {
			o.cluster.world.violate(SingleOwner, "%s acts for shard %s at epoch %d while %s holds %s at epoch %d",
				b.name, shard, epoch, other.name, held.shard, held.epoch)
		}
	}
}

// holds finds the shard by which a back end could act for a position.
func (o *ownerBook) holds(b *backend, position topology.KeyHash) (shardAt, bool) {
	for _, shard := range sortedShards(b.granted) {
		at := shardAt{shard, b.granted[shard]}
		covers := o.ranges[at]
		if covers.Start <= position && position <= covers.Last && at.epoch == b.highest[shard] {
			return at, true
		}
	}
	return shardAt{}, false
}

// runBook counts what ran, and checks what callers are told.
type runBook struct {
	cluster *cluster
	runs    map[uint64]int
	bySend  map[sendOf]int
	writes  map[uint64]int
	notRun  map[sendOf]bool
}

type sendOf struct {
	number uint64
	send   int
}

func newRunBook(c *cluster) *runBook {
	return &runBook{
		cluster: c,
		runs:    make(map[uint64]int),
		bySend:  make(map[sendOf]int),
		writes:  make(map[uint64]int),
		notRun:  make(map[sendOf]bool),
	}
}

// began notes that a back end begins to run a request.
func (r *runBook) began(b *backend, q *request) {
	at := sendOf{q.number, q.send}
	r.runs[q.number]++
	r.bySend[at]++
	if r.notRun[at] {
		r.cluster.world.violate(NotRunIsTrue, "%s runs request %d after its caller was told that it was not run", b.name, q.number)
	}
	if q.nonRepeatable && r.runs[q.number] > 1 {
		r.cluster.world.violate(AtMostOnce, "%s runs request %d again", b.name, q.number)
	}
}

// kept notes that a back end keeps a request's write.
func (r *runBook) kept(b *backend, q *request) {
	r.writes[q.number]++
	if q.nonRepeatable && r.writes[q.number] > 1 {
		r.cluster.world.violate(AtMostOnce, "%s keeps request %d again", b.name, q.number)
	}
}

// told checks what a caller was told.
func (r *runBook) told(q *request, told reply) {
	switch told.outcome {
	case wire.OutcomeAnswered:
		if told.answer != answerOf(q) {
			r.cluster.world.violate(WholeAnswer, "request %d got the answer to another", q.number)
		}
		if r.writes[q.number] == 0 {
			r.cluster.world.violate(WholeAnswer, "request %d was answered and nothing was kept", q.number)
		}
	case wire.OutcomeNotRun:
		at := sendOf{q.number, q.send}
		r.notRun[at] = true
		if r.bySend[at] > 0 {
			r.cluster.world.violate(NotRunIsTrue, "request %d ran and its caller was told %q", q.number, told.reason)
		}
	}
}

// drainBook knows since when back ends are leaving.
type drainBook struct {
	cluster *cluster
	since   map[string]time.Duration
}

// drainBound is after how long a leaving back end gets no new work: its grace,
// and the longest that an agent which does not know of the change can keep its
// lease.
const drainBound = leavingGrace + 2*leaseDuration

func (d *drainBook) admitted(a *agent) {
	since, leaving := d.since[a.address]
	if leaving && d.cluster.world.now-since > drainBound {
		d.cluster.world.violate(Drain, "%s admits work %v after its drain was accepted", a.name, d.cluster.world.now-since)
		delete(d.since, a.address)
	}
}

// revisionBook knows the newest revision that was in force at each process,
// over its restarts.
type revisionBook struct {
	cluster *cluster
	highest map[string]topology.Revision
}

func (r *revisionBook) observe(s *subscriber) {
	revision := s.table.Revision()
	if revision < r.highest[s.name] {
		r.cluster.world.violate(NoRevert, "%s goes back from revision %d to %d", s.name, r.highest[s.name], revision)
	}
	r.highest[s.name] = max(r.highest[s.name], revision)
}

// checkOnlyLeader checks, when a controller acts as the leader, that none of a
// later term may act.
func (c *cluster) checkOnlyLeader(acting *controller) {
	term := acting.leadership.Term()
	for _, other := range c.controllers {
		if other == acting || !other.up || other.core == nil || other.leadership.Term() <= term {
			continue
		}
		status := other.status()
		if other.leadership.MayAct(&status, other.clock()) {
			c.world.violate(SingleOwner, "%s acts as the leader of term %d and %s of term %d",
				acting.name, term, other.name, other.leadership.Term())
		}
	}
}

// checkTaken checks, when a leader takes shards from owners that it holds for
// lost, that their leases have ended by their own clocks.
func (c *cluster) checkTaken(by *controller, batch *controlstate.ChangeOwnership) {
	if batch == nil {
		return
	}
	for _, change := range batch.Changes {
		shard, known := by.state.Shard(change.Shard)
		if !known || change.Event != ownership.EventAssign || shard.Owner == 0 || shard.Epoch != change.Epoch {
			continue
		}
		info, _ := by.state.Backend(shard.Owner)
		if owner := c.agentAt(info.AgentAddress); owner != nil {
			c.checkLost(owner, shard)
		}
	}
}

func (c *cluster) checkLost(owner *agent, shard topology.Shard) {
	server := owner.backend
	if owner.up && owner.holder.Owns(shard.ID, shard.Epoch, owner.clock()) == nil {
		c.world.violate(SingleOwner, "shard %s is taken from %s while its lease is valid", shard.ID, owner.name)
	}
	if server.up && server.leased() && server.granted[shard.ID] == shard.Epoch {
		c.world.violate(SingleOwner, "shard %s is taken from %s while its grant is valid", shard.ID, server.name)
	}
}

// checkInForce checks that a revision which the leader reports to be in force
// everywhere is so.
func (c *cluster) checkInForce(revision topology.Revision) {
	for _, r := range c.routers {
		if r.up && r.relies() && r.table.Revision() < revision {
			c.world.violate(InForce, "revision %d is reported in force and %s still routes by %d", revision, r.name, r.table.Revision())
		}
	}
	for _, a := range c.agents {
		if a.up && a.table != nil && a.holder.Valid(a.clock()) && a.table.Revision() < revision {
			c.world.violate(InForce, "revision %d is reported in force and %s still serves by %d", revision, a.name, a.table.Revision())
		}
	}
}

// settledLag is how long before the end something must have been committed to
// be expected everywhere at the end.
const settledLag = 2 * time.Second

// checkEnd is called after a time without faults: everything works, and
// everyone has what was committed settledLag before.
func (c *cluster) checkEnd(settled topology.Revision) {
	reference, err := c.committed.reference.Encode()
	if err != nil {
		c.world.violate(AcceptedSurvives, "the reference state cannot be encoded: %v", err)
	}
	for _, controller := range c.controllers {
		c.checkController(controller, reference, settled)
	}
	for _, s := range c.subscribers() {
		if s.table == nil || s.table.Revision() < settled {
			c.world.violate(Recovers, "%s is not at revision %d", s.name, settled)
		}
	}
	for _, service := range c.committed.reference.Services() {
		for shard := range c.committed.reference.Shards(service.ID) {
			if shard.Phase == topology.ShardUnassigned {
				c.world.violate(Recovers, "shard %s has no owner", shard.ID)
			}
		}
	}
	if c.lateAnswers == 0 {
		c.world.violate(Recovers, "no request was answered after the last fault")
	}
}

func (c *cluster) checkController(controller *controller, reference []byte, settled topology.Revision) {
	if controller.core == nil {
		c.world.violate(Recovers, "%s is no member", controller.name)
		return
	}
	revision := controller.state.Revision()
	if revision < settled {
		c.world.violate(Recovers, "%s is at revision %d, not at %d", controller.name, revision, settled)
	}
	if revision != c.committed.reference.Revision() {
		return // the last entries are on their way
	}
	data, err := controller.state.Encode()
	if err != nil || !bytes.Equal(data, reference) {
		c.world.violate(AcceptedSurvives, "the state of %s at revision %d differs from what was committed", controller.name, revision)
	}
}
