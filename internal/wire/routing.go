package wire

import "github.com/quartzdock/quartzdock/internal/topology"

// RoutingSnapshot is the complete routing data of the requested services.
type RoutingSnapshot struct {
	Group    topology.GroupID
	Revision topology.Revision
	Services []ServiceRoutes
	Backends []topology.Backend
}

// ServiceRoutes is a service and its shards ordered by Start.
type ServiceRoutes struct {
	Service topology.Service
	Shards  Shards
}

// RoutingDelta advances a process from revision From to revision To. Applying it
// to any revision other than From is an error; the process then opens a new
// session with Hello.
type RoutingDelta struct {
	Group topology.GroupID
	From  topology.Revision
	To    topology.Revision
	// Services created or changed (not their shards).
	Services        []topology.Service
	RemovedServices []topology.ServiceID
	Backends        []topology.Backend
	RemovedBackends []topology.BackendID
	// Shards created or changed. RemovedShards were merged into others.
	Shards        Shards
	RemovedShards []topology.ShardID
}

// IsEmpty reports whether the delta changes nothing but the revision.
func (delta *RoutingDelta) IsEmpty() bool {
	objects := len(delta.Services) + len(delta.Backends) + len(delta.Shards)
	removed := len(delta.RemovedServices) + len(delta.RemovedBackends) + len(delta.RemovedShards)
	return objects+removed == 0
}
