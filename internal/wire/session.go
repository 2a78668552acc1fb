// Package wire holds the messages between the product's own processes. They
// travel as gob over internal/transport. Every envelope has one field per kind
// of message, of which exactly one is set: gob leaves out nil fields, so an
// envelope costs one byte more than its message and no type name travels.
package wire

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Hello opens a session from a router or an agent to a controller. Exactly
// one is sent, first.
type Hello struct {
	Group    topology.GroupID
	Role     topology.Role
	Name     string
	Location topology.Location
	// Boot is drawn at random at each start of the process.
	Boot uint64
	// Address is where the process takes requests (agent: from routers).
	Address string
	// Applied is the last revision the process has in force; zero asks for a
	// snapshot. It is zero at the start of a process: routing data is not kept
	// over a restart (internal/coordinator relies on it).
	Applied topology.Revision
	// Services limits the routing data sent; empty asks for all.
	Services []topology.ServiceID
	// Probe asks for no session; the controller only answers Welcome.
	Probe bool
}

// Welcome answers Hello.
type Welcome struct {
	// Backend is the agent's identity; zero for a router or an unknown agent.
	Backend topology.BackendID
	Service topology.ServiceID
	Leader  bool
	// LeaderAddress is where the leader takes sessions, if known.
	LeaderAddress string
	// LeaseDuration, RenewInterval as the group uses them.
	LeaseDuration time.Duration
	RenewInterval time.Duration
	Refusal       string
}

// Renew asks the leader to renew an agent's lease and reports. SentAt is the
// agent's own monotonic clock and is returned unread.
type Renew struct {
	Sequence uint64
	SentAt   time.Duration
	// Applied is the last revision that the process has in force.
	Applied topology.Revision
	// Release ends the lease at once; the agent serves nothing any more.
	Release bool
	// Leaving announces a planned stop or restart.
	Leaving bool
	// LoadOmitted says that Load and Backend are left out of this renewal, not
	// zero: an agent reports load less often than it renews.
	LoadOmitted bool
	Load        ShardLoads
	Backend     BackendLoad
}

// ShardLoad is what an agent itself observed of a shard since its last report.
type ShardLoad struct {
	Shard topology.ShardNumber
	// Requests completed.
	Requests uint32
	// BusyMicros is slot time used, including by requests still running.
	BusyMicros uint32
	// LongRunning requests have been running since before the last report. A
	// move that began now would have to wait for them.
	LongRunning uint32
	// Refused requests for want of a slot or room in the queue. They are part
	// of the load that callers offer.
	Refused uint32
	// HotKeys are the keys with the largest part of Requests, largest first;
	// at most MaximumHotKeys. An agent may leave them out of most reports.
	HotKeys []KeyLoad
}

// MaximumHotKeys bounds ShardLoad.HotKeys.
const MaximumHotKeys = 4

// KeyLoad is the estimated share of a shard's requests that one key has.
type KeyLoad struct {
	Key topology.KeyHash
	// Share is from 0 to 1.
	Share float32
}

// BackendLoad is what an agent observed of its back end as a whole.
type BackendLoad struct {
	Running   uint32
	Queued    uint32
	Failed    uint32
	Completed uint32
	// Claimed is the load endpoint's own word, a hint only: busy slots.
	Claimed uint32
}

// RenewAck answers Renew. The holder counts the lease from Renew.SentAt.
type RenewAck struct {
	Sequence uint64
	SentAt   time.Duration
	// Granted is zero where the lease is refused.
	Granted time.Duration
	// Revision is the newest revision that the controller has committed.
	Revision topology.Revision
}

// Applied confirms a revision, from routers and agents.
type Applied struct {
	Revision topology.Revision
}

// Warmed reports that the target's back end is ready for a shard.
type Warmed struct {
	Shard topology.ShardID
	// Epoch of the present owner, which tells apart repeated moves.
	Epoch topology.Epoch
	Error string
}

// Released is the owner's promise never again to serve a shard at Epoch.
type Released struct {
	Shard topology.ShardID
	Epoch topology.Epoch
	// RecordMoved says that the record of request ids reached the target.
	RecordMoved bool
}

// RouterLoad is what a router saw of the back ends it sent requests to.
type RouterLoad struct {
	Observed []ObservedBackend
}

// ObservedBackend counts outcomes since the last report.
type ObservedBackend struct {
	Backend   topology.BackendID
	Completed uint32
	Failed    uint32
	TimedOut  uint32
}

// ToController is what a router or an agent sends to a controller.
type ToController struct {
	Hello      *Hello
	Renew      *Renew
	Applied    *Applied
	Warmed     *Warmed
	Released   *Released
	RouterLoad *RouterLoad
	Ping       *Ping
	// From a controller that follows, to the leader.
	Member      *Member
	Subscribers *SubscriberReport
	Barrier     *Barrier
}

// FromController is what a controller sends to a router or an agent. A Delta
// may stand beside a RenewAck: one that changes nothing for the agent waits for
// it, and then costs no frame.
type FromController struct {
	Welcome  *Welcome
	RenewAck *RenewAck
	// Snapshot replaces all routing data; Delta advances it.
	Snapshot *RoutingSnapshot
	Delta    *RoutingDelta
	// Alive says that the controller still follows a leader and names its
	// newest committed revision; sent when nothing else is.
	Alive *Alive
	// Redirect asks the process to open its session elsewhere.
	Redirect *Redirect
	// BarrierAck answers Barrier.
	BarrierAck *BarrierAck
}

// Alive keeps a subscriber informed of the newest revision.
type Alive struct {
	Revision topology.Revision
	// LeaderContact is how long ago the controller last heard from a leader
	// that had a quorum.
	LeaderContact time.Duration
	// Answers is set where this answers a Ping, PingSentAt being its SentAt.
	Answers    bool
	PingSentAt time.Duration
}

// Ping asks a controller for Alive. A router that gets the answer knows that
// its routing data were the newest at SentAt less LeaderContact, however long
// the answer took. SentAt is the router's own monotonic clock.
type Ping struct{ SentAt time.Duration }

// Redirect names the leader's session address; empty when unknown.
type Redirect struct {
	LeaderAddress string
}

// StopRelyingAfter is how long a router serves by routing data without a proof
// that they are the newest. It bounds how long an accepted change may be
// ignored by a process that is cut off, and with it the time until the change
// is known to be in force everywhere.
const StopRelyingAfter = 2500 * time.Millisecond

// Member is what a controller that follows says of itself to the leader.
type Member struct {
	ID             topology.ReplicaID
	Incarnation    topology.Incarnation
	PeerAddress    string
	SessionAddress string
	RPCAddress     string
}

// SubscriberReport passes on to the leader what the subscribers of a controller
// that follows have reported since the last one.
type SubscriberReport struct {
	// All is set where Subscribers names every subscriber of the controller.
	All bool
	// Listing is for how long the controller has listed its subscribers: since
	// its start.
	Listing     time.Duration
	Subscribers []SubscriberState
	Loads       []RouterLoadFrom
}

// SubscriberState is what a controller knows of one subscriber.
type SubscriberState struct {
	Role      topology.Role
	Name      string
	Address   string
	Location  topology.Location
	Applied   topology.Revision
	Connected bool
	// Silent is how long ago it was last heard.
	Silent time.Duration
}

// RouterLoadFrom is a RouterLoad with the name of the router that sent it.
type RouterLoadFrom struct {
	Router string
	Load   RouterLoad
}

// Barrier asks the leader for its newest committed revision, confirmed by a
// quorum after the question came.
type Barrier struct{ Token uint64 }

// BarrierAck answers Barrier.
type BarrierAck struct {
	Token    uint64
	Revision topology.Revision
	// Failed is set where the controller could not confirm its leadership.
	Failed bool
}
