package inforce

import (
	"cmp"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// ExpireAfter is how long after its last message a subscriber without a session is
// removed from the list.
const ExpireAfter = 10 * time.Minute

// Key identifies a subscriber.
type Key struct {
	Role    topology.Role
	Name    string
	Address string
}

// Subscriber is the known state of a router or an agent.
type Subscriber struct {
	Key
	Location  topology.Location
	Boot      uint64
	Applied   topology.Revision
	Connected bool
	// LastMessageAt is when the last message was received from it.
	LastMessageAt time.Duration
	// Controller that serves it, or served it last.
	Controller topology.ReplicaID
	// unreported is set while the latest state has not been reported to the leader.
	unreported bool
}

// StoppedRelying reports whether the subscriber has stopped using its routing data, as
// it has had no contact with a controller for too long.
func (s *Subscriber) StoppedRelying(now time.Duration) bool {
	return !s.Connected && now-s.LastMessageAt > wire.MaxRoutingStaleness
}

// Tracker tracks which subscriber has which revision in force. A controller's own
// subscribers have sessions with it; the leader also tracks those of the other
// controllers. It is not safe for concurrent use.
type Tracker struct {
	// started is when this controller began to track its subscribers, and leaderSince
	// when it last became the leader.
	started     time.Duration
	leaderSince time.Duration
	own         map[Key]*Subscriber
	remote      map[Key]*Subscriber
	members     map[topology.ReplicaID]member
	commits     commits
}

// member is another controller, as the leader knows it.
type member struct {
	lastReportAt time.Duration
	// started is when it began to track its subscribers, by the leader's clock.
	started time.Duration
}

// NewTracker returns the tracker of a controller that starts at now.
func NewTracker(now time.Duration) *Tracker {
	return &Tracker{
		started: now,
		own:     make(map[Key]*Subscriber),
		remote:  make(map[Key]*Subscriber),
		members: make(map[topology.ReplicaID]member),
	}
}

// Committed records that this controller applied a revision at now.
func (t *Tracker) Committed(revision topology.Revision, now time.Duration) {
	t.commits.add(revision, now)
}

// Connected records the start of an own subscriber's session.
func (t *Tracker) Connected(key Key, hello *wire.Hello, now time.Duration) {
	t.own[key] = &Subscriber{
		Key:           key,
		Location:      hello.Location,
		Boot:          hello.Boot,
		Applied:       hello.Applied,
		Connected:     true,
		LastMessageAt: now,
		unreported:    true,
	}
}

// Disconnected records the end of the session of the process with the given boot
// number. A session of a later process is not affected.
func (t *Tracker) Disconnected(key Key, boot uint64, now time.Duration) {
	entry := t.find(key, boot)
	if entry == nil {
		return
	}
	entry.Connected = false
	entry.LastMessageAt = now
	entry.unreported = true
}

// Applied records that an own subscriber has confirmed a revision, and reports whether
// the revision is newer than the last one confirmed.
func (t *Tracker) Applied(key Key, boot uint64, revision topology.Revision, now time.Duration) bool {
	entry := t.find(key, boot)
	if entry == nil {
		return false
	}
	entry.LastMessageAt = now
	if revision <= entry.Applied {
		return false
	}
	entry.Applied = revision
	entry.unreported = true
	return true
}

// RecordMessage records a message from an own subscriber.
func (t *Tracker) RecordMessage(key Key, boot uint64, now time.Duration) {
	if entry := t.find(key, boot); entry != nil {
		entry.LastMessageAt = now
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
	t.clearReports()
	t.leaderSince = now
}

func (t *Tracker) clearReports() {
	clear(t.remote)
	clear(t.members)
}

// StepDown drops the other controllers' reports and marks all own subscribers to be
// reported to the new leader.
func (t *Tracker) StepDown() {
	t.clearReports()
	for _, entry := range t.own {
		entry.unreported = true
	}
}

// Report returns a follower's report to the leader: what has changed since the last
// report, or all.
func (t *Tracker) Report(all bool, now time.Duration) wire.SubscriberReport {
	report := wire.SubscriberReport{All: all, Listing: now - t.started}
	for key, entry := range t.own {
		if !entry.Connected && now-entry.LastMessageAt > ExpireAfter {
			delete(t.own, key)
			continue
		}
		if !all && !entry.unreported {
			continue
		}
		entry.unreported = false
		report.Subscribers = append(report.Subscribers, wire.SubscriberState{
			Role:      key.Role,
			Name:      key.Name,
			Address:   key.Address,
			Location:  entry.Location,
			Applied:   entry.Applied,
			Connected: entry.Connected,
			Silent:    now - entry.LastMessageAt,
		})
	}
	return report
}

// ApplyReport applies, at the leader, the report of another controller.
func (t *Tracker) ApplyReport(from topology.ReplicaID, report *wire.SubscriberReport, now time.Duration) {
	t.members[from] = member{lastReportAt: now, started: now - report.Listing}
	if report.All {
		t.disconnectAllOf(from, now)
	}
	for index := range report.Subscribers {
		t.applyState(from, &report.Subscribers[index], now)
	}
}

// disconnectAllOf marks all subscribers of a controller as disconnected. The report
// being applied lists those that are still connected.
func (t *Tracker) disconnectAllOf(from topology.ReplicaID, now time.Duration) {
	for _, entry := range t.remote {
		if entry.Controller == from && entry.Connected {
			entry.Connected = false
			entry.LastMessageAt = now
		}
	}
}

func (t *Tracker) applyState(from topology.ReplicaID, state *wire.SubscriberState, now time.Duration) {
	key := Key{state.Role, state.Name, state.Address}
	known, ok := t.remote[key]
	if ok && known.Controller != from && !state.Connected {
		return
	}
	t.remote[key] = &Subscriber{
		Key:           key,
		Location:      state.Location,
		Applied:       state.Applied,
		Connected:     state.Connected,
		LastMessageAt: now - state.Silent,
		Controller:    from,
	}
}

// Subscribers returns all known subscribers, with one entry each: the connected one, or else
// the one with the latest message. self is this controller.
func (t *Tracker) Subscribers(self topology.ReplicaID) []Subscriber {
	best := make(map[Key]*Subscriber, len(t.own)+len(t.remote))
	for key, entry := range t.own {
		entry.Controller = self
		best[key] = entry
	}
	for key, entry := range t.remote {
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
	return a.LastMessageAt > b.LastMessageAt
}

func compareKeys(a, b Key) int {
	return cmp.Or(
		cmp.Compare(a.Role, b.Role),
		cmp.Compare(a.Name, b.Name),
		cmp.Compare(a.Address, b.Address),
	)
}
