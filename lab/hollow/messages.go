package hollow

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/subscription"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// order is what the tool asks of a worker process. Exactly one field is set;
// each is answered by one reply.
type order struct {
	Configure *configureOrder
	Start     *startOrder
	Stop      *namesOrder
	Freeze    *namesOrder
	Thaw      *namesOrder
	Sample    *sampleOrder
	Reached   *reachedOrder
	Watch     *watchOrder
	Watched   *watchedOrder
	Claims    *claimsOrder
	SetHot    *hotOrder
}

// reply answers an order.
type reply struct {
	Error   string
	Sample  *Sample
	Reached *Reached
	Watched *Watched
	Claims  []claim
}

// configureOrder is the first order.
type configureOrder struct {
	Group       topology.GroupID
	Controllers []string
	// OwnTables gives each node a table of its own.
	OwnTables bool
	// LoadEvery is after how many renewals an agent reports load; Requests is
	// what it reports of each shard.
	LoadEvery int
	Requests  uint32
}

// startOrder starts nodes, evenly over Spread.
type startOrder struct {
	Nodes  []NodeSpec
	Spread time.Duration
}

// namesOrder names nodes.
type namesOrder struct{ Names []string }

type sampleOrder struct{}

// Sample is the state of a worker process and the sums over its nodes.
type Sample struct {
	At      time.Time
	Usage   Usage
	Runtime Runtime
	// Processor is the process's own, finer than Usage.Processor.
	Processor time.Duration
	Nodes     int
	// Leased and WithTable count nodes; a node that is not leased is no agent
	// or has no valid lease.
	Leased, WithTable int
	// Owned counts the shards that agents with a lease own.
	Owned int
	// Shards counts those of the newest table. Placement splits and merges
	// them, so they need not be as many as the plan says.
	Shards int
	// Lowest and Highest are the revisions in force.
	Lowest, Highest topology.Revision
	// Reverted counts tables that were older than the one before.
	Reverted uint64
	Sessions subscription.Statistics
	// Packets of the sessions that are open.
	Packets Packets
}

// reachedOrder asks when nodes had a revision in force.
type reachedOrder struct{ Revision topology.Revision }

// Reached holds one time per node that has the revision in force.
type Reached struct {
	Times   []time.Time
	Missing int
}

// watchOrder begins to look for the end of a loss.
type watchOrder struct{ Lost []topology.BackendID }

type watchedOrder struct{}

// Watched says how far the shards of lost back ends have come.
type Watched struct {
	// Before is how many shards had no owner or a lost one at the start.
	Before int
	// First and Done are the revisions at which the first and the last shard
	// had a new owner; zero is not yet.
	First, Done     topology.Revision
	FirstAt, DoneAt time.Time
}

type claimsOrder struct{}

// claim is a shard that an agent would have admitted work for at a time.
type claim struct {
	Shard   topology.ShardID
	Epoch   topology.Epoch
	Backend topology.BackendID
	At      time.Time
}

// hotOrder says which shards run hot.
type hotOrder struct{ Shards []topology.ShardID }
