package routing

import (
	"cmp"
	"errors"
	"iter"
	"maps"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Table is the routing data at one revision. It is immutable.
type Table struct {
	group          topology.GroupID
	revision       topology.Revision
	services       map[topology.ServiceID]*Service
	servicesByName map[string]*Service
	backends       map[topology.BackendID]*topology.Backend
	// backendsID is the same pointer in all tables that share the backends map.
	backendsID *backendsIdentity
}

// backendsIdentity is compared by address. It is not of size zero, because
// pointers to distinct zero-size variables may be equal.
type backendsIdentity struct{ _ byte }

// Route is the result of a lookup. Shard and Owner point into the table and
// must not be changed.
type Route struct {
	Shard *topology.Shard
	// Owner is nil where the shard has no owner, or one that the table does
	// not list.
	Owner *topology.Backend
}

// FromSnapshot builds a table from a snapshot. All errors found are joined.
func FromSnapshot(snapshot wire.RoutingSnapshot) (*Table, error) {
	t := &Table{
		group:    snapshot.Group,
		revision: snapshot.Revision,
		services: make(map[topology.ServiceID]*Service, len(snapshot.Services)),
		backends: make(map[topology.BackendID]*topology.Backend, len(snapshot.Backends)),

		backendsID: new(backendsIdentity),
	}
	var errs []error
	for _, routes := range snapshot.Services {
		shards, err := newShardMap(routes.Service.ID, routes.Shards)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		t.services[routes.Service.ID] = &Service{Service: routes.Service, shards: shards}
	}
	for _, backend := range snapshot.Backends {
		t.backends[backend.ID] = &backend
	}
	t.indexBackendsByService()
	errs = append(errs, t.indexServicesByName())
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return t, nil
}

// Revision returns the revision of the control state that the table reflects.
func (t *Table) Revision() topology.Revision { return t.revision }

// Group returns the controller group that the table comes from.
func (t *Table) Group() topology.GroupID { return t.group }

// Lookup returns the shard that covers a position in a service's hash space,
// and its owner. It doesn't allocate. It returns false if the service is not
// known or has no shards.
func (t *Table) Lookup(service topology.ServiceID, position topology.KeyHash) (Route, bool) {
	found, known := t.services[service]
	if !known {
		return Route{}, false
	}
	return t.LookupIn(found, position)
}

// LookupIn is Lookup for a service of this table.
func (t *Table) LookupIn(service *Service, position topology.KeyHash) (Route, bool) {
	rank, found := service.shards.find(position)
	if !found {
		return Route{}, false
	}
	shard := service.shards.shardAt(rank)
	return Route{Shard: shard, Owner: t.backends[shard.Owner]}, true
}

// Shard finds a shard by its ID.
func (t *Table) Shard(id topology.ShardID) (*topology.Shard, bool) {
	service, known := t.services[id.Service]
	if !known {
		return nil, false
	}
	rank, present := service.shards.ranks[id.Shard]
	if !present {
		return nil, false
	}
	return service.shards.shardAt(int(rank)), true
}

// Service finds a service by its ID.
func (t *Table) Service(id topology.ServiceID) (*Service, bool) {
	service, known := t.services[id]
	return service, known
}

// ServiceByName finds a service by its name.
func (t *Table) ServiceByName(name string) (*Service, bool) {
	service, known := t.servicesByName[name]
	return service, known
}

// Services yields the services in no particular order.
func (t *Table) Services() iter.Seq[*Service] { return maps.Values(t.services) }

// Backend finds a back end. The caller must not change it.
func (t *Table) Backend(id topology.BackendID) (*topology.Backend, bool) {
	backend, known := t.backends[id]
	return backend, known
}

// SharesBackends reports whether both tables share one map of back ends, which
// is the case if only deltas without changes of back ends or services lie
// between them. False doesn't mean that the back ends differ.
func (t *Table) SharesBackends(other *Table) bool { return t.backendsID == other.backendsID }

// Backends yields the back ends in no particular order.
func (t *Table) Backends() iter.Seq[*topology.Backend] { return maps.Values(t.backends) }

// indexBackendsByService builds each service's list of back ends, ordered by
// ID.
func (t *Table) indexBackendsByService() {
	for _, service := range t.services {
		service.backends = nil
	}
	for _, backend := range t.backends {
		if service, known := t.services[backend.Service]; known {
			service.backends = append(service.backends, backend)
		}
	}
	for _, service := range t.services {
		slices.SortFunc(service.backends, func(a, b *topology.Backend) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// indexServicesByName builds the index of services by name, and returns an
// error for each name that is empty or taken.
func (t *Table) indexServicesByName() error {
	var errs []error
	t.servicesByName = make(map[string]*Service, len(t.services))
	for _, service := range t.services {
		if service.Name == "" {
			errs = append(errs, &InvalidServiceError{service.ID, service.Name, "has no name"})
		}
		if other, taken := t.servicesByName[service.Name]; taken {
			errs = append(errs, &InvalidServiceError{max(service.ID, other.ID), service.Name, "name is taken"})
		}
		t.servicesByName[service.Name] = service
	}
	return errors.Join(errs...)
}
