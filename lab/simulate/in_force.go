package simulate

import (
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// relyingBound is how long after its commit a revision is in force everywhere,
// whoever was heard; as in internal/controller.
const relyingBound = wire.StopRelyingAfter + wire.StopRelyingAfter/50

// relaySilence is after how long without a report a controller counts as
// silent.
const relaySilence = 500 * time.Millisecond

// subscriberKey names a subscriber over its restarts.
type subscriberKey struct {
	role    topology.Role
	name    string
	address string
}

// subscriberState is what a controller knows of a subscriber.
type subscriberState struct {
	applied    topology.Revision
	boot       uint64
	connected  bool
	heardAt    time.Duration
	controller topology.ReplicaID
}

// subscriberBook is what a controller knows of who has which revision.
type subscriberBook struct {
	own     map[subscriberKey]*subscriberState
	foreign map[subscriberKey]*subscriberState
	members map[topology.ReplicaID]time.Duration
	commits []commitTime
	// since is when this controller became the leader.
	since time.Duration
}

type commitTime struct {
	revision topology.Revision
	at       time.Duration
}

func newSubscriberBook() *subscriberBook {
	return &subscriberBook{
		own:     make(map[subscriberKey]*subscriberState),
		foreign: make(map[subscriberKey]*subscriberState),
		members: make(map[topology.ReplicaID]time.Duration),
	}
}

func keyOf(s *session) subscriberKey {
	return subscriberKey{s.hello.Role, s.hello.Name, s.hello.Address}
}

func (b *subscriberBook) entry(s *session) *subscriberState {
	key := keyOf(s)
	known, ok := b.own[key]
	if !ok {
		known = &subscriberState{}
		b.own[key] = known
	}
	return known
}

func (b *subscriberBook) connected(s *session, now time.Duration) {
	entry := b.entry(s)
	*entry = subscriberState{applied: s.hello.Applied, boot: s.hello.Boot, connected: true, heardAt: now}
}

func (b *subscriberBook) disconnected(s *session, now time.Duration) {
	entry := b.entry(s)
	if entry.boot == s.hello.Boot {
		entry.connected = false
		entry.heardAt = now
	}
}

func (b *subscriberBook) applied(s *session, revision topology.Revision, now time.Duration) {
	entry := b.entry(s)
	entry.applied = max(entry.applied, revision)
	entry.heardAt = now
}

func (b *subscriberBook) heard(s *session, now time.Duration) { b.entry(s).heardAt = now }

func (b *subscriberBook) becomeLeader(now time.Duration) {
	clear(b.foreign)
	clear(b.members)
	b.since = now
}

func (b *subscriberBook) stepDown() {
	clear(b.foreign)
	clear(b.members)
}

// commit notes when a revision was applied here.
func (b *subscriberBook) commit(revision topology.Revision, now time.Duration) {
	b.commits = append(b.commits, commitTime{revision, now})
	for len(b.commits) > 1 && now-b.commits[0].at > 2*relyingBound {
		b.commits = b.commits[1:]
	}
}

func (b *subscriberBook) committedAt(revision topology.Revision, now time.Duration) time.Duration {
	for _, entry := range b.commits {
		if entry.revision >= revision {
			return entry.at
		}
	}
	return now
}

// subscriberReport is what a controller that follows tells the leader.
type subscriberReport struct {
	from   topology.ReplicaID
	states map[subscriberKey]subscriberState
	// silent is how long ago each was heard.
	silent map[subscriberKey]time.Duration
}

// report returns all that this controller knows of its own subscribers.
func (b *subscriberBook) report(from topology.ReplicaID, now time.Duration) subscriberReport {
	made := subscriberReport{
		from:   from,
		states: make(map[subscriberKey]subscriberState, len(b.own)),
		silent: make(map[subscriberKey]time.Duration, len(b.own)),
	}
	for key, entry := range b.own {
		made.states[key] = *entry
		made.silent[key] = now - entry.heardAt
	}
	return made
}

// take keeps what another controller reports.
func (b *subscriberBook) take(report subscriberReport, now time.Duration) {
	b.members[report.from] = now
	for key, state := range report.states {
		known, ok := b.foreign[key]
		if ok && known.controller != report.from && !state.connected {
			continue
		}
		kept := state
		kept.controller = report.from
		kept.heardAt = now - report.silent[key]
		b.foreign[key] = &kept
	}
}

// list returns one state per subscriber: the connected one, or the one heard
// last.
func (b *subscriberBook) list() map[subscriberKey]subscriberState {
	best := make(map[subscriberKey]subscriberState, len(b.own)+len(b.foreign))
	for key, entry := range b.own {
		best[key] = *entry
	}
	for key, entry := range b.foreign {
		known, ok := best[key]
		if !ok || preferred(*entry, known) {
			best[key] = *entry
		}
	}
	return best
}

func preferred(a, b subscriberState) bool {
	if a.connected != b.connected {
		return a.connected
	}
	return a.heardAt > b.heardAt
}

// relay reports this controller's subscribers to the leader.
func (c *controller) relay() {
	leader := c.cluster.controllerNamed(c.leaderName())
	if c.core == nil || leader == nil || leader == c {
		return
	}
	report := c.subscribers.report(c.status().ID, c.clock())
	c.cluster.network.send(c.process, leader.process, func() {
		if leader.leads() {
			leader.subscribers.take(report, leader.clock())
		}
	}, nil)
}

// inForceEverywhere reports whether the leader knows that a revision is in
// force at every subscriber that still relies on its routing data.
func (c *controller) inForceEverywhere(revision topology.Revision) bool {
	if !c.leads() {
		return false
	}
	now := c.clock()
	if now-c.subscribers.committedAt(revision, now) > relyingBound {
		return true
	}
	ignoreSilent := c.cluster.has(DefectIgnoreSilent)
	if now-c.subscribers.since <= relyingBound && !ignoreSilent {
		// A subscriber that this leader never heard of may still rely on what
		// it had from a controller that is gone.
		return false
	}
	for _, entry := range c.subscribers.list() {
		stopped := !entry.connected && (ignoreSilent || now-entry.heardAt > relyingBound)
		if entry.applied < revision && !stopped {
			return false
		}
	}
	return ignoreSilent || c.allMembersReport(now)
}

func (c *controller) allMembersReport(now time.Duration) bool {
	status := c.status()
	for _, member := range status.Membership.Members {
		if member.ID == status.ID {
			continue
		}
		heard, ok := c.subscribers.members[member.ID]
		if !ok || now-heard > relaySilence {
			return false
		}
	}
	return true
}
