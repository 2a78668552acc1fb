// Package wire defines the messages between controllers, routers and agents.
// They are encoded with gob and sent over internal/transport. Every envelope has
// one field per kind of message, of which exactly one is set: gob omits nil
// fields, so an envelope costs one byte more than its message and no type name
// is sent.
package wire

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Hello opens a session from a router or an agent to a controller. It is the
// first message of a session and is sent exactly once.
type Hello struct {
	Group    topology.GroupID
	Role     topology.Role
	Name     string
	Location topology.Location
	// Boot is a random number chosen at each start of the process.
	Boot uint64
	// Address is where the process accepts requests (an agent: from routers).
	Address string
	// Applied is the last revision that the process has applied; zero asks for a
	// snapshot. It is zero when the process starts: routing data is not kept
	// across a restart (internal/coordinator relies on it).
	Applied topology.Revision
	// Services limits the routing data sent; empty asks for all.
	Services []topology.ServiceID
	// Probe asks the controller to answer with Welcome without opening a session.
	Probe bool
}

// Welcome answers Hello.
type Welcome struct {
	// Backend is the agent's identity; zero for a router or an unknown agent.
	Backend topology.BackendID
	Service topology.ServiceID
	Leader  bool
	// LeaderAddress is where the leader accepts sessions, if known.
	LeaderAddress string
	// LeaseDuration and RenewInterval are those of the group.
	LeaseDuration time.Duration
	RenewInterval time.Duration
	Refusal       string
}

// Renew asks the leader to renew an agent's lease and carries the agent's
// reports. SentAt is a reading of the agent's monotonic clock, which the leader
// returns unchanged.
type Renew struct {
	Sequence uint64
	SentAt   time.Duration
	// Applied is the last revision that the process has applied.
	Applied topology.Revision
	// Release ends the lease at once; the agent has stopped serving.
	Release bool
	// Leaving announces a planned stop or restart.
	Leaving bool
	// LoadOmitted says that Load and Backend are absent from this renewal rather
	// than zero: an agent reports load less often than it renews.
	LoadOmitted bool
	Load        ShardLoads
	Backend     BackendLoad
}

// ShardLoad is the load of a shard that an agent measured since its last report.
type ShardLoad struct {
	Shard topology.ShardNumber
	// Requests completed.
	Requests uint32
	// BusyMicros is the slot time used, in microseconds, including that of
	// requests still running.
	BusyMicros uint32
	// LongRunning counts requests that were already running at the last report. A
	// move that began now would have to wait for them.
	LongRunning uint32
	// Refused counts requests refused because no slot was free and the queue was
	// full. They are part of the offered load.
	Refused uint32
	// HotKeys are the keys with the largest share of Requests, largest first; at
	// most MaxHotKeys. An agent may leave them out of most reports.
	HotKeys []KeyLoad
}

// MaxHotKeys is the maximum length of ShardLoad.HotKeys.
const MaxHotKeys = 4

// KeyLoad is the estimated share of one key in a shard's requests.
type KeyLoad struct {
	Key topology.KeyHash
	// Share is from 0 to 1.
	Share float32
}

// BackendLoad is the load of a back end as a whole, measured by its agent.
type BackendLoad struct {
	Running   uint32
	Queued    uint32
	Failed    uint32
	Completed uint32
	// Claimed is the number of busy slots that the back end's load endpoint
	// reports. It is a hint only.
	Claimed uint32
}

// RenewAck answers Renew. The holder counts the lease's duration from
// Renew.SentAt.
type RenewAck struct {
	Sequence uint64
	SentAt   time.Duration
	// Granted is the duration of the lease; zero if it is refused.
	Granted time.Duration
	// Revision is the newest revision that the controller has committed.
	Revision topology.Revision
}

// Applied reports that a router or an agent has applied a revision.
type Applied struct {
	Revision topology.Revision
}

// Warmed reports that the target's back end is ready for a shard.
type Warmed struct {
	Shard topology.ShardID
	// Epoch of the current owner, which distinguishes repeated moves.
	Epoch topology.Epoch
	Error string
}

// Released reports that the owner has given up a shard and will never again
// serve it at Epoch.
type Released struct {
	Shard topology.ShardID
	Epoch topology.Epoch
	// RecordMoved says that the target has received the record of request ids.
	RecordMoved bool
}

// RouterLoad reports the outcomes of a router's requests, by back end.
type RouterLoad struct {
	Observed []ObservedBackend
}

// ObservedBackend counts the outcomes of requests to one back end since the last
// report.
type ObservedBackend struct {
	Backend   topology.BackendID
	Completed uint32
	Failed    uint32
	TimedOut  uint32
}

// ToController is the envelope of messages from a router or an agent to a
// controller, and from a follower to the leader.
type ToController struct {
	Hello      *Hello
	Renew      *Renew
	Applied    *Applied
	Warmed     *Warmed
	Released   *Released
	RouterLoad *RouterLoad
	Ping       *Ping
	// From a follower to the leader.
	Member      *Member
	Subscribers *SubscriberReport
	Barrier     *Barrier
}

// FromController is the envelope of messages from a controller to a router or an
// agent. A Delta may accompany a RenewAck: one that changes nothing for the
// agent is held until the next RenewAck, which saves a frame.
type FromController struct {
	Welcome  *Welcome
	RenewAck *RenewAck
	// Snapshot replaces all routing data; Delta advances it.
	Snapshot *RoutingSnapshot
	Delta    *RoutingDelta
	// Alive is a heartbeat: it says that the controller still follows a leader and
	// carries the newest committed revision. It is sent when nothing else is.
	Alive *Alive
	// Redirect asks the process to open its session at another controller.
	Redirect *Redirect
	// BarrierAck answers Barrier.
	BarrierAck *BarrierAck
}

// Alive is a controller's heartbeat to a subscriber: the newest committed
// revision and the age of the last contact with a leader.
type Alive struct {
	Revision topology.Revision
	// LeaderContact is how long ago the controller last heard from a leader
	// that had a quorum.
	LeaderContact time.Duration
	// Answers is set if this answers a Ping; PingSentAt is then that Ping's SentAt.
	Answers    bool
	PingSentAt time.Duration
}

// Ping asks a controller for Alive. A router that receives the answer knows that
// its routing data was the newest at SentAt minus LeaderContact, however long
// the answer took. SentAt is a reading of the router's monotonic clock.
type Ping struct{ SentAt time.Duration }

// Redirect names the leader's session address; empty when unknown.
type Redirect struct {
	LeaderAddress string
}

// MaxRoutingStaleness is how long a router uses routing data that it cannot confirm
// to be the newest. It bounds how long a partitioned process may ignore an
// accepted change, and thus the time until the change is known to be in force
// everywhere.
const MaxRoutingStaleness = 2500 * time.Millisecond

// Member identifies a follower and its addresses to the leader.
type Member struct {
	ID             topology.ReplicaID
	Incarnation    topology.Incarnation
	PeerAddress    string
	SessionAddress string
	RPCAddress     string
}

// SubscriberReport forwards to the leader what the subscribers of a follower
// have reported since the previous SubscriberReport.
type SubscriberReport struct {
	// All is set if Subscribers names every subscriber of the controller.
	All bool
	// Listing is how long the controller has tracked its subscribers, that is, the
	// time since its start.
	Listing     time.Duration
	Subscribers []SubscriberState
	Loads       []RouterLoadFrom
}

// SubscriberState is the state of one subscriber as its controller knows it.
type SubscriberState struct {
	Role      topology.Role
	Name      string
	Address   string
	Location  topology.Location
	Applied   topology.Revision
	Connected bool
	// Silent is the time since the last message from the subscriber.
	Silent time.Duration
}

// RouterLoadFrom is a RouterLoad with the name of the router that sent it.
type RouterLoadFrom struct {
	Router string
	Load   RouterLoad
}

// Barrier asks the leader for its newest committed revision. The leader answers
// after a quorum has confirmed its leadership since the request arrived.
type Barrier struct{ Token uint64 }

// BarrierAck answers Barrier.
type BarrierAck struct {
	Token    uint64
	Revision topology.Revision
	// Failed is set if the controller could not confirm its leadership.
	Failed bool
}
