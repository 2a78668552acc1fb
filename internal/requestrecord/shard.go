package requestrecord

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Decision is what to do with a request that carries an id.
type Decision uint8

// Decisions of Admit.
const (
	// Fresh means that this call admitted the id; the request may be sent once
	// the entry is synced. Finish, MarkOutcomeUnknown or Abandon must follow.
	Fresh Decision = iota + 1
	// InProgress means that the id was admitted and its request has not ended.
	InProgress
	// Answered means that the request ran; Verdict.Answer is its answer.
	Answered
	// AnswerNotKept means that the request ran and its answer was not kept.
	AnswerNotKept
	// OutcomeUnknown means that the id was admitted and the request may have run.
	OutcomeUnknown
	// RecordLost means that it is unknown whether the id was ever admitted.
	RecordLost
	// Mismatch means that the id was admitted with another request.
	Mismatch
)

// Answer is a back end's answer that is kept for repeats of its request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Verdict is the result of Admit.
type Verdict struct {
	Decision Decision
	// Answer is set for Answered only. It must not be modified.
	Answer *Answer
}

// entryState is the state of an entry's request.
type entryState uint8

const (
	stateRunning entryState = iota + 1
	stateAnswered
	stateUnknown
)

// entry is one admitted id.
type entry struct {
	fingerprint uint64
	// answer is nil if it was not kept.
	answer packedAnswer
	// bodyBytes is the length of the body in answer.
	bodyBytes uint32
	state     entryState
}

// setAnswer stores an answer and its size.
func (e *entry) setAnswer(answer *Answer) {
	e.answer = packAnswer(answer)
	e.bodyBytes = uint32(answer.size())
}

// verdict returns the decision on a repeat of the entry's id.
func (e *entry) verdict(fingerprint uint64) Verdict {
	switch {
	case e.fingerprint != fingerprint:
		return Verdict{Decision: Mismatch}
	case e.state == stateRunning:
		return Verdict{Decision: InProgress}
	case e.state == stateUnknown:
		return Verdict{Decision: OutcomeUnknown}
	case e.answer == nil:
		return Verdict{Decision: AnswerNotKept}
	}
	return Verdict{Decision: Answered, Answer: e.answer.answer()}
}

// Range is the part of the hash space that a shard covers, both ends included.
type Range struct {
	Start, Last topology.KeyHash
}

func (r Range) contains(inner Range) bool {
	return r.Start <= inner.Start && inner.Last <= r.Last
}

// Overlaps reports whether two ranges have a key in common.
func (r Range) Overlaps(other Range) bool {
	return r.Start <= other.Last && other.Start <= r.Last
}

// CoveredBy reports whether every key of the range is in one of the others, which
// must not overlap.
func (r Range) CoveredBy(others []Range) bool {
	others = slices.Clone(others)
	slices.SortFunc(others, func(a, b Range) int { return cmp.Compare(a.Start, b.Start) })
	next := r.Start
	for _, other := range others {
		if other.Last < next {
			continue
		}
		if other.Start > next {
			return false
		}
		if other.Last >= r.Last {
			return true
		}
		next = other.Last + 1
	}
	return false
}

// shardRecord is the record of one shard. Its floor is the higher of takeoverFloor
// and retentionFloor.
type shardRecord struct {
	// epoch is the epoch for which the record is exact, for ids of keys in covers.
	epoch  topology.Epoch
	covers Range
	// servingEpoch is the epoch at which this process serves; zero from a
	// restart until Begin.
	servingEpoch topology.Epoch
	// released is the highest epoch that this agent promised not to serve again.
	released topology.Epoch
	// takeoverFloor was set when this agent began to serve, or by a transfer.
	takeoverFloor int64
	// retentionFloor is above the stamps of all entries that retention dropped.
	retentionFloor int64
	entries        map[requestid.ID]*entry
}

func newShardRecord() *shardRecord {
	return &shardRecord{entries: make(map[requestid.ID]*entry)}
}

func (record *shardRecord) floor() int64 {
	return max(record.takeoverFloor, record.retentionFloor)
}

// serves reports whether ids may be admitted at the epoch.
func (record *shardRecord) serves(epoch topology.Epoch) bool {
	return record != nil && record.servingEpoch == epoch && record.released < epoch
}

// stopServingBefore stops serving at an epoch below the given one: the range has
// passed to a shard at that epoch, which copies the entries as they are now.
func (record *shardRecord) stopServingBefore(epoch topology.Epoch) {
	if record.servingEpoch < epoch {
		record.servingEpoch = 0
	}
}

// isExactFor reports whether the record is exact for an owner of the range at the
// epoch: it is of that epoch or the one before, and covers the range.
func (record *shardRecord) isExactFor(epoch topology.Epoch, covers Range) bool {
	return record.epoch != 0 && (record.epoch == epoch || record.epoch+1 == epoch) &&
		record.covers.contains(covers)
}

// lookup returns the decision on an id without changing the record.
func (record *shardRecord) lookup(id requestid.ID, fingerprint uint64) Verdict {
	if e, ok := record.entries[id]; ok {
		return e.verdict(fingerprint)
	}
	if id.UnixMilli() < record.floor() {
		return Verdict{Decision: RecordLost}
	}
	return Verdict{Decision: Fresh}
}

// markRunningUnknown sets the outcome of requests that ran when the process
// stopped to unknown.
func (record *shardRecord) markRunningUnknown() {
	for _, e := range record.entries {
		if e.state == stateRunning {
			e.state = stateUnknown
		}
	}
}
