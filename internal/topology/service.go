package topology

import "time"

// KeySourceKind says where a rule finds a request's key.
type KeySourceKind uint8

// Kinds of key sources.
const (
	// KeyFromPathSegment uses segment Index of the path, counted from 0
	// after the service's name.
	KeyFromPathSegment KeySourceKind = iota + 1
	// KeyFromQuery uses the first value of query parameter Name.
	KeyFromQuery
	// KeyFromHeader uses the first value of header Name.
	KeyFromHeader
)

// KeySource says where a rule finds a request's key: a path segment, by Index, or
// a query parameter or header, by Name.
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
	// Key says where the key is; its zero value means that these requests are not
	// routed by key.
	Key KeySource
	// Class of the request; zero is ClassLookup.
	Class RequestClass
	// NonRepeatable requests run at most once; a request id is required.
	NonRepeatable bool
	// Timeout limits a request unless the caller sets an earlier deadline. Zero
	// means the router's default.
	Timeout time.Duration
}

// PlacementWeights weigh imbalance, churn and unavailability against each other in
// the placement of a service's shards. Only their ratio matters.
type PlacementWeights struct {
	Imbalance   float64
	Churn       float64
	Unavailable float64
}

// PlacementPolicy limits how a service's shards move.
type PlacementPolicy struct {
	Weights PlacementWeights
	// MinimumResidence is the minimum time between two moves of a shard that
	// balance load.
	MinimumResidence time.Duration
	// MovesPerMinute limits the moves of the service that balance load. Moves for
	// recovery are not limited.
	MovesPerMinute uint32
	// MovesAtOnce limits the concurrent moves per back end.
	MovesAtOnce uint32
	// RestartGrace limits how long the shards of a back end that announced a
	// restart wait for it after its lease has ended. They are then assigned to
	// other back ends.
	RestartGrace time.Duration
}

// Service is a sharded service that an operator defines. Its requests have the
// path prefix "/" + Name + "/".
type Service struct {
	ID            ServiceID
	Name          string
	Rules         []RequestRule
	InitialShards uint32
	Placement     PlacementPolicy
	// DrainLimit is the longest time that a planned stop or a move waits for
	// running requests.
	DrainLimit time.Duration
}

// Backend is one server of a service, together with its agent.
type Backend struct {
	ID       BackendID
	Service  ServiceID
	Name     string
	Location Location
	// AgentAddress is where routers send requests, "IP:port".
	AgentAddress string
	// Slots is the number of requests that the back end runs concurrently.
	Slots uint32
	// Connections is the number of connections that the back end accepts.
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
