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
	group    topology.GroupID
	revision topology.Revision
	services map[topology.ServiceID]*Service
	names    map[string]*Service
	backends map[topology.BackendID]*topology.Backend
	// backendSet is the identity of backends: tables that share the map share it.
	backendSet *backendSet
}

// backendSet is not of size zero, so that each has its own address.
type backendSet struct{ _ byte }

// Route is the answer of a look-up. Shard and Owner point into the table and
// must not be changed.
type Route struct {
	Shard *topology.Shard
	// Owner is nil where the shard has no owner, or one that the table does
	// not list.
	Owner *topology.Backend
}

// FromSnapshot makes a table. All findings are joined in the error.
func FromSnapshot(snapshot wire.RoutingSnapshot) (*Table, error) {
	t := &Table{
		group:    snapshot.Group,
		revision: snapshot.Revision,
		services: make(map[topology.ServiceID]*Service, len(snapshot.Services)),
		backends: make(map[topology.BackendID]*topology.Backend, len(snapshot.Backends)),

		backendSet: new(backendSet),
	}
	var findings []error
	for _, routes := range snapshot.Services {
		shards, err := newDivision(routes.Service.ID, routes.Shards)
		if err != nil {
			findings = append(findings, err)
			continue
		}
		t.services[routes.Service.ID] = &Service{Service: routes.Service, shards: shards}
	}
	for _, backend := range snapshot.Backends {
		t.backends[backend.ID] = &backend
	}
	t.linkBackends()
	findings = append(findings, t.linkNames())
	if err := errors.Join(findings...); err != nil {
		return nil, err
	}
	return t, nil
}

// Revision is the revision of the control state that the table shows.
func (t *Table) Revision() topology.Revision { return t.revision }

// Group is the controllers' group that the table comes from.
func (t *Table) Group() topology.GroupID { return t.group }

// Lookup finds the shard of a position of a service and its owner. It
// allocates nothing. False means that the service is not known or has no
// shards.
func (t *Table) Lookup(service topology.ServiceID, position topology.KeyHash) (Route, bool) {
	found, known := t.services[service]
	if !known {
		return Route{}, false
	}
	return t.LookupIn(found, position)
}

// LookupIn is Lookup for a service of this table.
func (t *Table) LookupIn(service *Service, position topology.KeyHash) (Route, bool) {
	place, found := service.shards.find(position)
	if !found {
		return Route{}, false
	}
	shard := service.shards.shardAt(place)
	return Route{Shard: shard, Owner: t.backends[shard.Owner]}, true
}

// Shard finds a shard by its identity.
func (t *Table) Shard(id topology.ShardID) (*topology.Shard, bool) {
	service, known := t.services[id.Service]
	if !known {
		return nil, false
	}
	place, present := service.shards.places[id.Shard]
	if !present {
		return nil, false
	}
	return service.shards.shardAt(int(place)), true
}

// Service finds a service by its identity.
func (t *Table) Service(id topology.ServiceID) (*Service, bool) {
	service, known := t.services[id]
	return service, known
}

// ServiceByName finds a service by its name.
func (t *Table) ServiceByName(name string) (*Service, bool) {
	service, known := t.names[name]
	return service, known
}

// Services yields the services in no set order.
func (t *Table) Services() iter.Seq[*Service] { return maps.Values(t.services) }

// Backend finds a back end. The caller must not change it.
func (t *Table) Backend(id topology.BackendID) (*topology.Backend, bool) {
	backend, known := t.backends[id]
	return backend, known
}

// SharesBackends says that both tables have the same back ends, none changed,
// because one was made from the other by deltas that left them alone. False
// proves nothing.
func (t *Table) SharesBackends(other *Table) bool { return t.backendSet == other.backendSet }

// Backends yields the back ends in no set order.
func (t *Table) Backends() iter.Seq[*topology.Backend] { return maps.Values(t.backends) }

// linkBackends gives each service the list of its back ends.
func (t *Table) linkBackends() {
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

// linkNames builds the look-up by name.
func (t *Table) linkNames() error {
	var findings []error
	t.names = make(map[string]*Service, len(t.services))
	for _, service := range t.services {
		if service.Name == "" {
			findings = append(findings, &InvalidServiceError{service.ID, service.Name, "has no name"})
		}
		if other, taken := t.names[service.Name]; taken {
			findings = append(findings, &InvalidServiceError{max(service.ID, other.ID), service.Name, "name is taken"})
		}
		t.names[service.Name] = service
	}
	return errors.Join(findings...)
}
