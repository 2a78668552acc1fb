package routing

import (
	"errors"
	"maps"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// shardChange is a delta's part for one service.
type shardChange struct {
	changed []topology.Shard
	removed []topology.ShardNumber
}

// Apply returns the table at the delta's revision To; the receiver stays as it
// is and shares with the result what did not change. A *RevisionGapError says
// that the delta starts elsewhere. All findings are joined in the error.
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
	err = errors.Join(err, next.linkNames())
	if err != nil {
		return nil, err
	}
	return &next, nil
}

// applyServices puts fresh copies of created and changed services in place.
func (t *Table) applyServices(delta wire.RoutingDelta) error {
	for _, id := range delta.RemovedServices {
		delete(t.services, id)
	}
	var findings []error
	for _, service := range delta.Services {
		if earlier, known := t.services[service.ID]; known {
			t.services[service.ID] = &Service{service, earlier.shards, earlier.backends}
			continue
		}
		shards, err := newDivision(service.ID, nil)
		findings = append(findings, err)
		t.services[service.ID] = &Service{Service: service, shards: shards}
	}
	return errors.Join(findings...)
}

func (t *Table) applyShards(delta wire.RoutingDelta) error {
	var findings []error
	for id, change := range groupByService(delta) {
		service, known := t.services[id]
		if !known {
			findings = append(findings, unknownService(change)...)
			continue
		}
		shards, err := service.shards.with(id, change.changed, change.removed)
		if err != nil {
			findings = append(findings, err)
			continue
		}
		t.services[id] = &Service{service.Service, shards, service.backends}
	}
	return errors.Join(findings...)
}

func groupByService(delta wire.RoutingDelta) map[topology.ServiceID]*shardChange {
	changes := make(map[topology.ServiceID]*shardChange)
	of := func(id topology.ServiceID) *shardChange {
		if changes[id] == nil {
			changes[id] = new(shardChange)
		}
		return changes[id]
	}
	for _, shard := range delta.Shards {
		change := of(shard.ID.Service)
		change.changed = append(change.changed, shard)
	}
	for _, id := range delta.RemovedShards {
		change := of(id.Service)
		change.removed = append(change.removed, id.Shard)
	}
	return changes
}

// unknownService reports the changed shards of a service that the table does
// not hold. Removed shards of a removed service are in order.
func unknownService(change *shardChange) []error {
	var findings []error
	for _, shard := range change.changed {
		findings = append(findings, &InvalidShardError{shard.ID, "its service is not known"})
	}
	return findings
}

// changesBackends says whether back ends, or the services that list them,
// came, changed or went.
func changesBackends(delta wire.RoutingDelta) bool {
	return len(delta.Backends)+len(delta.RemovedBackends)+len(delta.Services)+len(delta.RemovedServices) > 0
}

// applyBackends replaces the map of back ends and each service's list of them.
func (t *Table) applyBackends(delta wire.RoutingDelta) {
	t.backends = maps.Clone(t.backends)
	t.backendSet = new(backendSet)
	for _, id := range delta.RemovedBackends {
		delete(t.backends, id)
	}
	for _, backend := range delta.Backends {
		t.backends[backend.ID] = &backend
	}
	for id, service := range t.services {
		t.services[id] = &Service{Service: service.Service, shards: service.shards}
	}
	t.linkBackends()
}
