package controlstate

import (
	"math"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

func (a *application) createService(created topology.Service) {
	s := a.state
	s.lastService++
	created.ID = s.lastService
	record := &service{
		Service:  created,
		changed:  a.stamp(),
		byNumber: make(map[topology.ShardNumber]*shard, created.InitialShards),
		backends: make(map[topology.BackendID]struct{}),
	}
	s.services[created.ID] = record
	s.serviceIDs[created.Name] = created.ID
	a.delta.Services = append(a.delta.Services, created)
	a.divideEvenly(record)
	a.result.Service = created.ID
}

// divideEvenly gives a new service its shards.
func (a *application) divideEvenly(record *service) {
	count := uint64(record.InitialShards)
	width := math.MaxUint64/count + 1
	for index := range count {
		record.lastShard++
		made := &shard{Shard: topology.Shard{
			ID:    topology.ShardID{Service: record.ID, Shard: record.lastShard},
			Start: topology.KeyHash(index * width),
			Phase: topology.ShardUnassigned,
		}}
		record.ordered = append(record.ordered, made)
		record.byNumber[made.ID.Shard] = made
		a.state.unassigned[made.ID] = struct{}{}
		a.delta.Shards = append(a.delta.Shards, made.Shard)
	}
}

func (a *application) updateService(updated topology.Service) {
	record := a.state.services[a.state.serviceIDs[updated.Name]]
	updated.ID = record.ID
	record.Service = updated
	record.changed = a.stamp()
	a.delta.Services = append(a.delta.Services, updated)
	a.result.Service = updated.ID
}

func (a *application) deleteService(name string) {
	s := a.state
	record := s.services[s.serviceIDs[name]]
	for _, id := range sortedKeys(record.backends) {
		delete(s.backends, id)
		a.delta.RemovedBackends = append(a.delta.RemovedBackends, id)
	}
	for _, gone := range record.ordered {
		delete(s.unassigned, gone.ID)
		delete(s.moving, gone.ID)
	}
	s.shifts = slices.DeleteFunc(s.shifts, func(shift LoadShift) bool { return shift.Service == record.ID })
	delete(s.services, record.ID)
	delete(s.serviceIDs, name)
	a.delta.RemovedServices = append(a.delta.RemovedServices, record.ID)
	a.result.Service = record.ID
}

func (a *application) createBackend(create *CreateBackend) {
	s := a.state
	s.lastBackend++
	created := create.Backend
	created.ID = s.lastBackend
	created.Service = s.serviceIDs[create.Service]
	created.State = topology.BackendActive
	s.backends[created.ID] = &backend{
		Backend:  created,
		changed:  a.stamp(),
		owned:    make(shardSet),
		incoming: make(shardSet),
	}
	s.services[created.Service].backends[created.ID] = struct{}{}
	a.delta.Backends = append(a.delta.Backends, created)
	a.result.Backend = created.ID
}

func (a *application) updateBackend(update *UpdateBackend) {
	record := a.state.backendByName(BackendName{Service: update.Service, Name: update.Backend.Name})
	updated := update.Backend
	updated.ID = record.ID
	updated.Service = record.Service
	updated.State = record.State
	record.Backend = updated
	a.backendChanged(record)
}

func (a *application) setBackendState(set *SetBackendState) {
	record := a.state.backendByName(set.Backend)
	record.State = set.State
	a.backendChanged(record)
}

func (a *application) backendChanged(record *backend) {
	record.changed = a.stamp()
	a.delta.Backends = append(a.delta.Backends, record.Backend)
	a.result.Backend = record.ID
}

func (a *application) removeBackend(name BackendName) {
	s := a.state
	record := s.backendByName(name)
	delete(s.backends, record.ID)
	delete(s.services[record.Service].backends, record.ID)
	a.delta.RemovedBackends = append(a.delta.RemovedBackends, record.ID)
	a.result.Backend = record.ID
}

func (a *application) markLoadShift(mark *MarkLoadShift) {
	s := a.state
	now := a.command.UnixMilli
	s.shifts = slices.DeleteFunc(s.shifts, func(shift LoadShift) bool { return shift.EndUnixMilli < now })
	s.lastLoadShift++
	s.shifts = append(s.shifts, LoadShift{
		ID:             s.lastLoadShift,
		Service:        s.serviceIDs[mark.Service],
		Keys:           mark.Keys,
		StartUnixMilli: mark.StartUnixMilli,
		EndUnixMilli:   mark.EndUnixMilli,
		ExpectedSlots:  mark.ExpectedSlots,
		Author:         a.command.Author,
	})
	a.result.LoadShift = s.lastLoadShift
}

func (a *application) addController(add *AddController) {
	s := a.state
	s.lastController = max(s.lastController+1, add.LowestID)
	added := add.Controller
	added.ID = s.lastController
	s.controllers[added.ID] = added
	a.result.Controller = added.ID
}

func (a *application) announceController(announce *AnnounceController) {
	s := a.state
	announced := announce.Controller
	s.lastController = max(s.lastController, announced.ID)
	s.controllers[announced.ID] = announced
	s.longestLease = max(s.longestLease, announce.LeaseDuration)
}
