package controlstate

import (
	"math"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

func (a *applyContext) createService(created topology.Service) {
	s := a.state
	s.lastServiceID++
	created.ID = s.lastServiceID
	record := &service{
		Service:        created,
		lastChange:     a.newChangeInfo(),
		shardsByNumber: make(map[topology.ShardNumber]*shard, created.InitialShards),
		backends:       make(map[topology.BackendID]struct{}),
	}
	s.services[created.ID] = record
	s.serviceIDs[created.Name] = created.ID
	a.delta.Services = append(a.delta.Services, created)
	a.createShards(record)
	a.result.Service = created.ID
}

// createShards divides the hash space of a new service evenly into its initial
// shards.
func (a *applyContext) createShards(record *service) {
	count := uint64(record.InitialShards)
	width := math.MaxUint64/count + 1
	for index := range count {
		record.lastShardNumber++
		created := &shard{Shard: topology.Shard{
			ID:    topology.ShardID{Service: record.ID, Shard: record.lastShardNumber},
			Start: topology.KeyHash(index * width),
			Phase: topology.ShardUnassigned,
		}}
		record.shardsByStart = append(record.shardsByStart, created)
		record.shardsByNumber[created.ID.Shard] = created
		a.state.unassigned[created.ID] = struct{}{}
		a.delta.Shards = append(a.delta.Shards, created.Shard)
	}
}

func (a *applyContext) updateService(updated topology.Service) {
	record := a.state.services[a.state.serviceIDs[updated.Name]]
	updated.ID = record.ID
	record.Service = updated
	record.lastChange = a.newChangeInfo()
	a.delta.Services = append(a.delta.Services, updated)
	a.result.Service = updated.ID
}

func (a *applyContext) deleteService(name string) {
	s := a.state
	record := s.services[s.serviceIDs[name]]
	for _, id := range sortedKeys(record.backends) {
		delete(s.backends, id)
		a.delta.RemovedBackends = append(a.delta.RemovedBackends, id)
	}
	for _, removed := range record.shardsByStart {
		delete(s.unassigned, removed.ID)
		delete(s.moving, removed.ID)
	}
	s.loadShifts = slices.DeleteFunc(s.loadShifts, func(shift LoadShift) bool { return shift.Service == record.ID })
	delete(s.services, record.ID)
	delete(s.serviceIDs, name)
	a.delta.RemovedServices = append(a.delta.RemovedServices, record.ID)
	a.result.Service = record.ID
}

func (a *applyContext) createBackend(create *CreateBackend) {
	s := a.state
	s.lastBackendID++
	created := create.Backend
	created.ID = s.lastBackendID
	created.Service = s.serviceIDs[create.Service]
	created.State = topology.BackendActive
	s.backends[created.ID] = &backend{
		Backend:    created,
		lastChange: a.newChangeInfo(),
		owned:      make(shardSet),
		incoming:   make(shardSet),
	}
	s.services[created.Service].backends[created.ID] = struct{}{}
	a.delta.Backends = append(a.delta.Backends, created)
	a.result.Backend = created.ID
}

func (a *applyContext) updateBackend(update *UpdateBackend) {
	record := a.state.backendByName(BackendName{Service: update.Service, Name: update.Backend.Name})
	updated := update.Backend
	updated.ID = record.ID
	updated.Service = record.Service
	updated.State = record.State
	record.Backend = updated
	a.recordBackendChange(record)
}

func (a *applyContext) setBackendState(set *SetBackendState) {
	record := a.state.backendByName(set.Backend)
	record.State = set.State
	a.recordBackendChange(record)
}

func (a *applyContext) recordBackendChange(record *backend) {
	record.lastChange = a.newChangeInfo()
	a.delta.Backends = append(a.delta.Backends, record.Backend)
	a.result.Backend = record.ID
}

func (a *applyContext) removeBackend(name BackendName) {
	s := a.state
	record := s.backendByName(name)
	delete(s.backends, record.ID)
	delete(s.services[record.Service].backends, record.ID)
	a.delta.RemovedBackends = append(a.delta.RemovedBackends, record.ID)
	a.result.Backend = record.ID
}

func (a *applyContext) markLoadShift(mark *MarkLoadShift) {
	s := a.state
	now := a.command.UnixMilli
	s.loadShifts = slices.DeleteFunc(s.loadShifts, func(shift LoadShift) bool { return shift.EndUnixMilli < now })
	s.lastLoadShiftID++
	s.loadShifts = append(s.loadShifts, LoadShift{
		ID:             s.lastLoadShiftID,
		Service:        s.serviceIDs[mark.Service],
		Keys:           mark.Keys,
		StartUnixMilli: mark.StartUnixMilli,
		EndUnixMilli:   mark.EndUnixMilli,
		ExpectedSlots:  mark.ExpectedSlots,
		Author:         a.command.Author,
	})
	a.result.LoadShift = s.lastLoadShiftID
}

func (a *applyContext) addController(add *AddController) {
	s := a.state
	s.lastControllerID = max(s.lastControllerID+1, add.LowestID)
	added := add.Controller
	added.ID = s.lastControllerID
	s.controllers[added.ID] = added
	a.result.Controller = added.ID
}

func (a *applyContext) announceController(announce *AnnounceController) {
	s := a.state
	announced := announce.Controller
	s.lastControllerID = max(s.lastControllerID, announced.ID)
	s.controllers[announced.ID] = announced
	s.maxLease = max(s.maxLease, announce.LeaseDuration)
}
