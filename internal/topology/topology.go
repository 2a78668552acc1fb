// Package topology holds the vocabulary that every other package shares:
// identities, locations, revisions, epochs, key ranges, services, back ends
// and shards. It has no behaviour beyond comparing, hashing and validating.
package topology

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// RegionName names a region, for example "se-west". Regions may lose each
// other for minutes.
type RegionName string

// ZoneName names a failure domain inside a region, for example "hall-2".
type ZoneName string

// RackName names a failure domain inside a zone. It may be empty.
type RackName string

// Location is where a process runs. It is part of every identity and of every
// address, so that groups, spread and nearness need no second design.
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

// GroupID identifies one consensus group of controllers. Today one group
// carries everything; the identity is in every message so that a region can
// have a group of its own (docs/decisions/001-groups-and-regions.md).
type GroupID uint32

// ReplicaID identifies a controller's membership of a group. It is given by
// the group when the replica is added and is never used again: a controller
// that lost its disk comes back under a new ReplicaID. Zero is no replica.
type ReplicaID uint64

// Incarnation is drawn at random when a data folder is made. A membership
// names a replica by ReplicaID and Incarnation together.
type Incarnation uint64

// Role is the part that a process plays.
type Role uint8

// The roles of the product's processes.
const (
	RoleController Role = iota + 1
	RoleRouter
	RoleAgent
)

// ServiceID identifies a service. It is given at creation and never reused.
// Zero is no service.
type ServiceID uint32

// BackendID identifies a back end and the agent beside it. It is given at
// creation and never reused. Zero is no back end.
type BackendID uint32

// ShardNumber identifies a shard within its service; it is given when the
// shard is made (at service creation or by a split) and never reused.
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

// Epoch counts the owners of a shard. It only grows; a back end refuses a
// grant or a request that carries a lower epoch than the highest it has seen.
// Zero means that the shard never had an owner.
type Epoch uint64

// Revision counts the accepted changes of a group's control state, both
// configuration and ownership. It only grows and is the index of the log entry
// that made the change.
type Revision uint64

// KeyHash is the position of a key in a service's hash space.
type KeyHash uint64

// HashKey returns the position of a key: xxhash64, seed 0, over its bytes.
func HashKey(key string) KeyHash { return KeyHash(xxhash.Sum64String(key)) }

// BackendState is an operator's or the machine list's intent for a back end.
type BackendState uint8

// States of a back end in the control state.
const (
	// BackendActive may own shards.
	BackendActive BackendState = iota + 1
	// BackendDraining keeps what it owns until each shard has moved, and is
	// given nothing new.
	BackendDraining
	// BackendRemoved owns nothing and its lease is not renewed.
	BackendRemoved
)

// ShardPhase is where a shard stands between owners. See
// internal/ownership/shard.chart.
type ShardPhase uint8

// Phases of a shard.
const (
	// ShardUnassigned has no owner; requests are answered not run, no owner.
	ShardUnassigned ShardPhase = iota + 1
	// ShardOwned has one owner, which serves while its lease is valid.
	ShardOwned
	// ShardWarming has an owner that serves and a target that prepares.
	ShardWarming
	// ShardReleasing has an owner that admits nothing new and finishes what
	// runs; routers hold the shard's requests.
	ShardReleasing
)

// RequestClass separates short look-ups from long bulk transfers.
type RequestClass uint8

// Classes of a request.
const (
	ClassLookup RequestClass = iota + 1
	ClassBulk
)
