package placement

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Input is everything a decision depends on.
type Input struct {
	// Now is the caller's monotonic clock; all other times are readings of it.
	Now      time.Duration
	Services []ServiceInput
	// Backends of all services, in any order.
	Backends []BackendInput
}

// ServiceInput is one service and its shards.
type ServiceInput struct {
	Service topology.Service
	// Shards ordered by Start.
	Shards []ShardInput
	// RecentLoadMoves counts the load moves begun within the last minute.
	RecentLoadMoves uint32
	// Marks are shifts of load that the operator announced.
	Marks []Mark
}

// Mark announces that keys will be hot for a while.
type Mark struct {
	// From and Until bound the hot period.
	From, Until time.Duration
	// Keys that will be hot.
	Keys []topology.KeyHash
	// Load is the load expected on each of Keys, in slots.
	Load float64
}

// ShardInput is one shard and what was observed of it.
type ShardInput struct {
	Shard topology.Shard
	// Load in slots, as agents observed it.
	Load float64
	// LoadChangedAt is when Load last left what was expected of it; zero is
	// never.
	LoadChangedAt time.Duration
	// LastMoved is when the shard last changed owner; zero is never.
	LastMoved time.Duration
	// CreatedAt is when a split or merge made the shard; zero is at first
	// set-up.
	CreatedAt time.Duration
	// HotKeys are the hottest keys, hottest first; may be empty.
	HotKeys []HotKey
	// LongRunning counts requests for which a hand-over that began now would
	// have to wait noticeably.
	LongRunning uint32
	// NearZone is where most requests for the shard come from; empty where
	// unknown.
	NearZone topology.ZoneName
}

// HotKey is a key that carries a notable part of its shard's load.
type HotKey struct {
	Key topology.KeyHash
	// Load in slots.
	Load float64
}

// BackendInput is one back end and what is known of it.
type BackendInput struct {
	Backend topology.Backend
	// Live says that the back end's lease has not expired.
	Live bool
	// LiveSince is when it got its present lease; zero is long ago.
	LiveSince time.Duration
	// LostAt is when the lease expired or was given back, where not Live.
	LostAt time.Duration
	// Leaving says that the back end announced a planned stop or restart, at
	// LeavingAt.
	Leaving   bool
	LeavingAt time.Duration
	// ObservedLoad is the load that agents and routers saw, in slots. Zero
	// with no shard load reported counts as unknown.
	ObservedLoad float64
	// ClaimedLoad is the load endpoint's own word, in slots. It is compared,
	// never used.
	ClaimedLoad float64
	// FailureShare is the share of requests that failed or timed out at
	// routers, 0 to 1. A back end above maximumFailureShare is given nothing
	// new.
	FailureShare float64
}

// Kind says what a move does and why.
type Kind uint8

// Kinds of move.
const (
	// KindAssign gives an unassigned shard its owner.
	KindAssign Kind = iota + 1
	// KindRecover gives a shard of a lost back end a new owner.
	KindRecover
	// KindDrain hands over a shard of a back end that leaves.
	KindDrain
	// KindBalance hands over a shard to even out load.
	KindBalance
	// KindSplit divides a shard at SplitAt; the owner stays.
	KindSplit
	// KindMerge joins a shard with MergeWith, its right neighbour of the same
	// owner.
	KindMerge
)

var kindNames = [...]string{"", "assign", "recover", "drain", "balance", "split", "merge"}

// String returns the kind in lower case.
func (kind Kind) String() string {
	if int(kind) < len(kindNames) {
		return kindNames[kind]
	}
	return "unknown"
}

// Move is one decided change.
type Move struct {
	Shard topology.ShardID
	// From is the present owner, zero for KindAssign.
	From topology.BackendID
	// To is the new owner; equal to From for KindSplit and KindMerge.
	To   topology.BackendID
	Kind Kind
	// SplitAt is the first position of the new right part; KindSplit only.
	SplitAt topology.KeyHash
	// MergeWith is the shard that ends; KindMerge only.
	MergeWith topology.ShardNumber
	// Score is benefit per cost; only its order counts.
	Score float64
	// Reason in words, for the operator.
	Reason string
}

// FindingKind classifies what the operator must know.
type FindingKind uint8

// Kinds of finding.
const (
	// FindingUndividable: one key alone needs more than a whole back end.
	// Its requests are shed fairly; no placement helps.
	FindingUndividable FindingKind = iota + 1
	// FindingZoneHeadroom: the loss of the largest zone leaves too few slots.
	FindingZoneHeadroom
	// FindingSingleRack: all live back ends stand in one rack.
	FindingSingleRack
	// FindingLoadContradicted: a back end's claim differs from what was
	// observed; the claim is not used.
	FindingLoadContradicted
	// FindingNoOwner: shards wait because no back end can take them.
	FindingNoOwner
)

var findingNames = [...]string{"", "undividable", "zone-headroom", "single-rack", "load-contradicted", "no-owner"}

// String returns the kind in lower case.
func (kind FindingKind) String() string {
	if int(kind) < len(findingNames) {
		return findingNames[kind]
	}
	return "unknown"
}

// Finding is reported to the operator beside the moves.
type Finding struct {
	Kind    FindingKind
	Service topology.ServiceID
	// Shard is set for FindingUndividable.
	Shard topology.ShardID
	// Backend is set for FindingLoadContradicted and FindingUndividable.
	Backend topology.BackendID
	Text    string
}

// Decision is the outcome of Evaluate.
type Decision struct {
	// Moves in the order in which to begin them.
	Moves    []Move
	Findings []Finding
	// Waiting counts moves that are wanted and wait only for the limit on moves
	// at once; it is worth while to decide again when a move ends.
	Waiting int
}
