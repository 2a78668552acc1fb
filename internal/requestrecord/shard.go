package requestrecord

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Decision says what to do with a request that carries an id.
type Decision uint8

// Decisions of Record.Admit.
const (
	// Fresh: the id is admitted now and synced; the request may be sent. It
	// must be ended by Finish, Lose or Abandon.
	Fresh Decision = iota + 1
	// InProgress: the id was admitted and its request has not ended.
	InProgress
	// Answered: the request ran; Verdict.Answer is its answer.
	Answered
	// AnswerGone: the request ran, its answer was not kept.
	AnswerGone
	// OutcomeUnknown: the request may have run.
	OutcomeUnknown
	// RecordLost: whether the id was ever admitted is not known.
	RecordLost
	// Mismatch: the id was admitted with another request.
	Mismatch
)

// Answer is a back end's answer that is kept for repeats of its request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Verdict is the result of Record.Admit.
type Verdict struct {
	Decision Decision
	// Answer is set with Answered only. It must not be changed.
	Answer *Answer
}

// entryState is how far the request of an entry came.
type entryState uint8

const (
	stateRunning entryState = iota + 1
	stateAnswered
	stateUnknown
)

// entry is one admitted id.
type entry struct {
	fingerprint uint64
	// answer is nil when it was not kept.
	answer packedAnswer
	// bodyBytes is the length of the body in answer.
	bodyBytes uint32
	state     entryState
}

// keep sets the answer.
func (kept *entry) keep(answer *Answer) {
	kept.answer = packAnswer(answer)
	kept.bodyBytes = uint32(answer.size())
}

func (kept *entry) verdict(fingerprint uint64) Verdict {
	switch {
	case kept.fingerprint != fingerprint:
		return Verdict{Decision: Mismatch}
	case kept.state == stateRunning:
		return Verdict{Decision: InProgress}
	case kept.state == stateUnknown:
		return Verdict{Decision: OutcomeUnknown}
	case kept.answer == nil:
		return Verdict{Decision: AnswerGone}
	}
	return Verdict{Decision: Answered, Answer: kept.answer.answer()}
}

// Range is the part of the hash space that a shard covers, both ends included.
type Range struct {
	Start, Last topology.KeyHash
}

func (outer Range) contains(inner Range) bool {
	return outer.Start <= inner.Start && inner.Last <= outer.Last
}

// Overlaps reports whether two ranges have a key in common.
func (one Range) Overlaps(other Range) bool {
	return one.Start <= other.Last && other.Start <= one.Last
}

// CoveredBy reports whether every key of the range is in one of the others,
// which do not overlap each other.
func (one Range) CoveredBy(others []Range) bool {
	others = slices.Clone(others)
	slices.SortFunc(others, func(a, b Range) int { return cmp.Compare(a.Start, b.Start) })
	next := one.Start
	for _, other := range others {
		if other.Last < next {
			continue
		}
		if other.Start > next {
			return false
		}
		if other.Last >= one.Last {
			return true
		}
		next = other.Last + 1
	}
	return false
}

// shardRecord is the record of one shard. Its floor is the higher of the two.
type shardRecord struct {
	// epoch under which the record is exact, for ids of keys in covers.
	epoch  topology.Epoch
	covers Range
	// begun is the epoch that this process serves at; zero after a restart
	// until Begin.
	begun topology.Epoch
	// released is the highest epoch that this agent promised not to serve.
	released topology.Epoch
	// takeoverFloor is from the owner's beginning or from a transfer.
	takeoverFloor int64
	// retentionFloor is above the stamp of every entry dropped here.
	retentionFloor int64
	entries        map[requestid.ID]*entry
}

func newShardRecord() *shardRecord {
	return &shardRecord{entries: make(map[requestid.ID]*entry)}
}

func (record *shardRecord) floor() int64 {
	return max(record.takeoverFloor, record.retentionFloor)
}

// serves says that ids may be admitted at the epoch.
func (record *shardRecord) serves(epoch topology.Epoch) bool {
	return record != nil && record.begun == epoch && record.released < epoch
}

// endBefore ends serving at a lower epoch: its range has passed to a shard at
// the epoch, which takes the entries as they are now.
func (record *shardRecord) endBefore(epoch topology.Epoch) {
	if record.begun < epoch {
		record.begun = 0
	}
}

// continues says that the record is still exact for an owner of the range at
// epoch: it is of that epoch or of the one before, and covers the range.
func (record *shardRecord) continues(epoch topology.Epoch, covers Range) bool {
	return record.epoch != 0 && (record.epoch == epoch || record.epoch+1 == epoch) &&
		record.covers.contains(covers)
}

// lookup decides about an id without changing the record.
func (record *shardRecord) lookup(id requestid.ID, fingerprint uint64) Verdict {
	if kept, ok := record.entries[id]; ok {
		return kept.verdict(fingerprint)
	}
	if id.UnixMilli() < record.floor() {
		return Verdict{Decision: RecordLost}
	}
	return Verdict{Decision: Fresh}
}

// endRunning marks what ran when the process stopped as unknown.
func (record *shardRecord) endRunning() {
	for _, kept := range record.entries {
		if kept.state == stateRunning {
			kept.state = stateUnknown
		}
	}
}
