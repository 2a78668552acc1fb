package inforce

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// ForgetAfter is when a subscriber that was not heard is no longer listed.
const ForgetAfter = 10 * time.Minute

// Key tells subscribers apart.
type Key struct {
	Role    topology.Role
	Name    string
	Address string
}

// Subscriber is what is known of a router or an agent.
type Subscriber struct {
	Key
	Location  topology.Location
	Boot      uint64
	Applied   topology.Revision
	Connected bool
	// HeardAt is when it was last heard.
	HeardAt time.Duration
	// Controller that serves it, or served it last.
	Controller topology.ReplicaID
	// dirty is set until it was passed on to the leader.
	dirty bool
}

// StoppedRelying reports whether the subscriber serves by no old routing data
// any more: it heard from no controller for too long.
func (s *Subscriber) StoppedRelying(now time.Duration) bool {
	return !s.Connected && now-s.HeardAt > wire.StopRelyingAfter
}

// Tracker knows who has which revision in force. A controller's own subscribers
// have sessions with it; at the leader, those of other controllers are listed
// as well. It is not safe for concurrent use.
type Tracker struct {
	// started is when this controller began to list its subscribers, and leads
	// when it last became the leader.
	started time.Duration
	leads   time.Duration
	own     map[Key]*Subscriber
	foreign map[Key]*Subscriber
	members map[topology.ReplicaID]member
	commits commits
}

// member is another controller, as the leader knows it.
type member struct {
	heardAt time.Duration
	// started is when it began to list its subscribers, by the leader's clock.
	started time.Duration
}

// NewTracker returns the tracker of a controller that starts at now.
func NewTracker(now time.Duration) *Tracker {
	return &Tracker{
		started: now,
		own:     make(map[Key]*Subscriber),
		foreign: make(map[Key]*Subscriber),
		members: make(map[topology.ReplicaID]member),
	}
}

// Committed notes that this controller applied a revision at now.
func (t *Tracker) Committed(revision topology.Revision, now time.Duration) {
	t.commits.add(revision, now)
}

// Connected opens the session of an own subscriber.
func (t *Tracker) Connected(key Key, hello *wire.Hello, now time.Duration) {
	t.own[key] = &Subscriber{
		Key:       key,
		Location:  hello.Location,
		Boot:      hello.Boot,
		Applied:   hello.Applied,
		Connected: true,
		HeardAt:   now,
		dirty:     true,
	}
}

// Disconnected ends a session of a process with the given boot number. A
// session of a later process stays.
func (t *Tracker) Disconnected(key Key, boot uint64, now time.Duration) {
	entry := t.find(key, boot)
	if entry == nil {
		return
	}
	entry.Connected = false
	entry.HeardAt = now
	entry.dirty = true
}

// Applied takes a confirmation of an own subscriber. It reports whether the
// revision is news.
func (t *Tracker) Applied(key Key, boot uint64, revision topology.Revision, now time.Duration) bool {
	entry := t.find(key, boot)
	if entry == nil {
		return false
	}
	entry.HeardAt = now
	if revision <= entry.Applied {
		return false
	}
	entry.Applied = revision
	entry.dirty = true
	return true
}

// Heard notes a sign of life of an own subscriber.
func (t *Tracker) Heard(key Key, boot uint64, now time.Duration) {
	if entry := t.find(key, boot); entry != nil {
		entry.HeardAt = now
	}
}

func (t *Tracker) find(key Key, boot uint64) *Subscriber {
	entry := t.own[key]
	if entry == nil || entry.Boot != boot {
		return nil
	}
	return entry
}

// BecomeLeader begins to collect the reports of the other controllers at now.
func (t *Tracker) BecomeLeader(now time.Duration) {
	t.forgetReports()
	t.leads = now
}

func (t *Tracker) forgetReports() {
	clear(t.foreign)
	clear(t.members)
}

// StepDown forgets the other controllers' reports. All own subscribers are to
// be reported to the new leader.
func (t *Tracker) StepDown() {
	t.forgetReports()
	for _, entry := range t.own {
		entry.dirty = true
	}
}

// Report returns what a controller that follows tells the leader: what has
// changed since the last report, or all.
func (t *Tracker) Report(all bool, now time.Duration) wire.SubscriberReport {
	report := wire.SubscriberReport{All: all, Listing: now - t.started}
	for key, entry := range t.own {
		if !entry.Connected && now-entry.HeardAt > ForgetAfter {
			delete(t.own, key)
			continue
		}
		if !all && !entry.dirty {
			continue
		}
		entry.dirty = false
		report.Subscribers = append(report.Subscribers, wire.SubscriberState{
			Role:      key.Role,
			Name:      key.Name,
			Address:   key.Address,
			Location:  entry.Location,
			Applied:   entry.Applied,
			Connected: entry.Connected,
			Silent:    now - entry.HeardAt,
		})
	}
	return report
}

// TakeReport takes, at the leader, the report of another controller.
func (t *Tracker) TakeReport(from topology.ReplicaID, report *wire.SubscriberReport, now time.Duration) {
	t.members[from] = member{heardAt: now, started: now - report.Listing}
	if report.All {
		t.disconnectAllOf(from, now)
	}
	for index := range report.Subscribers {
		t.takeState(from, &report.Subscribers[index], now)
	}
}

// disconnectAllOf ends the sessions of a controller's subscribers: those that it
// still has it names in the same report.
func (t *Tracker) disconnectAllOf(from topology.ReplicaID, now time.Duration) {
	for _, entry := range t.foreign {
		if entry.Controller == from && entry.Connected {
			entry.Connected = false
			entry.HeardAt = now
		}
	}
}

func (t *Tracker) takeState(from topology.ReplicaID, state *wire.SubscriberState, now time.Duration) {
	key := Key{state.Role, state.Name, state.Address}
	known, ok := t.foreign[key]
	if ok && known.Controller != from && !state.Connected {
		return
	}
	t.foreign[key] = &Subscriber{
		Key:        key,
		Location:   state.Location,
		Applied:    state.Applied,
		Connected:  state.Connected,
		HeardAt:    now - state.Silent,
		Controller: from,
	}
}

// Subscribers returns all known subscribers, one entry each: of several the
// connected one or the one heard last. Self is this controller.
func (t *Tracker) Subscribers(self topology.ReplicaID) []Subscriber {
	best := make(map[Key]*Subscriber, len(t.own)+len(t.foreign))
	for key, entry := range t.own {
		entry.Controller = self
		best[key] = entry
	}
	for key, entry := range t.foreign {
		if known, ok := best[key]; !ok || preferred(entry, known) {
			best[key] = entry
		}
	}
	result := make([]Subscriber, 0, len(best))
	for _, entry := range best {
		result = append(result, *entry)
	}
	slices.SortFunc(result, func(a, b Subscriber) int { return compareKeys(a.Key, b.Key) })
	return result
}

func preferred(a, b *Subscriber) bool {
	if a.Connected != b.Connected {
		return a.Connected
	}
	return a.HeardAt > b.HeardAt
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Role, b.Role),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Address, b.Address),
	)
}
