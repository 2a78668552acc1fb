package controller

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// forgetAfter is when a subscriber that was not heard is no longer listed.
const forgetAfter = 10 * time.Minute

// subscriberKey tells subscribers apart.
type subscriberKey struct {
	role    topology.Role
	name    string
	address string
}

// subscriber is what is known of a router or an agent.
type subscriber struct {
	key        subscriberKey
	location   topology.Location
	boot       uint64
	applied    topology.Revision
	connected  bool
	heardAt    time.Time
	controller topology.ReplicaID
	// dirty is set until it was passed on to the leader.
	dirty bool
}

// stoppedRelying reports whether the subscriber serves by no old routing data
// any more: it heard from no controller for too long.
func (s *subscriber) stoppedRelying(now time.Time) bool {
	return !s.connected && now.Sub(s.heardAt) > wire.StopRelyingAfter
}

// subscribers knows who has which revision in force. Own subscribers have
// sessions here; at the leader, those of other controllers are listed as well.
type subscribers struct {
	mutex   sync.Mutex
	own     map[subscriberKey]*subscriber
	foreign map[subscriberKey]*subscriber
	// members holds when each other controller last reported.
	members map[topology.ReplicaID]time.Time
	changed broadcast
}

func newSubscribers() *subscribers {
	return &subscribers{
		own:     make(map[subscriberKey]*subscriber),
		foreign: make(map[subscriberKey]*subscriber),
		members: make(map[topology.ReplicaID]time.Time),
	}
}

// edit changes the own entry of a subscriber.
func (s *subscribers) edit(key subscriberKey, change func(entry *subscriber)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry, known := s.own[key]
	if !known {
		entry = &subscriber{key: key}
		s.own[key] = entry
	}
	change(entry)
	entry.dirty = true
	s.changed.signal()
}

func (s *subscribers) connected(key subscriberKey, hello *wire.Hello, now time.Time) {
	s.edit(key, func(entry *subscriber) {
		entry.location = hello.Location
		entry.boot = hello.Boot
		entry.applied = hello.Applied
		entry.connected = true
		entry.heardAt = now
	})
}

// disconnected ends a session; a later session of another boot stays.
func (s *subscribers) disconnected(key subscriberKey, boot uint64, now time.Time) {
	s.edit(key, func(entry *subscriber) {
		if entry.boot != boot {
			return
		}
		entry.connected = false
		entry.heardAt = now
	})
}

func (s *subscribers) applied(key subscriberKey, revision topology.Revision, now time.Time) {
	s.mutex.Lock()
	entry, known := s.own[key]
	same := known && entry.applied == revision
	if same {
		entry.heardAt = now
	}
	s.mutex.Unlock()
	if same {
		return
	}
	s.edit(key, func(entry *subscriber) {
		entry.applied = max(entry.applied, revision)
		entry.heardAt = now
	})
}

func (s *subscribers) heard(key subscriberKey, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if entry, known := s.own[key]; known {
		entry.heardAt = now
	}
}

func (s *subscribers) becomeLeader() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.foreign)
	clear(s.members)
	s.changed.signal()
}

func (s *subscribers) stepDown() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	clear(s.foreign)
	clear(s.members)
	for _, entry := range s.own {
		entry.dirty = true
	}
	s.changed.signal()
}

// report takes what another controller says of its subscribers.
func (s *subscribers) report(from topology.ReplicaID, report *wire.SubscriberReport, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.members[from] = now
	for _, state := range report.Subscribers {
		key := subscriberKey{state.Role, state.Name, state.Address}
		known, ok := s.foreign[key]
		newer := !ok || known.controller == from || state.Connected
		if !newer {
			continue
		}
		s.foreign[key] = &subscriber{
			key:        key,
			location:   state.Location,
			applied:    state.Applied,
			connected:  state.Connected,
			heardAt:    now.Add(-state.Silent),
			controller: from,
		}
	}
	s.changed.signal()
}

// takeDirty returns what has changed since the last call, or all.
func (s *subscribers) takeDirty(all bool, now time.Time) []wire.SubscriberState {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var states []wire.SubscriberState
	for key, entry := range s.own {
		if !entry.connected && now.Sub(entry.heardAt) > forgetAfter {
			delete(s.own, key)
			continue
		}
		if !all && !entry.dirty {
			continue
		}
		entry.dirty = false
		states = append(states, wire.SubscriberState{
			Role:      key.role,
			Name:      key.name,
			Address:   key.address,
			Location:  entry.location,
			Applied:   entry.applied,
			Connected: entry.connected,
			Silent:    now.Sub(entry.heardAt),
		})
	}
	return states
}

// list returns all known subscribers, one entry each: of several the connected
// one or the one heard last.
func (s *subscribers) list(self topology.ReplicaID) []subscriber {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	best := make(map[subscriberKey]subscriber, len(s.own)+len(s.foreign))
	for key, entry := range s.own {
		own := *entry
		own.controller = self
		best[key] = own
	}
	for key, entry := range s.foreign {
		known, ok := best[key]
		if !ok || preferred(entry, &known) {
			best[key] = *entry
		}
	}
	result := make([]subscriber, 0, len(best))
	for _, entry := range best {
		result = append(result, entry)
	}
	slices.SortFunc(result, func(a, b subscriber) int {
		return cmp.Or(
			cmp.Compare(a.key.role, b.key.role),
			cmp.Compare(a.key.name, b.key.name),
			cmp.Compare(a.key.address, b.key.address),
		)
	})
	return result
}

func preferred(a, b *subscriber) bool {
	if a.connected != b.connected {
		return a.connected
	}
	return a.heardAt.After(b.heardAt)
}
