package controlstate

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// MaximumHistory is how many changes are kept per shard.
const MaximumHistory = 4

// State is the control state of a group. It is not safe for concurrent use: the
// goroutine that applies the log owns it.
type State struct {
	group topology.GroupID
	// revision is that of the last change of any kind, configured that of the
	// last operator's change, by author.
	revision   topology.Revision
	configured topology.Revision
	author     string

	lastService    topology.ServiceID
	lastBackend    topology.BackendID
	lastController topology.ReplicaID
	lastLoadShift  uint32
	// longestLease that any leader of the group announced.
	longestLease time.Duration

	services    map[topology.ServiceID]*service
	serviceIDs  map[string]topology.ServiceID
	backends    map[topology.BackendID]*backend
	controllers map[topology.ReplicaID]Controller
	shifts      []LoadShift
	answers     answers

	// moving holds the shards in ShardWarming or ShardReleasing, unassigned
	// those in ShardUnassigned.
	moving     shardSet
	unassigned shardSet
}

type shardSet map[topology.ShardID]struct{}

// change says when and by whom an object was last configured.
type change struct {
	Revision topology.Revision
	Author   string
}

type service struct {
	topology.Service
	changed   change
	lastShard topology.ShardNumber
	// ordered by Start; byNumber holds the same records.
	ordered  []*shard
	byNumber map[topology.ShardNumber]*shard
	backends map[topology.BackendID]struct{}
}

type shard struct {
	topology.Shard
	changedUnixMilli int64
	history          []ShardChange
}

type backend struct {
	topology.Backend
	changed change
	// revokedAt is the revision at which a shard was last taken from it without
	// its promise.
	revokedAt topology.Revision
	// owned are the shards it owns, incoming those on their way to it.
	owned    shardSet
	incoming shardSet
}

// ShardChange is one step in a shard's history.
type ShardChange struct {
	Revision  topology.Revision
	UnixMilli int64
	Phase     topology.ShardPhase
	Owner     topology.BackendID
	Target    topology.BackendID
	Epoch     topology.Epoch
	Reason    string
}

// LoadShift is a period in which keys are known to run hot.
type LoadShift struct {
	ID             uint32
	Service        topology.ServiceID
	Keys           []topology.KeyHash
	StartUnixMilli int64
	EndUnixMilli   int64
	ExpectedSlots  float64
	Author         string
}

// New returns the empty state of a group.
func New(group topology.GroupID) *State {
	state := &State{group: group}
	state.reset()
	return state
}

func (s *State) reset() {
	*s = State{
		group:       s.group,
		services:    make(map[topology.ServiceID]*service),
		serviceIDs:  make(map[string]topology.ServiceID),
		backends:    make(map[topology.BackendID]*backend),
		controllers: make(map[topology.ReplicaID]Controller),
		answers:     newAnswers(),
		moving:      make(shardSet),
		unassigned:  make(shardSet),
	}
}

// Group returns the group that the state belongs to.
func (s *State) Group() topology.GroupID { return s.group }

// Revision returns the revision of the last change of any kind.
func (s *State) Revision() topology.Revision { return s.revision }

// Configuration returns the revision and author of the last accepted operators'
// change. Changes of ownership do not count.
func (s *State) Configuration() (topology.Revision, string) { return s.configured, s.author }

// LongestLease returns the longest duration for which a leader of the group may
// have granted leases. A new leader waits as long for its predecessors' leases,
// also where its own are shorter.
func (s *State) LongestLease() time.Duration { return s.longestLease }

// ServiceInfo is a service with the last change of its configuration.
type ServiceInfo struct {
	topology.Service
	Revision topology.Revision
	Author   string
}

// Services returns all services in order of identity.
func (s *State) Services() []ServiceInfo {
	result := make([]ServiceInfo, 0, len(s.services))
	for _, id := range sortedKeys(s.services) {
		result = append(result, s.services[id].info())
	}
	return result
}

func (s *service) info() ServiceInfo {
	return ServiceInfo{Service: s.Service, Revision: s.changed.Revision, Author: s.changed.Author}
}

// Service returns the service of that name.
func (s *State) Service(name string) (ServiceInfo, bool) {
	id, ok := s.serviceIDs[name]
	if !ok {
		return ServiceInfo{}, false
	}
	return s.services[id].info(), true
}

// ServiceByID returns the service of that identity.
func (s *State) ServiceByID(id topology.ServiceID) (ServiceInfo, bool) {
	found, ok := s.services[id]
	if !ok {
		return ServiceInfo{}, false
	}
	return found.info(), true
}

// BackendInfo is a back end with the last change of its configuration.
type BackendInfo struct {
	topology.Backend
	Revision topology.Revision
	Author   string
	// RevokedAt is the revision at which a shard was last taken from it without
	// its promise; its lease is not renewed before it has that revision.
	RevokedAt topology.Revision
	// Owned counts the shards that it owns, Incoming those on their way to it.
	Owned, Incoming int
}

func (b *backend) info() BackendInfo {
	return BackendInfo{
		Backend:   b.Backend,
		Revision:  b.changed.Revision,
		Author:    b.changed.Author,
		RevokedAt: b.revokedAt,
		Owned:     len(b.owned),
		Incoming:  len(b.incoming),
	}
}

// Backend returns the back end of that identity.
func (s *State) Backend(id topology.BackendID) (BackendInfo, bool) {
	found, ok := s.backends[id]
	if !ok {
		return BackendInfo{}, false
	}
	return found.info(), true
}

// Backends returns all back ends in order of identity.
func (s *State) Backends() []BackendInfo {
	result := make([]BackendInfo, 0, len(s.backends))
	for _, id := range sortedKeys(s.backends) {
		result = append(result, s.backends[id].info())
	}
	return result
}

// BackendByAddress returns the back end whose agent has that address.
func (s *State) BackendByAddress(address string) (BackendInfo, bool) {
	for _, candidate := range s.backends {
		if candidate.AgentAddress == address {
			return candidate.info(), true
		}
	}
	return BackendInfo{}, false
}

// BackendByName returns the back end of that name in the service of that name.
func (s *State) BackendByName(name BackendName) (BackendInfo, bool) {
	found := s.backendByName(name)
	if found == nil {
		return BackendInfo{}, false
	}
	return found.info(), true
}

func (s *State) backendByName(name BackendName) *backend {
	owner, ok := s.services[s.serviceIDs[name.Service]]
	if !ok {
		return nil
	}
	for id := range owner.backends {
		if s.backends[id].Name == name.Name {
			return s.backends[id]
		}
	}
	return nil
}

// Shards iterates over a service's shards in order of Start.
func (s *State) Shards(id topology.ServiceID) iter.Seq[topology.Shard] {
	return func(yield func(topology.Shard) bool) {
		found, ok := s.services[id]
		if !ok {
			return
		}
		for _, record := range found.ordered {
			if !yield(record.Shard) {
				return
			}
		}
	}
}

// ShardCount returns how many shards a service has.
func (s *State) ShardCount(id topology.ServiceID) int {
	found, ok := s.services[id]
	if !ok {
		return 0
	}
	return len(found.ordered)
}

// Shard returns one shard.
func (s *State) Shard(id topology.ShardID) (topology.Shard, bool) {
	record := s.shard(id)
	if record == nil {
		return topology.Shard{}, false
	}
	return record.Shard, true
}

func (s *State) shard(id topology.ShardID) *shard {
	found, ok := s.services[id.Service]
	if !ok {
		return nil
	}
	return found.byNumber[id.Shard]
}

// EndOf returns the last position of a shard's range.
func (s *State) EndOf(id topology.ShardID) topology.KeyHash {
	record := s.shard(id)
	if record == nil {
		return 0
	}
	owner := s.services[id.Service]
	next := owner.indexOf(record.Start) + 1
	if next == len(owner.ordered) {
		return math.MaxUint64
	}
	return owner.ordered[next].Start - 1
}

// ShardOfKey returns the shard that holds a position of a service's hash space.
func (s *State) ShardOfKey(id topology.ServiceID, position topology.KeyHash) (topology.Shard, bool) {
	found, ok := s.services[id]
	if !ok || len(found.ordered) == 0 {
		return topology.Shard{}, false
	}
	return found.ordered[found.indexOf(position)].Shard, true
}

// indexOf returns the index of the shard that holds a position.
func (s *service) indexOf(position topology.KeyHash) int {
	index, exact := slices.BinarySearchFunc(s.ordered, position, func(record *shard, at topology.KeyHash) int {
		switch {
		case record.Start < at:
			return -1
		case record.Start > at:
			return 1
		}
		return 0
	})
	if exact {
		return index
	}
	return index - 1
}

// History returns the last changes of a shard, oldest first.
func (s *State) History(id topology.ShardID) []ShardChange {
	record := s.shard(id)
	if record == nil {
		return nil
	}
	return slices.Clone(record.history)
}

// OwnedBy returns the shards that a back end owns, in order of identity.
func (s *State) OwnedBy(id topology.BackendID) []topology.ShardID {
	found, ok := s.backends[id]
	if !ok {
		return nil
	}
	return found.owned.sorted()
}

// Moving returns the shards in ShardWarming and ShardReleasing, in order of
// identity.
func (s *State) Moving() []topology.ShardID { return s.moving.sorted() }

// Unassigned returns the shards in ShardUnassigned, in order of identity.
func (s *State) Unassigned() []topology.ShardID { return s.unassigned.sorted() }

// LoadShifts returns the marked load shifts of a service, or of all services
// for zero.
func (s *State) LoadShifts(id topology.ServiceID) []LoadShift {
	var result []LoadShift
	for _, shift := range s.shifts {
		if id == 0 || shift.Service == id {
			result = append(result, shift)
		}
	}
	return result
}

// Controllers returns the known controllers in order of identity.
func (s *State) Controllers() []Controller {
	result := make([]Controller, 0, len(s.controllers))
	for _, id := range sortedKeys(s.controllers) {
		result = append(result, s.controllers[id])
	}
	return result
}

// Controller returns one known controller.
func (s *State) Controller(id topology.ReplicaID) (Controller, bool) {
	found, ok := s.controllers[id]
	return found, ok
}

func (set shardSet) sorted() []topology.ShardID {
	result := slices.Collect(maps.Keys(set))
	slices.SortFunc(result, compareShardIDs)
	return result
}

func compareShardIDs(a, b topology.ShardID) int {
	if a.Service != b.Service {
		return int(a.Service) - int(b.Service)
	}
	return int(a.Shard) - int(b.Shard)
}

func sortedKeys[K ~uint32 | ~uint64, V any](entries map[K]V) []K {
	return slices.Sorted(maps.Keys(entries))
}

// BackendCount returns how many back ends there are.
func (s *State) BackendCount() int { return len(s.backends) }

// ServiceAndShardCount returns how many services and shards there are.
func (s *State) ServiceAndShardCount() (services, shards int) {
	for _, record := range s.services {
		shards += len(record.ordered)
	}
	return len(s.services), shards
}
