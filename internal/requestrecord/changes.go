package requestrecord

import (
	"cmp"
	"maps"
	"slices"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Change is one change to a Ledger, in the form that a journal stores. Exactly one
// field is set. It can be encoded with gob; only a Ledger interprets it.
type Change struct {
	Reset     *resetChange
	Begun     *begunChange
	Admitted  *admittedChange
	Finished  *finishedChange
	Abandoned *abandonedChange
	Released  *releasedChange
	Imported  *wire.RecordTransfer
	Restored  *restoredChange
	Memory    *memoryChange
}

// resetChange begins a segment: the changes that follow replace all earlier state.
type resetChange struct{}

// memoryChange states that the record has all ids that this agent admitted from
// SinceUnixMilli on.
type memoryChange struct{ SinceUnixMilli int64 }

// begunChange states that the agent serves the shard at Epoch. It copies the
// entries of the shards in From, out of which a split or merge created this shard.
type begunChange struct {
	Shard         topology.ShardID
	Epoch         topology.Epoch
	Covers        Range
	TakeoverFloor int64
	From          []topology.ShardID
}

type admittedChange struct {
	Shard       topology.ShardID
	ID          requestid.ID
	Fingerprint uint64
	// AtUnixMilli is the time of the admission, for retention.
	AtUnixMilli int64
}

// finishedChange states that the request ended. If Answered is false, its outcome
// is unknown.
type finishedChange struct {
	Shard    topology.ShardID
	ID       requestid.ID
	Answered bool
	// Answer is nil if it was not kept; BodyBytes is the length of its body.
	Answer    packedAnswer
	BodyBytes uint32
}

func newFinished(shard topology.ShardID, id requestid.ID, answer *Answer) *finishedChange {
	return &finishedChange{Shard: shard, ID: id, Answered: true, Answer: packAnswer(answer), BodyBytes: uint32(answer.size())}
}

type abandonedChange struct {
	Shard topology.ShardID
	ID    requestid.ID
}

// releasedChange promises that the agent will not serve the shard again at Epoch
// or a lower one.
type releasedChange struct {
	Shard topology.ShardID
	Epoch topology.Epoch
}

// restoredChange holds the epochs, range and floors of a shard's record in a
// rewritten journal. The entries follow as admitted and finished changes.
type restoredChange struct {
	Shard          topology.ShardID
	Epoch          topology.Epoch
	Released       topology.Epoch
	Covers         Range
	TakeoverFloor  int64
	RetentionFloor int64
}

// apply applies one change to the state, both during replay and while serving.
func (state *state) apply(change Change) {
	switch {
	case change.Reset != nil:
		state.shards = make(map[topology.ShardID]*shardRecord)
		state.admissions = nil
		state.keptBytes = 0
		state.completeSince = 0
	case change.Begun != nil:
		state.begin(change.Begun)
	case change.Admitted != nil:
		state.admit(change.Admitted)
	case change.Finished != nil:
		state.finish(change.Finished)
	case change.Abandoned != nil:
		state.abandon(change.Abandoned)
	case change.Released != nil:
		record := state.shard(change.Released.Shard)
		record.released = max(record.released, change.Released.Epoch)
	case change.Imported != nil:
		state.merge(change.Imported)
	case change.Restored != nil:
		state.restore(change.Restored)
	case change.Memory != nil:
		state.completeSince = change.Memory.SinceUnixMilli
	}
}

// state is the state of a Ledger. In a Record, the Record's mutex guards it.
type state struct {
	shards map[topology.ShardID]*shardRecord
	// admissions lists the admitted ids, oldest first, for retention.
	admissions []admission
	keptBytes  int
	// completeSince is the time from which on the record has all of this agent's
	// admissions. It includes ClockBound, so that it can be compared with other
	// agents' clocks. Zero means unknown.
	completeSince int64
}

type admission struct {
	shard       topology.ShardID
	id          requestid.ID
	atUnixMilli int64
}

func newState() *state {
	return &state{shards: make(map[topology.ShardID]*shardRecord)}
}

func (state *state) shard(id topology.ShardID) *shardRecord {
	record, ok := state.shards[id]
	if !ok {
		record = newShardRecord()
		state.shards[id] = record
	}
	return record
}

// sortedShards returns the shards in the order of their ids, so that the same
// calls always lead to the same state.
func (state *state) sortedShards() []topology.ShardID {
	return slices.SortedFunc(maps.Keys(state.shards), func(a, b topology.ShardID) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Shard, b.Shard))
	})
}

func (state *state) begin(begun *begunChange) {
	record := state.shard(begun.Shard)
	record.epoch = begun.Epoch
	record.covers = begun.Covers
	record.takeoverFloor = begun.TakeoverFloor
	for _, from := range begun.From {
		exported := state.shard(from).snapshot(from).transfer()
		for _, entry := range exported.Entries {
			state.mergeEntry(begun.Shard, record, entry)
		}
	}
}

func (state *state) admit(admitted *admittedChange) {
	record := state.shard(admitted.Shard)
	state.dropAnswer(record.entries[admitted.ID])
	record.entries[admitted.ID] = &entry{fingerprint: admitted.Fingerprint, state: stateRunning}
	state.admissions = append(state.admissions, admission{admitted.Shard, admitted.ID, admitted.AtUnixMilli})
}

// finish sets the outcome of an entry, unless retention has dropped the entry.
func (state *state) finish(finished *finishedChange) {
	e, ok := state.shard(finished.Shard).entries[finished.ID]
	if !ok {
		return
	}
	state.dropAnswer(e)
	e.state = stateUnknown
	if finished.Answered {
		e.state = stateAnswered
		e.answer, e.bodyBytes = finished.Answer, finished.BodyBytes
		state.keptBytes += int(e.bodyBytes)
	}
}

func (state *state) abandon(abandoned *abandonedChange) {
	record := state.shard(abandoned.Shard)
	state.dropAnswer(record.entries[abandoned.ID])
	delete(record.entries, abandoned.ID)
}

// dropAnswer removes an entry's answer and its size from keptBytes. This keeps
// keptBytes correct when a change is applied twice: a rewritten journal may be
// followed by changes that it already contains.
func (state *state) dropAnswer(e *entry) {
	if e == nil {
		return
	}
	state.keptBytes -= int(e.bodyBytes)
	e.answer, e.bodyBytes = nil, 0
}

func (state *state) restore(restored *restoredChange) {
	record := state.shard(restored.Shard)
	record.epoch = restored.Epoch
	record.covers = restored.Covers
	record.released = restored.Released
	record.takeoverFloor = restored.TakeoverFloor
	record.retentionFloor = restored.RetentionFloor
}

// size returns the length of the body, 0 for a nil answer.
func (answer *Answer) size() int {
	if answer == nil {
		return 0
	}
	return len(answer.Body)
}
