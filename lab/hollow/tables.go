package hollow

import (
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// keptTables is how many steps from table to table are remembered for nodes
// that lag.
const keptTables = 256

// step identifies a change from one table to the next. Two nodes at the same
// table that receive a delta to the same revision have the same next table.
type step struct {
	table *routing.Table
	to    topology.Revision
}

// scope identifies the routing data of a snapshot: those of all services at one
// revision, or of one service.
type scope struct {
	revision topology.Revision
	service  topology.ServiceID
}

// sharedTables is the subscription.TableBuilder of all nodes of a worker: equal
// tables are built once.
type sharedTables struct {
	mutex     sync.Mutex
	snapshots map[scope]*routing.Table
	steps     map[step]*routing.Table
	order     []step
	watch     *lossWatch
}

func newSharedTables() *sharedTables {
	return &sharedTables{snapshots: make(map[scope]*routing.Table), steps: make(map[step]*routing.Table)}
}

// FromSnapshot implements subscription.TableBuilder.
func (s *sharedTables) FromSnapshot(snapshot wire.RoutingSnapshot) (*routing.Table, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	identity := scope{revision: snapshot.Revision}
	if len(snapshot.Services) == 1 {
		identity.service = snapshot.Services[0].Service.ID
	}
	if built := s.snapshots[identity]; built != nil {
		return built, nil
	}
	built, err := routing.FromSnapshot(snapshot)
	if err != nil {
		return nil, err
	}
	s.snapshots[identity] = built
	s.look(built)
	return built, nil
}

// Apply implements subscription.TableBuilder.
func (s *sharedTables) Apply(table *routing.Table, delta wire.RoutingDelta) (*routing.Table, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	identity := step{table, delta.To}
	if built := s.steps[identity]; built != nil {
		return built, nil
	}
	built, err := table.Apply(delta)
	if err != nil {
		return nil, err
	}
	s.remember(identity, built)
	s.look(built)
	return built, nil
}

func (s *sharedTables) remember(identity step, built *routing.Table) {
	s.steps[identity] = built
	s.order = append(s.order, identity)
	if len(s.order) <= keptTables {
		return
	}
	delete(s.steps, s.order[0])
	s.order = s.order[1:]
	if len(s.snapshots) > 0 {
		clear(s.snapshots)
	}
}

// lossWatch looks for the first table by which nothing is left with the lost
// back ends.
type lossWatch struct {
	lost map[topology.BackendID]bool
	// first is the revision by which the first shard went to a new owner, done
	// the one by which the last did; zero is not yet.
	first, done topology.Revision
	before      int
	firstAt     time.Time
	doneAt      time.Time
}

// startWatch begins to look for the end of a loss.
func (s *sharedTables) startWatch(lost []topology.BackendID, now *routing.Table) {
	watch := &lossWatch{lost: make(map[topology.BackendID]bool, len(lost))}
	for _, backend := range lost {
		watch.lost[backend] = true
	}
	if now != nil {
		watch.before = watch.remaining(now)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.watch = watch
}

// watched returns a copy of the present watch.
func (s *sharedTables) watched() lossWatch {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.watch == nil {
		return lossWatch{}
	}
	return *s.watch
}

// look updates the watch from a table that no node had before.
func (s *sharedTables) look(table *routing.Table) {
	if s.watch == nil || s.watch.done != 0 {
		return
	}
	remaining := s.watch.remaining(table)
	if s.watch.first == 0 && remaining < s.watch.before {
		s.watch.first = table.Revision()
		s.watch.firstAt = time.Now()
	}
	if remaining == 0 {
		s.watch.done = table.Revision()
		s.watch.doneAt = time.Now()
	}
}

// remaining counts the shards that have no owner or a lost one.
func (w *lossWatch) remaining(table *routing.Table) int {
	count := 0
	for service := range table.Services() {
		for shard := range service.Shards() {
			if shard.Owner == 0 || w.lost[shard.Owner] {
				count++
			}
		}
	}
	return count
}
