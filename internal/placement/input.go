package placement

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Input holds everything that a decision depends on.
type Input struct {
	// Now is the current reading of the caller's monotonic clock, to which all
	// other times refer.
	Now      time.Duration
	Services []ServiceInput
	// Backends of all services, in any order.
	Backends []BackendInput
}

// ServiceInput is one service and its shards.
type ServiceInput struct {
	Service topology.Service
	// Shards are ordered by Start.
	Shards []ShardInput
	// RecentLoadMoves is the number of load moves begun within the last minute.
	RecentLoadMoves uint32
	// AnnouncedShifts are load shifts that the operator announced.
	AnnouncedShifts []AnnouncedShift
}

// AnnouncedShift is a load shift that an operator announced: some keys will be
// hot during a period.
type AnnouncedShift struct {
	// From and Until bound the hot period.
	From, Until time.Duration
	// Keys are those that will be hot.
	Keys []topology.KeyHash
	// Load is the load expected on each of Keys, in slots.
	Load float64
}

// ShardInput is one shard and what was observed of it.
type ShardInput struct {
	Shard topology.Shard
	// Load is the load that agents observed, in slots.
	Load float64
	// LoadChangedAt is when Load last deviated from its expected value; zero
	// means never.
	LoadChangedAt time.Duration
	// LastMoved is when the shard last changed owner; zero means never.
	LastMoved time.Duration
	// CreatedAt is when a split or merge created the shard; zero means that it
	// was created along with its service.
	CreatedAt time.Duration
	// HotKeys are the keys with the highest load, in decreasing order; it may be
	// empty.
	HotKeys []HotKey
	// LongRunning is the number of requests that would noticeably delay a
	// handover that began now.
	LongRunning uint32
	// NearZone is the zone that most requests for the shard come from; empty if
	// unknown.
	NearZone topology.ZoneName
}

// HotKey is a key with a large part of its shard's load.
type HotKey struct {
	Key topology.KeyHash
	// Load is in slots.
	Load float64
}

// BackendInput is one back end and what was observed of it.
type BackendInput struct {
	Backend topology.Backend
	// Live says that the back end holds a lease that has not expired.
	Live bool
	// LiveSince is when the back end became live; zero means long ago.
	LiveSince time.Duration
	// LostAt is when the lease expired or was released, if the back end is not
	// live.
	LostAt time.Duration
	// Leaving says that the back end announced a planned stop or restart, at
	// LeavingAt.
	Leaving   bool
	LeavingAt time.Duration
	// ObservedLoad is the load that agents and routers observed, in slots. Zero
	// with no shard load reported counts as unknown.
	ObservedLoad float64
	// ClaimedLoad is the load that the back end's load endpoint reports, in
	// slots. It is only compared with ObservedLoad, never used for placement.
	ClaimedLoad float64
	// FailureShare is the share of requests that failed or timed out at
	// routers, 0 to 1. A back end above maximumFailureShare receives no shards
	// while there are others.
	FailureShare float64
}

// MoveKind classifies moves by their effect and cause.
type MoveKind uint8

// Kinds of moves.
const (
	// KindAssign gives an unassigned shard its owner.
	KindAssign MoveKind = iota + 1
	// KindRecover gives a shard of a lost back end a new owner.
	KindRecover
	// KindDrain hands over a shard of a back end that is leaving.
	KindDrain
	// KindBalance hands over a shard to balance the load.
	KindBalance
	// KindSplit splits a shard at SplitAt; its owner keeps both parts.
	KindSplit
	// KindMerge merges a shard with MergeWith, its right neighbour with the same
	// owner.
	KindMerge
)

var kindNames = [...]string{"", "assign", "recover", "drain", "balance", "split", "merge"}

// String returns the kind in lower case.
func (kind MoveKind) String() string {
	if int(kind) < len(kindNames) {
		return kindNames[kind]
	}
	return "unknown"
}

// Move is one decided change to a shard.
type Move struct {
	Shard topology.ShardID
	// From is the current owner, zero for KindAssign.
	From topology.BackendID
	// To is the new owner; equal to From for KindSplit and KindMerge.
	To   topology.BackendID
	Kind MoveKind
	// SplitAt is the first key hash of the new right part; KindSplit only.
	SplitAt topology.KeyHash
	// MergeWith is the shard that is merged into Shard and ceases to exist;
	// KindMerge only.
	MergeWith topology.ShardNumber
	// Score ranks the move: depending on its kind, it is a measure of the shard's
	// load or the benefit per cost. Only the order of scores matters.
	Score float64
	// Reason is an explanation for the operator.
	Reason string
}

// FindingKind classifies findings.
type FindingKind uint8

// Kinds of findings.
const (
	// FindingUndividable: a single key needs almost all slots of a back end or
	// more. Its excess requests are shed fairly; placement can't help.
	FindingUndividable FindingKind = iota + 1
	// FindingZoneHeadroom: the loss of the largest zone would leave too few slots.
	FindingZoneHeadroom
	// FindingSingleRack: all live back ends are in one rack.
	FindingSingleRack
	// FindingLoadContradicted: the load that a back end claims differs from the
	// observed load. The claim is not used.
	FindingLoadContradicted
	// FindingNoOwner: shards have no owner because no back end is eligible.
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

// Finding is a condition that the operator should know about.
type Finding struct {
	Kind    FindingKind
	Service topology.ServiceID
	// Shard is set for FindingUndividable.
	Shard topology.ShardID
	// Backend is set for FindingLoadContradicted and FindingUndividable.
	Backend topology.BackendID
	Text    string
}

// Decision is the result of Evaluate.
type Decision struct {
	// Moves are in the order in which to begin them.
	Moves    []Move
	Findings []Finding
	// Deferred counts useful moves that are put off only by a limit on concurrent
	// moves or on splits, or until a hot key is split off. Deciding again when a
	// move ends may begin them.
	Deferred int
}
