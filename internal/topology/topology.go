// Package topology defines the types that the other packages share: identities,
// locations, revisions, epochs, key ranges, services, back ends and shards. It
// contains no logic beyond formatting and hashing.
package topology

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// RegionName names a region, for example "se-west". Regions may be partitioned
// from each other for minutes.
type RegionName string

// ZoneName names a failure domain inside a region, for example "hall-2".
type ZoneName string

// RackName names a failure domain inside a zone. It may be empty.
type RackName string

// Location is where a process runs. It is part of every identity and of every
// address, so that consensus groups per region, spreading over failure domains
// and preferring near processes can all build on it.
type Location struct {
	Region RegionName
	Zone   ZoneName
	Rack   RackName
}

// String returns "region/zone/rack", without empty trailing parts.
func (location Location) String() string {
	text := string(location.Region)
	if location.Zone != "" {
		text += "/" + string(location.Zone)
	}
	if location.Rack != "" {
		text += "/" + string(location.Rack)
	}
	return text
}

// GroupID identifies one consensus group of controllers. At present there is a
// single group; the messages carry its identity so that each region can have a
// group of its own later (docs/decisions/001-groups-and-regions.md).
type GroupID uint32

// ReplicaID identifies a controller's membership of a group. The group assigns it
// when the replica is added and never reuses it: a controller that lost its disk
// rejoins under a new ReplicaID. Zero is no replica.
type ReplicaID uint64

// Incarnation is a random number chosen when a data folder is created. A
// membership identifies a replica by ReplicaID and Incarnation together.
type Incarnation uint64

// Role says whether a process is a controller, a router or an agent.
type Role uint8

// Roles of a process.
const (
	RoleController Role = iota + 1
	RoleRouter
	RoleAgent
)

// ServiceID identifies a service. It is assigned at creation and never reused.
// Zero is no service.
type ServiceID uint32

// BackendID identifies a back end together with its agent. It is assigned at
// creation and never reused. Zero is no back end.
type BackendID uint32

// ShardNumber identifies a shard within its service. It is assigned when the
// shard is created, with its service or by a split, and never reused.
type ShardNumber uint32

// ShardID identifies a shard.
type ShardID struct {
	Service ServiceID
	Shard   ShardNumber
}

// String returns "service/shard" in decimal.
func (id ShardID) String() string {
	const decimal, longest = 10, len("4294967295/4294967295")
	text := strconv.AppendUint(make([]byte, 0, longest), uint64(id.Service), decimal)
	text = append(text, '/')
	return string(strconv.AppendUint(text, uint64(id.Shard), decimal))
}

// Epoch is the fencing token of a shard: it increases with each new owner and
// never decreases. A back end refuses a grant or a request with an epoch lower
// than the highest it has seen. Zero means that the shard never had an owner.
type Epoch uint64

// Revision is the version of a group's control state, that is, of configuration
// and ownership. It is the index of the log entry that made the last change, and
// never decreases.
type Revision uint64

// KeyHash is the position of a key in a service's hash space.
type KeyHash uint64

// HashKey returns the position of a key: xxhash64, seed 0, over its bytes.
func HashKey(key string) KeyHash { return KeyHash(xxhash.Sum64String(key)) }

// BackendState is the desired state of a back end, set by an operator or by the
// machine list.
type BackendState uint8

// States of a back end in the control state.
const (
	// BackendActive may own shards.
	BackendActive BackendState = iota + 1
	// BackendDraining keeps each of its shards until that shard has moved, and
	// receives no new ones.
	BackendDraining
	// BackendRemoved owns nothing and its lease is not renewed.
	BackendRemoved
)

// ShardPhase is the phase of a shard's ownership. The transitions are in
// internal/ownership/shard.chart.
type ShardPhase uint8

// Phases of a shard.
const (
	// ShardUnassigned has no owner; its requests are refused with the outcome
	// "not-run" and the reason "no-owner".
	ShardUnassigned ShardPhase = iota + 1
	// ShardOwned has one owner, which serves while its lease is valid.
	ShardOwned
	// ShardWarming has an owner that serves and a target that warms up.
	ShardWarming
	// ShardReleasing has an owner that admits no new requests and finishes the
	// running ones; routers hold the shard's requests.
	ShardReleasing
)

// RequestClass distinguishes short lookups from long bulk transfers.
type RequestClass uint8

// Classes of a request.
const (
	ClassLookup RequestClass = iota + 1
	ClassBulk
)
