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

// Routing returns the routing data of the services named, or of all.
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

// stored is the form in which the state is kept in a snapshot of the log.
type stored struct {
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
	Answers        []answer
}

type storedService struct {
	Service   topology.Service
	Changed   change
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
	Changed   change
	RevokedAt topology.Revision
}

// Encode returns the whole state as bytes, for a snapshot of the log.
func (s *State) Encode() ([]byte, error) { return s.Freeze()() }

// Freeze copies the state and returns what encodes the copy, on any goroutine.
func (s *State) Freeze() func() ([]byte, error) {
	kept := s.stored()
	return func() ([]byte, error) {
		var buffer bytes.Buffer
		if err := gob.NewEncoder(&buffer).Encode(kept); err != nil {
			return nil, fmt.Errorf("encode control state: %w", err)
		}
		return buffer.Bytes(), nil
	}
}

func (s *State) stored() stored {
	kept := stored{
		Revision:       s.revision,
		Configured:     s.configured,
		Author:         s.author,
		LastService:    s.lastService,
		LastBackend:    s.lastBackend,
		LastController: s.lastController,
		LastLoadShift:  s.lastLoadShift,
		LongestLease:   s.longestLease,
		Controllers:    s.Controllers(),
		Shifts:         slices.Clone(s.shifts),
		Answers:        s.answers.oldestFirst(),
	}
	for _, id := range sortedKeys(s.services) {
		kept.Services = append(kept.Services, s.services[id].stored())
	}
	for _, id := range sortedKeys(s.backends) {
		record := s.backends[id]
		kept.Backends = append(kept.Backends, storedBackend{record.Backend, record.changed, record.revokedAt})
	}
	return kept
}

func (s *service) stored() storedService {
	kept := storedService{Service: s.Service, Changed: s.changed, LastShard: s.lastShard}
	kept.Shards = make([]storedShard, len(s.ordered))
	changes := 0
	for _, record := range s.ordered {
		changes += len(record.history)
	}
	// One array for all histories, which change in place.
	histories := make([]ShardChange, 0, changes)
	for index, record := range s.ordered {
		from := len(histories)
		histories = append(histories, record.history...)
		kept.Shards[index] = storedShard{record.Shard, record.changedUnixMilli, histories[from:len(histories):len(histories)]}
	}
	return kept
}

// Decode replaces the state by one that Encode returned. On an error the state
// is unchanged.
func (s *State) Decode(data []byte) error {
	var kept stored
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&kept); err != nil {
		return fmt.Errorf("decode control state of %d bytes: %w", len(data), err)
	}
	s.reset()
	s.revision = kept.Revision
	s.configured = kept.Configured
	s.author = kept.Author
	s.lastService = kept.LastService
	s.lastBackend = kept.LastBackend
	s.lastController = kept.LastController
	s.lastLoadShift = kept.LastLoadShift
	s.longestLease = kept.LongestLease
	s.shifts = kept.Shifts
	for _, controller := range kept.Controllers {
		s.controllers[controller.ID] = controller
	}
	for _, answer := range kept.Answers {
		s.answers.keep(answer)
	}
	s.restoreServices(kept.Services)
	s.restoreBackends(kept.Backends)
	s.restoreOwnership()
	return nil
}

func (s *State) restoreServices(services []storedService) {
	for _, from := range services {
		record := &service{
			Service:   from.Service,
			changed:   from.Changed,
			lastShard: from.LastShard,
			ordered:   make([]*shard, len(from.Shards)),
			byNumber:  make(map[topology.ShardNumber]*shard, len(from.Shards)),
			backends:  make(map[topology.BackendID]struct{}),
		}
		for index, entry := range from.Shards {
			restored := &shard{entry.Shard, entry.ChangedUnixMilli, entry.History}
			record.ordered[index] = restored
			record.byNumber[restored.ID.Shard] = restored
		}
		s.services[record.ID] = record
		s.serviceIDs[record.Name] = record.ID
	}
}

func (s *State) restoreBackends(backends []storedBackend) {
	for _, from := range backends {
		s.backends[from.Backend.ID] = &backend{
			Backend:   from.Backend,
			changed:   from.Changed,
			revokedAt: from.RevokedAt,
			owned:     make(shardSet),
			incoming:  make(shardSet),
		}
		s.services[from.Backend.Service].backends[from.Backend.ID] = struct{}{}
	}
}

// restoreOwnership rebuilds what follows from the shards.
func (s *State) restoreOwnership() {
	for _, record := range s.services {
		for _, restored := range record.ordered {
			s.index(restored)
		}
	}
}

func (s *State) index(restored *shard) {
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
