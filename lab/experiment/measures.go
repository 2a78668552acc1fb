package experiment

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// requestEnd is what became of a request.
type requestEnd uint8

const (
	endAnswered requestEnd = iota
	// endShed: refused for want of room, not run.
	endShed
	// endNoOwner: the shard has no owner that is ready, not run.
	endNoOwner
	// endExpired: the deadline passed before it ran.
	endExpired
	// endFailed: the back end was lost; whether it ran is unknown.
	endFailed
	// endMoved is no end: the back end does not own the shard any more.
	endMoved

	endCount = int(endMoved)
)

// violationKind names a rule that was broken.
type violationKind string

const (
	// violationTwoOwners: two back ends took requests for a key at one time.
	violationTwoOwners violationKind = "two-owners"
	// violationCutOff: a planned stop cut off a running request.
	violationCutOff violationKind = "cut-off-by-planned-stop"
	// violationLateWork: a leaving back end took new work after lateWork.
	violationLateWork violationKind = "work-for-leaving"
)

const (
	// lateWork is "a few seconds" of the brief.
	lateWork = 5 * time.Second
	// settleTime is when after a disturbance imbalance is judged, and
	// settledImbalance the goal.
	settleTime       = 10 * time.Second
	settledImbalance = 1.25
)

// measures collects what a run measures, from the end of the warm-up on.
type measures struct {
	emulation *emulation
	measuring bool

	// owners of the keys, by index of the key.
	owners []topology.BackendID
	// admittedEpochs and admittedBy hold the newest admission of each key.
	admittedEpochs []topology.Epoch
	admittedBy     []topology.BackendID

	imbalance    timeWeighted
	churnedKeys  int
	ownerChanges int
	bound        churnBound
	shards       map[topology.ShardID]availability
	unavailable  []time.Duration
	// unavailableKeys is the time summed over keys.
	unavailableKeys time.Duration
	settleAfter     []time.Duration
	worstSettled    float64
	disturbedAt     time.Duration
	unsettled       bool
	disturbances    int
	ends            [endCount]uint64
	offeredCount    uint64
	latency         *hdrhistogram.Histogram
	violations      map[violationKind]int
	series          []Sample
}

// availability is whether a shard can be served, and since when it cannot.
type availability struct {
	unavailable bool
	since       time.Duration
}

func newMeasures(e *emulation) *measures {
	count := len(e.keys.positions)
	return &measures{
		emulation:      e,
		owners:         make([]topology.BackendID, count),
		admittedEpochs: make([]topology.Epoch, count),
		admittedBy:     make([]topology.BackendID, count),
		shards:         make(map[topology.ShardID]availability),
		latency:        hdrhistogram.New(1, int64(2*time.Minute/time.Microsecond), 3),
		violations:     make(map[violationKind]int),
	}
}

// begin ends the warm-up.
func (m *measures) begin() {
	m.measuring = true
	now := m.emulation.queue.now
	for id, state := range m.shards {
		state.since = now
		m.shards[id] = state
	}
	m.imbalance.set(m.present(), now)
	m.bound.open(m, nil)
}

// members are the back ends that count: running and not leaving for good.
func (m *measures) members() []*server {
	var members []*server
	for _, server := range m.emulation.servers {
		_, draining := m.emulation.leader.drainingSince[server.id]
		if server.up && !draining {
			members = append(members, server)
		}
	}
	return members
}

// loads returns the share of the requests that is offered to each back end.
func (m *measures) loads() map[topology.BackendID]float64 {
	loads := make(map[topology.BackendID]float64)
	for key, owner := range m.owners {
		loads[owner] += m.emulation.keys.sums[key+1] - m.emulation.keys.sums[key]
	}
	return loads
}

// present is the imbalance now: the greatest load over the mean of the members.
func (m *measures) present() float64 {
	loads := m.loads()
	members := m.members()
	var greatest, total float64
	for _, member := range members {
		greatest = math.Max(greatest, loads[member.id])
		total += loads[member.id]
	}
	if total == 0 {
		return 1
	}
	return greatest * float64(len(members)) / total
}

// disturbed notes that the load or the membership is about to change. It is
// called before the change, so that what was reached until then is judged. Lost
// back ends must give up all their keys.
func (m *measures) disturbed(lost []*server) {
	if !m.measuring {
		return
	}
	now := m.emulation.queue.now
	m.judge()
	m.bound.open(m, lost)
	m.disturbedAt = now
	m.unsettled = true
	m.disturbances++
	m.emulation.queue.after(0, m.recompute)
	mine := m.disturbances
	m.emulation.queue.after(settleTime, func() {
		if m.disturbances == mine {
			m.judge()
		}
	})
}

// judge ends the time to settle after a disturbance.
func (m *measures) judge() {
	if m.disturbances == 0 || m.disturbedAt < 0 {
		return
	}
	waited := m.emulation.queue.now - m.disturbedAt
	if waited >= settleTime {
		m.worstSettled = math.Max(m.worstSettled, m.present())
	}
	if m.unsettled {
		m.settleAfter = append(m.settleAfter, waited)
	}
	m.unsettled = false
	m.disturbedAt = -1
}

// recompute takes the present imbalance into account.
func (m *measures) recompute() {
	if !m.measuring {
		return
	}
	now := m.emulation.queue.now
	value := m.present()
	m.imbalance.set(value, now)
	if m.unsettled && value <= settledImbalance {
		m.settleAfter = append(m.settleAfter, now-m.disturbedAt)
		m.unsettled = false
	}
}

// ownershipChanged counts the keys that changed owner.
func (m *measures) ownershipChanged(delta *wire.RoutingDelta) {
	changed := false
	for _, shard := range delta.Shards {
		changed = m.shardChanged(shard) || changed
	}
	for _, removed := range delta.RemovedShards {
		m.close(removed)
	}
	if changed {
		m.recompute()
	}
	m.observeShards()
}

func (m *measures) shardChanged(shard topology.Shard) bool {
	first, last := m.keysOf(shard.ID)
	changed := 0
	for key := first; key < last; key++ {
		if m.owners[key] == shard.Owner {
			continue
		}
		if m.owners[key] != 0 {
			changed++
		}
		m.owners[key] = shard.Owner
	}
	if changed > 0 && m.measuring {
		m.churnedKeys += changed
		m.ownerChanges++
	}
	return first < last
}

// keysOf returns the keys of a shard as indices.
func (m *measures) keysOf(id topology.ShardID) (first, last int) {
	var start, end topology.KeyHash
	found := false
	for shard := range m.emulation.leader.state.Shards(id.Service) {
		if found {
			end = shard.Start
			break
		}
		if shard.ID == id {
			start = shard.Start
			found = true
		}
	}
	if !found {
		return 0, 0
	}
	return m.emulation.keys.between(start, end)
}

// observeShards notes which shards can be served now.
func (m *measures) observeShards() {
	leader := m.emulation.leader
	if leader == nil || leader.service == 0 {
		return
	}
	now := m.emulation.queue.now
	for shard := range leader.state.Shards(leader.service) {
		unavailable := !m.served(shard, now)
		before, known := m.shards[shard.ID]
		if known && before.unavailable == unavailable {
			continue
		}
		if before.unavailable {
			m.close(shard.ID)
		}
		m.shards[shard.ID] = availability{unavailable: unavailable, since: now}
	}
}

// served says whether a request for a shard would be run now.
func (m *measures) served(shard topology.Shard, now time.Duration) bool {
	owner := m.emulation.server(shard.Owner)
	if owner == nil || !owner.up || owner.frozen() || !owner.warm[shard.ID] {
		return false
	}
	return owner.holder.Admits(shard.ID, shard.Epoch, now) == nil
}

// close ends a time of a shard.
func (m *measures) close(id topology.ShardID) {
	before := m.shards[id]
	delete(m.shards, id)
	if before.unavailable && m.measuring {
		lasted := m.emulation.queue.now - before.since
		first, last := m.keysOf(id)
		m.unavailable = append(m.unavailable, lasted)
		m.unavailableKeys += lasted * time.Duration(last-first)
	}
}

func (m *measures) offered() {
	if m.measuring {
		m.offeredCount++
	}
}

// ended counts what became of a request.
func (m *measures) ended(request *request, end requestEnd) {
	e := m.emulation
	if request.probe || request.sent < e.config.Scenario.Warmup {
		return
	}
	m.ends[end]++
	if end == endAnswered {
		taken := e.queue.now + e.config.Deployment.ClientDistance - request.sent
		_ = m.latency.RecordValue(taken.Microseconds())
	}
}

// admitted checks the rules at the moment at which a back end takes a request.
func (m *measures) admitted(request *request, by *server) {
	now := m.emulation.queue.now
	key := request.key
	older := request.epoch < m.admittedEpochs[key]
	other := request.epoch == m.admittedEpochs[key] && m.admittedBy[key] != by.id
	if older || other {
		m.violation(violationTwoOwners)
	}
	m.admittedEpochs[key], m.admittedBy[key] = request.epoch, by.id
	since, draining := m.emulation.leader.drainingSince[by.id]
	if draining && now > since+lateWork {
		m.violation(violationLateWork)
	}
}

func (m *measures) violation(kind violationKind) { m.violations[kind]++ }

// timeWeighted is a value over time with its distribution.
type timeWeighted struct {
	value  float64
	since  time.Duration
	spells []spell
}

type spell struct {
	value    float64
	duration time.Duration
}

func (t *timeWeighted) set(value float64, now time.Duration) {
	if now > t.since && t.value > 0 {
		t.spells = append(t.spells, spell{value: t.value, duration: now - t.since})
	}
	t.value, t.since = value, now
}
