package routing

import (
	"errors"
	"maps"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// shardChange is the part of a delta that concerns the shards of one service.
type shardChange struct {
	changed []topology.Shard
	removed []topology.ShardNumber
}

// Apply returns the table at the delta's revision To. It doesn't modify the
// receiver, which shares all unchanged data with the result. It returns a
// *RevisionGapError if the delta starts at another revision. All errors found
// are joined.
func (t *Table) Apply(delta wire.RoutingDelta) (*Table, error) {
	if delta.Group != t.group {
		return nil, &GroupMismatchError{t.group, delta.Group}
	}
	if delta.From != t.revision || delta.To < delta.From {
		return nil, &RevisionGapError{t.revision, delta.From}
	}
	next := *t
	next.revision = delta.To
	next.services = maps.Clone(t.services)
	err := errors.Join(
		next.applyServices(delta),
		next.applyShards(delta),
	)
	if changesBackends(delta) {
		next.applyBackends(delta)
	}
	err = errors.Join(err, next.indexServicesByName())
	if err != nil {
		return nil, err
	}
	return &next, nil
}

// applyServices removes services, and adds or replaces those that the delta
// lists. A changed service keeps its shards and back ends.
func (t *Table) applyServices(delta wire.RoutingDelta) error {
	for _, id := range delta.RemovedServices {
		delete(t.services, id)
	}
	var errs []error
	for _, service := range delta.Services {
		if earlier, known := t.services[service.ID]; known {
			t.services[service.ID] = &Service{service, earlier.shards, earlier.backends}
			continue
		}
		shards, err := newShardMap(service.ID, nil)
		errs = append(errs, err)
		t.services[service.ID] = &Service{Service: service, shards: shards}
	}
	return errors.Join(errs...)
}

func (t *Table) applyShards(delta wire.RoutingDelta) error {
	var errs []error
	for id, change := range groupByService(delta) {
		service, known := t.services[id]
		if !known {
			errs = append(errs, unknownServiceErrors(change)...)
			continue
		}
		shards, err := service.shards.withChanges(id, change.changed, change.removed)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		t.services[id] = &Service{service.Service, shards, service.backends}
	}
	return errors.Join(errs...)
}

// groupByService sorts the changed and removed shards of a delta by service.
func groupByService(delta wire.RoutingDelta) map[topology.ServiceID]*shardChange {
	changes := make(map[topology.ServiceID]*shardChange)
	changeFor := func(id topology.ServiceID) *shardChange {
		if changes[id] == nil {
			changes[id] = new(shardChange)
		}
		return changes[id]
	}
	for _, shard := range delta.Shards {
		change := changeFor(shard.ID.Service)
		change.changed = append(change.changed, shard)
	}
	for _, id := range delta.RemovedShards {
		change := changeFor(id.Service)
		change.removed = append(change.removed, id.Shard)
	}
	return changes
}

// unknownServiceErrors returns an error for each changed shard of a service
// that the table does not hold. Removed shards are no error: their service may
// have been removed by the same delta.
func unknownServiceErrors(change *shardChange) []error {
	var errs []error
	for _, shard := range change.changed {
		errs = append(errs, &InvalidShardError{shard.ID, "its service is not known"})
	}
	return errs
}

// changesBackends reports whether the delta adds, changes or removes back ends
// or services, which list their back ends.
func changesBackends(delta wire.RoutingDelta) bool {
	return len(delta.Backends)+len(delta.RemovedBackends)+len(delta.Services)+len(delta.RemovedServices) > 0
}

// applyBackends replaces the map of back ends and each service's list of them.
func (t *Table) applyBackends(delta wire.RoutingDelta) {
	t.backends = maps.Clone(t.backends)
	t.backendsID = new(backendsIdentity)
	for _, id := range delta.RemovedBackends {
		delete(t.backends, id)
	}
	for _, backend := range delta.Backends {
		t.backends[backend.ID] = &backend
	}
	for id, service := range t.services {
		t.services[id] = &Service{Service: service.Service, shards: service.shards}
	}
	t.indexBackendsByService()
}
