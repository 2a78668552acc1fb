package topology

import "time"

// KeySourceKind says where a rule finds a request's key.
type KeySourceKind uint8

// Places where a key is found.
const (
	// KeyFromPathSegment takes segment Index of the path, counted from 0
	// after the service's name.
	KeyFromPathSegment KeySourceKind = iota + 1
	// KeyFromQuery takes the first value of query parameter Name.
	KeyFromQuery
	// KeyFromHeader takes the first value of header Name.
	KeyFromHeader
)

// KeySource says where a rule finds a request's key.
type KeySource struct {
	Kind  KeySourceKind
	Name  string
	Index uint32
}

// RequestRule classifies the requests of a service. The first rule that
// matches applies.
type RequestRule struct {
	// Methods that match; empty matches all.
	Methods []string
	// PathPrefix below the service's own prefix; empty matches all.
	PathPrefix string
	// Key says where the key is; its zero value means that the service does
	// not divide these requests by key.
	Key KeySource
	// Class of the request; zero is ClassLookup.
	Class RequestClass
	// NonRepeatable requests run at most once; a request id is required.
	NonRepeatable bool
	// Timeout is the longest a request may take when the caller states no
	// earlier deadline. Zero is the router's default.
	Timeout time.Duration
}

// PlacementWeights weigh the three measures for one service. Only their
// ratio counts.
type PlacementWeights struct {
	Imbalance   float64
	Churn       float64
	Unavailable float64
}

// PlacementPolicy bounds how a service's shards move.
type PlacementPolicy struct {
	Weights PlacementWeights
	// MinimumResidence is the least time between two load moves of a shard.
	MinimumResidence time.Duration
	// MovesPerMinute bounds load moves, not recovery, of the service.
	MovesPerMinute uint32
	// MovesAtOnce bounds moves in progress per back end.
	MovesAtOnce uint32
	// RestartGrace bounds how long, after the lease of a back end that announced
	// a restart has ended, its shards wait for it to return before they are
	// given to others.
	RestartGrace time.Duration
}

// Service is what an operator creates: a name, rules and a division into
// shards. Requests reach it under the path prefix "/" + Name + "/".
type Service struct {
	ID            ServiceID
	Name          string
	Rules         []RequestRule
	InitialShards uint32
	Placement     PlacementPolicy
	// DrainLimit is the longest that a planned stop or move waits for running
	// requests.
	DrainLimit time.Duration
}

// Backend is one server of a service and the agent beside it.
type Backend struct {
	ID       BackendID
	Service  ServiceID
	Name     string
	Location Location
	// AgentAddress is where routers send requests, "IP:port".
	AgentAddress string
	// Slots is how many requests the back end runs at once.
	Slots uint32
	// Connections is how many connections the back end accepts.
	Connections uint32
	State       BackendState
}

// Shard is a range of a service's hash space with at most one owner.
type Shard struct {
	ID ShardID
	// Start is the first position; the range ends before the next shard's
	// Start, or at the end of the space.
	Start KeyHash
	Phase ShardPhase
	// Owner is zero only in ShardUnassigned.
	Owner BackendID
	// Target is set in ShardWarming and ShardReleasing.
	Target BackendID
	// Epoch of Owner.
	Epoch Epoch
}
