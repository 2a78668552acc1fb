package controlstate

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// MaximumHistory is the number of changes kept per shard.
const MaximumHistory = 4

// State is the control state of a group. It is not safe for concurrent use: the
// goroutine that applies the log owns it.
type State struct {
	group topology.GroupID
	// revision is that of the last change of any kind. configRevision is that of
	// the last accepted operator command except MarkLoadShift, and configAuthor
	// is its author.
	revision       topology.Revision
	configRevision topology.Revision
	configAuthor   string

	lastServiceID    topology.ServiceID
	lastBackendID    topology.BackendID
	lastControllerID topology.ReplicaID
	lastLoadShiftID  uint32
	// maxLease is the longest lease duration announced by any controller of
	// the group.
	maxLease time.Duration

	services    map[topology.ServiceID]*service
	serviceIDs  map[string]topology.ServiceID
	backends    map[topology.BackendID]*backend
	controllers map[topology.ReplicaID]Controller
	loadShifts  []LoadShift
	results     resultCache

	// moving holds the shards in ShardWarming or ShardReleasing, unassigned
	// those in ShardUnassigned.
	moving     shardSet
	unassigned shardSet
}

type shardSet map[topology.ShardID]struct{}

// changeInfo is the revision and the author of a change.
type changeInfo struct {
	Revision topology.Revision
	Author   string
}

type service struct {
	topology.Service
	lastChange      changeInfo
	lastShardNumber topology.ShardNumber
	// shardsByStart is sorted by Start. shardsByNumber holds the same records.
	shardsByStart  []*shard
	shardsByNumber map[topology.ShardNumber]*shard
	backends       map[topology.BackendID]struct{}
}

type shard struct {
	topology.Shard
	changedUnixMilli int64
	history          []ShardChange
}

type backend struct {
	topology.Backend
	lastChange changeInfo
	// revokedAt is the revision at which a shard was last reassigned before this
	// back end had confirmed its release.
	revokedAt topology.Revision
	// owned holds the shards that it owns, incoming those being moved to it.
	owned    shardSet
	incoming shardSet
}

// ShardChange is one entry in a shard's history.
type ShardChange struct {
	Revision  topology.Revision
	UnixMilli int64
	Phase     topology.ShardPhase
	Owner     topology.BackendID
	Target    topology.BackendID
	Epoch     topology.Epoch
	Reason    string
}

// LoadShift is a period in which some keys are expected to be hot.
type LoadShift struct {
	ID             uint32
	Service        topology.ServiceID
	Keys           []topology.KeyHash
	StartUnixMilli int64
	EndUnixMilli   int64
	ExpectedSlots  float64
	Author         string
}

// New returns an empty state for a group.
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
		results:     newResultCache(),
		moving:      make(shardSet),
		unassigned:  make(shardSet),
	}
}

// Group returns the group that the state belongs to.
func (s *State) Group() topology.GroupID { return s.group }

// Revision returns the revision of the last change of any kind.
func (s *State) Revision() topology.Revision { return s.revision }

// Configuration returns the revision and the author of the last accepted change
// of the configuration. Ownership changes and load shifts do not count.
func (s *State) Configuration() (topology.Revision, string) { return s.configRevision, s.configAuthor }

// MaxLease returns the longest duration for which a leader of the group may
// have granted leases. A new leader waits this long until its predecessors'
// leases have expired, even if its own leases are shorter.
func (s *State) MaxLease() time.Duration { return s.maxLease }

// ServiceInfo is a service with the last change of its configuration.
type ServiceInfo struct {
	topology.Service
	Revision topology.Revision
	Author   string
}

// Services returns all services, sorted by ID.
func (s *State) Services() []ServiceInfo {
	result := make([]ServiceInfo, 0, len(s.services))
	for _, id := range sortedKeys(s.services) {
		result = append(result, s.services[id].info())
	}
	return result
}

func (s *service) info() ServiceInfo {
	return ServiceInfo{Service: s.Service, Revision: s.lastChange.Revision, Author: s.lastChange.Author}
}

// Service returns the service with the given name.
func (s *State) Service(name string) (ServiceInfo, bool) {
	id, ok := s.serviceIDs[name]
	if !ok {
		return ServiceInfo{}, false
	}
	return s.services[id].info(), true
}

// ServiceByID returns the service with the given ID.
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
	// RevokedAt is the revision at which a shard was last reassigned before the
	// back end had confirmed its release. Its lease is not renewed until it has
	// received that revision.
	RevokedAt topology.Revision
	// Owned is the number of shards that it owns, Incoming the number being moved
	// to it.
	Owned, Incoming int
}

func (b *backend) info() BackendInfo {
	return BackendInfo{
		Backend:   b.Backend,
		Revision:  b.lastChange.Revision,
		Author:    b.lastChange.Author,
		RevokedAt: b.revokedAt,
		Owned:     len(b.owned),
		Incoming:  len(b.incoming),
	}
}

// Backend returns the back end with the given ID.
func (s *State) Backend(id topology.BackendID) (BackendInfo, bool) {
	found, ok := s.backends[id]
	if !ok {
		return BackendInfo{}, false
	}
	return found.info(), true
}

// Backends returns all back ends, sorted by ID.
func (s *State) Backends() []BackendInfo {
	result := make([]BackendInfo, 0, len(s.backends))
	for _, id := range sortedKeys(s.backends) {
		result = append(result, s.backends[id].info())
	}
	return result
}

// BackendByAddress returns the back end whose agent has the given address.
func (s *State) BackendByAddress(address string) (BackendInfo, bool) {
	for _, candidate := range s.backends {
		if candidate.AgentAddress == address {
			return candidate.info(), true
		}
	}
	return BackendInfo{}, false
}

// BackendByName returns the back end with the given service and name.
func (s *State) BackendByName(name BackendName) (BackendInfo, bool) {
	found := s.backendByName(name)
	if found == nil {
		return BackendInfo{}, false
	}
	return found.info(), true
}

func (s *State) backendByName(name BackendName) *backend {
	parent, ok := s.services[s.serviceIDs[name.Service]]
	if !ok {
		return nil
	}
	for id := range parent.backends {
		if s.backends[id].Name == name.Name {
			return s.backends[id]
		}
	}
	return nil
}

// Shards iterates over a service's shards, sorted by Start.
func (s *State) Shards(id topology.ServiceID) iter.Seq[topology.Shard] {
	return func(yield func(topology.Shard) bool) {
		found, ok := s.services[id]
		if !ok {
			return
		}
		for _, record := range found.shardsByStart {
			if !yield(record.Shard) {
				return
			}
		}
	}
}

// ShardCount returns the number of shards of a service.
func (s *State) ShardCount(id topology.ServiceID) int {
	found, ok := s.services[id]
	if !ok {
		return 0
	}
	return len(found.shardsByStart)
}

// Shard returns the shard with the given ID.
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
	return found.shardsByNumber[id.Shard]
}

// RangeEnd returns the last key hash in a shard's range.
func (s *State) RangeEnd(id topology.ShardID) topology.KeyHash {
	record := s.shard(id)
	if record == nil {
		return 0
	}
	parent := s.services[id.Service]
	next := parent.shardIndex(record.Start) + 1
	if next == len(parent.shardsByStart) {
		return math.MaxUint64
	}
	return parent.shardsByStart[next].Start - 1
}

// ShardOfKey returns the shard of a service whose range contains a key hash.
func (s *State) ShardOfKey(id topology.ServiceID, hash topology.KeyHash) (topology.Shard, bool) {
	found, ok := s.services[id]
	if !ok || len(found.shardsByStart) == 0 {
		return topology.Shard{}, false
	}
	return found.shardsByStart[found.shardIndex(hash)].Shard, true
}

// shardIndex returns the index in shardsByStart of the shard whose range
// contains a key hash.
func (s *service) shardIndex(hash topology.KeyHash) int {
	index, exact := slices.BinarySearchFunc(s.shardsByStart, hash, func(record *shard, target topology.KeyHash) int {
		switch {
		case record.Start < target:
			return -1
		case record.Start > target:
			return 1
		}
		return 0
	})
	if exact {
		return index
	}
	return index - 1
}

// History returns the latest changes of a shard, oldest first.
func (s *State) History(id topology.ShardID) []ShardChange {
	record := s.shard(id)
	if record == nil {
		return nil
	}
	return slices.Clone(record.history)
}

// OwnedBy returns the shards that a back end owns, sorted by ID.
func (s *State) OwnedBy(id topology.BackendID) []topology.ShardID {
	found, ok := s.backends[id]
	if !ok {
		return nil
	}
	return found.owned.sorted()
}

// Moving returns the shards in ShardWarming and ShardReleasing, sorted by ID.
func (s *State) Moving() []topology.ShardID { return s.moving.sorted() }

// Unassigned returns the shards in ShardUnassigned, sorted by ID.
func (s *State) Unassigned() []topology.ShardID { return s.unassigned.sorted() }

// LoadShifts returns the announced load shifts of a service, or of all services
// if the ID is zero.
func (s *State) LoadShifts(id topology.ServiceID) []LoadShift {
	var result []LoadShift
	for _, shift := range s.loadShifts {
		if id == 0 || shift.Service == id {
			result = append(result, shift)
		}
	}
	return result
}

// Controllers returns the known controllers, sorted by ID.
func (s *State) Controllers() []Controller {
	result := make([]Controller, 0, len(s.controllers))
	for _, id := range sortedKeys(s.controllers) {
		result = append(result, s.controllers[id])
	}
	return result
}

// Controller returns the controller with the given ID.
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

// BackendCount returns the number of back ends.
func (s *State) BackendCount() int { return len(s.backends) }

// ServiceAndShardCount returns the number of services and of shards.
func (s *State) ServiceAndShardCount() (services, shards int) {
	for _, record := range s.services {
		shards += len(record.shardsByStart)
	}
	return len(s.services), shards
}
