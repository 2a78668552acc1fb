package wire

import (
	"github.com/quartzdock/quartzdock/internal/requestid"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// RecordTransfer carries a shard's record of non-repeatable request ids from the
// agent of the previous owner to the agent of the next. It is sent before
// Released.
type RecordTransfer struct {
	Shard topology.ShardID
	Epoch topology.Epoch
	// RangeStart and RangeLast bound the positions that the record covers, both
	// included.
	RangeStart topology.KeyHash
	RangeLast  topology.KeyHash
	// CompleteSinceUnixMilli is the time from which the record is complete: a
	// request whose id has this or a later timestamp ran only if it is listed; one
	// with an earlier timestamp may have run without being listed.
	CompleteSinceUnixMilli int64
	// ReleasedUnixMilli is the wall-clock time at which the previous owner gave up
	// the shard. The next owner admitted no request before that.
	ReleasedUnixMilli int64
	Entries           []RecordEntry
	// Last is set on the last part of a transfer that is sent in several.
	Last bool
}

// RecordEntry describes one admitted request id.
type RecordEntry struct {
	ID requestid.ID
	// Fingerprint of the request that first carried the id.
	Fingerprint uint64
	// Answered says that the back end ran the request and sent a complete answer;
	// otherwise the outcome is not known.
	Answered bool
	// Status, Header and Body are those of the stored answer. A zero Status with
	// Answered set means that the answer was too large to store.
	Status int
	Header map[string][]string
	Body   []byte
}

// RecordTransferAck confirms that the receiver has stored all parts, or reports
// an error.
type RecordTransferAck struct {
	Shard topology.ShardID
	Epoch topology.Epoch
	Error string
}

// BetweenAgents is the envelope of messages between agents.
type BetweenAgents struct {
	RecordTransfer    *RecordTransfer
	RecordTransferAck *RecordTransferAck
}
