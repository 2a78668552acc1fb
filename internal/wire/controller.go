package wire

import (
	"github.com/quartzdock/quartzdock/internal/topology"
)

// RecordTransfer carries the record of non-repeatable request ids of a shard
// from its old owner's agent to its new owner's agent, before Released.
type RecordTransfer struct {
	Shard topology.ShardID
	Epoch topology.Epoch
	// CompleteSinceUnixMilli: every id with an earlier time stamp may have run
	// without being listed.
	CompleteSinceUnixMilli int64
	Entries                []RecordEntry
	// Last is set on the last part.
	Last bool
}

// RecordEntry is one request id that was admitted.
type RecordEntry struct {
	RequestID string
	// Status and Body of the kept answer; Status zero means that the outcome
	// is not known or the answer was too large to keep.
	Status int
	Body   []byte
	Header map[string][]string
}

// RecordTransferAck confirms that all parts are kept.
type RecordTransferAck struct {
	Shard topology.ShardID
	Epoch topology.Epoch
	Error string
}

// BetweenAgents is what agents send each other.
type BetweenAgents struct {
	RecordTransfer    *RecordTransfer
	RecordTransferAck *RecordTransferAck
}
