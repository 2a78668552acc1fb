package controlstate

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// Routing returns the routing data of the given services, or of all services if
// none are given.
func (s *State) Routing(services ...topology.ServiceID) wire.RoutingSnapshot {
	snapshot := wire.RoutingSnapshot{Group: s.group, Revision: s.revision}
	for _, id := range sortedKeys(s.services) {
		if len(services) > 0 && !slices.Contains(services, id) {
			continue
		}
		routes := wire.ServiceRoutes{
			Service: s.services[id].Service,
			Shards:  slices.Collect(s.Shards(id)),
		}
		snapshot.Services = append(snapshot.Services, routes)
		for _, member := range sortedKeys(s.services[id].backends) {
			snapshot.Backends = append(snapshot.Backends, s.backends[member].Backend)
		}
	}
	return snapshot
}

// storedState is the encoding of the state in a snapshot of the log.
type storedState struct {
	Revision       topology.Revision
	Configured     topology.Revision
	Author         string
	LastService    topology.ServiceID
	LastBackend    topology.BackendID
	LastController topology.ReplicaID
	LastLoadShift  uint32
	LongestLease   time.Duration
	Services       []storedService
	Backends       []storedBackend
	Controllers    []Controller
	Shifts         []LoadShift
	Answers        []cachedResult
}

type storedService struct {
	Service   topology.Service
	Changed   changeInfo
	LastShard topology.ShardNumber
	Shards    []storedShard
}

type storedShard struct {
	Shard            topology.Shard
	ChangedUnixMilli int64
	History          []ShardChange
}

type storedBackend struct {
	Backend   topology.Backend
	Changed   changeInfo
	RevokedAt topology.Revision
}

// Encode encodes the whole state for a snapshot of the log.
func (s *State) Encode() ([]byte, error) { return s.Freeze()() }

// Freeze copies the state and returns a function that encodes the copy. The
// function may be called on any goroutine.
func (s *State) Freeze() func() ([]byte, error) {
	state := s.toStored()
	return func() ([]byte, error) {
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(state); err != nil {
			return nil, fmt.Errorf("encode control state: %w", err)
		}
		return buffer.Bytes(), nil
	}
}

func (s *State) toStored() storedState {
	state := storedState{
		Revision:       s.revision,
		Configured:     s.configRevision,
		Author:         s.configAuthor,
		LastService:    s.lastServiceID,
		LastBackend:    s.lastBackendID,
		LastController: s.lastControllerID,
		LastLoadShift:  s.lastLoadShiftID,
		LongestLease:   s.maxLease,
		Controllers:    s.Controllers(),
		Shifts:         slices.Clone(s.loadShifts),
		Answers:        s.results.oldestFirst(),
	}
	for _, id := range sortedKeys(s.services) {
		state.Services = append(state.Services, s.services[id].toStored())
	}
	for _, id := range sortedKeys(s.backends) {
		record := s.backends[id]
		state.Backends = append(state.Backends, storedBackend{record.Backend, record.lastChange, record.revokedAt})
	}
	return state
}

func (s *service) toStored() storedService {
	state := storedService{Service: s.Service, Changed: s.lastChange, LastShard: s.lastShardNumber}
	state.Shards = make([]storedShard, len(s.shardsByStart))
	changes := 0
	for _, record := range s.shardsByStart {
		changes += len(record.history)
	}
	// The histories are copied because recordShardChange overwrites them in
	// place. One array holds all of them.
	histories := make([]ShardChange, 0, changes)
	for index, record := range s.shardsByStart {
		from := len(histories)
		histories = append(histories, record.history...)
		state.Shards[index] = storedShard{record.Shard, record.changedUnixMilli, histories[from:len(histories):len(histories)]}
	}
	return state
}

// Decode replaces the state with one that Encode returned. On an error the state
// is unchanged.
func (s *State) Decode(data []byte) error {
	var state storedState
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&state); err != nil {
		return fmt.Errorf("decode control state of %d bytes: %w", len(data), err)
	}
	s.reset()
	s.revision = state.Revision
	s.configRevision = state.Configured
	s.configAuthor = state.Author
	s.lastServiceID = state.LastService
	s.lastBackendID = state.LastBackend
	s.lastControllerID = state.LastController
	s.lastLoadShiftID = state.LastLoadShift
	s.maxLease = state.LongestLease
	s.loadShifts = state.Shifts
	for _, controller := range state.Controllers {
		s.controllers[controller.ID] = controller
	}
	for _, result := range state.Answers {
		s.results.add(result)
	}
	s.restoreServices(state.Services)
	s.restoreBackends(state.Backends)
	s.rebuildIndexes()
	return nil
}

func (s *State) restoreServices(services []storedService) {
	for _, from := range services {
		record := &service{
			Service:         from.Service,
			lastChange:      from.Changed,
			lastShardNumber: from.LastShard,
			shardsByStart:   make([]*shard, len(from.Shards)),
			shardsByNumber:  make(map[topology.ShardNumber]*shard, len(from.Shards)),
			backends:        make(map[topology.BackendID]struct{}),
		}
		for index, entry := range from.Shards {
			restored := &shard{entry.Shard, entry.ChangedUnixMilli, entry.History}
			record.shardsByStart[index] = restored
			record.shardsByNumber[restored.ID.Shard] = restored
		}
		s.services[record.ID] = record
		s.serviceIDs[record.Name] = record.ID
	}
}

func (s *State) restoreBackends(backends []storedBackend) {
	for _, from := range backends {
		s.backends[from.Backend.ID] = &backend{
			Backend:    from.Backend,
			lastChange: from.Changed,
			revokedAt:  from.RevokedAt,
			owned:      make(shardSet),
			incoming:   make(shardSet),
		}
		s.services[from.Backend.Service].backends[from.Backend.ID] = struct{}{}
	}
}

// rebuildIndexes rebuilds the sets that are derived from the shards.
func (s *State) rebuildIndexes() {
	for _, record := range s.services {
		for _, restored := range record.shardsByStart {
			s.indexShard(restored)
		}
	}
}

func (s *State) indexShard(restored *shard) {
	if owner := s.backends[restored.Owner]; owner != nil {
		owner.owned[restored.ID] = struct{}{}
	}
	if target := s.backends[restored.Target]; target != nil {
		target.incoming[restored.ID] = struct{}{}
		s.moving[restored.ID] = struct{}{}
	}
	if restored.Phase == topology.ShardUnassigned {
		s.unassigned[restored.ID] = struct{}{}
	}
}
