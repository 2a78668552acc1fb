package simulate

import (
	"math"
	"slices"
	"time"

	"github.com/quartzdock/quartzdock/internal/grants"
	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/requestrecord"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

const (
	agentTick = 50 * time.Millisecond
	slots     = 20
	// drainLimit of the services, and of an agent's planned stop.
	drainLimit       = 5 * time.Second
	agentStopTimeout = 12 * time.Second
	// leavingGrace is for how long a leaving back end takes new work.
	leavingGrace = 3 * time.Second
)

// agent is the emulated agent: the real lease holder and ledger of request ids,
// driven as internal/agent drives them.
type agent struct {
	*subscriber
	backend *backend
	journal *journal

	// The rest belongs to one life.
	holder    *ownership.Holder
	withheld  bool
	notBefore time.Duration
	ledger    *requestrecord.Ledger
	owned     map[topology.ShardID]topology.Shard
	served    map[topology.ShardID]*served
	grants    *grants.State
	releases  map[topology.ShardID]*release
	warmings  map[topology.ShardID]*warming
	queue     []func()
	running   int
	leaving   bool
	releasing bool
	// leavingSince is when the back end began to leave; zero while it does not.
	leavingSince time.Duration
	// lying is added to the load that the back end claims.
	lying uint32
	loads map[topology.ShardNumber]*wire.ShardLoad
}

// served is a shard that the agent serves at an epoch.
type served struct {
	epoch   topology.Epoch
	running int
	closed  bool
	onIdle  func()
}

func (s *served) leave() {
	s.running--
	s.idle()
}

func (s *served) close() {
	if !s.closed {
		s.closed = true
		s.idle()
	}
}

func (s *served) idle() {
	if s.closed && s.running == 0 && s.onIdle != nil {
		s.onIdle()
	}
}

func newAgent(c *cluster, name string, server *backend) *agent {
	p := newProcess(c.world, name)
	a := &agent{backend: server, journal: &journal{world: c.world}}
	a.subscriber = &subscriber{process: p, cluster: c, role: topology.RoleAgent}
	a.hooks = subscriberHooks{onTable: a.tableChanged, onWelcome: a.refollow, granted: a.granted, report: a.report}
	return a
}

// launch starts the process on what its journal holds.
func (a *agent) launch() {
	a.process.start()
	a.holder = ownership.NewHolder(a.drift())
	a.withheld, a.notBefore = false, 0
	a.ledger = a.journal.open(a.process, a.cluster.has(DefectRecordNotSynced))
	a.owned = make(map[topology.ShardID]topology.Shard)
	a.served = make(map[topology.ShardID]*served)
	a.grants = grants.New(a.drift(), a.clock())
	a.releases = make(map[topology.ShardID]*release)
	a.warmings = make(map[topology.ShardID]*warming)
	a.loads = make(map[topology.ShardNumber]*wire.ShardLoad)
	a.queue, a.running = nil, 0
	a.leaving, a.releasing, a.leavingSince = false, false, 0
	a.begin()
	a.every(agentTick, a.tick)
}

func (a *agent) drift() float64 {
	if a.cluster.has(DefectNoDriftBound) {
		return 0
	}
	return ownership.DefaultClockDrift
}

// granted takes a lease unless it was given up meanwhile.
func (a *agent) granted(sentAt, length time.Duration) {
	if a.withheld || sentAt < a.notBefore {
		return
	}
	if a.cluster.has(DefectLeaseFromReceipt) {
		sentAt = a.clock()
	}
	a.holder.Granted(sentAt, length)
	a.syncGrants()
}

func (a *agent) report() wire.Renew {
	renew := wire.Renew{Release: a.mustRelease(), Leaving: a.leaving}
	renew.Backend = wire.BackendLoad{Running: uint32(a.running), Queued: uint32(len(a.queue)), Claimed: uint32(a.running) + a.lying}
	numbers := make([]topology.ShardNumber, 0, len(a.loads))
	for number := range a.loads {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		renew.Load = append(renew.Load, *a.loads[number])
	}
	clear(a.loads)
	return renew
}

// mustRelease says that the agent wants no lease and its back end can't act on
// grants of the last one any more.
func (a *agent) mustRelease() bool {
	return a.releasing && a.clock() >= a.grants.PossibleUntil()
}

func (a *agent) tick() {
	a.syncGrants()
	a.stepReleases()
	for _, id := range sortedShards(a.warmings) {
		if running := a.warmings[id]; running.done {
			a.sendWarmed(running)
		}
	}
}

func sortedShards[T any](of map[topology.ShardID]T) []topology.ShardID {
	ids := make([]topology.ShardID, 0, len(of))
	for id := range of {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b topology.ShardID) int {
		if a.Service != b.Service {
			return int(a.Service) - int(b.Service)
		}
		return int(a.Shard) - int(b.Shard)
	})
	return ids
}

func (a *agent) refollow() {
	if a.table != nil {
		a.tableChanged(a.table)
	}
}

// tableChanged follows a new routing table.
func (a *agent) tableChanged(table *routing.Table) {
	self := a.subscriber.backend
	a.owned = make(map[topology.ShardID]topology.Shard)
	var shards []topology.Shard
	if known, ok := table.Backend(self); ok {
		a.followState(known.State)
		if service, found := table.Service(known.Service); found {
			for shard := range service.Shards() {
				shards = append(shards, *shard)
			}
		}
	}
	for _, shard := range shards {
		if shard.Owner == self {
			a.owned[shard.ID] = shard
		}
	}
	a.holder.SetShards(slices.Values(shards), self)
	a.followWarmings(shards, self)
	for _, id := range sortedShards(a.served) {
		if owned, ok := a.owned[id]; !ok || owned.Epoch != a.served[id].epoch {
			a.served[id].close()
			delete(a.served, id)
		}
	}
	a.followReleases()
	a.syncGrants()
}

// followState notes since when the back end leaves. One that learns of it
// without a lease was cut off or has just started, and takes no new work at
// all.
func (a *agent) followState(state topology.BackendState) {
	switch {
	case state == topology.BackendActive && !a.leaving:
		a.leavingSince = 0
	case a.leavingSince != 0:
	case a.holder.Valid(a.clock()):
		a.leavingSince = a.clock()
	default:
		a.leavingSince = a.clock() - leavingGrace
	}
}

// closedToNew reports whether the back end has been leaving for too long to
// take new work.
func (a *agent) closedToNew() bool {
	return a.leavingSince != 0 && a.clock()-a.leavingSince >= leavingGrace && !a.cluster.has(DefectIgnoreDrain)
}

// serve lets granted shards be served; a part that a split made begins before
// the shard it was part of.
func (a *agent) serve(granted []topology.Shard) {
	if len(granted) == 0 {
		return
	}
	slices.SortFunc(granted, func(x, y topology.Shard) int { return int(y.ID.Shard) - int(x.ID.Shard) })
	ranges := a.ranges()
	for _, shard := range granted {
		owned, still := a.owned[shard.ID]
		if !still || owned.Epoch != shard.Epoch {
			continue
		}
		if held, ok := a.served[shard.ID]; ok && held.epoch == shard.Epoch {
			continue
		}
		if _, err := a.ledger.Begin(shard.ID, shard.Epoch, ranges[shard.ID], a.unixMilli()); err != nil {
			continue
		}
		a.served[shard.ID] = &served{epoch: shard.Epoch}
	}
}

// ranges returns what each shard of this agent's service covers.
func (a *agent) ranges() map[topology.ShardID]requestrecord.Range {
	ranges := make(map[topology.ShardID]requestrecord.Range)
	known, ok := a.table.Backend(a.subscriber.backend)
	if !ok {
		return ranges
	}
	service, _ := a.table.Service(known.Service)
	var previous *topology.Shard
	for shard := range service.Shards() {
		if previous != nil {
			ranges[previous.ID] = requestrecord.Range{Start: previous.Start, Last: shard.Start - 1}
		}
		previous = shard
	}
	if previous != nil {
		ranges[previous.ID] = requestrecord.Range{Start: previous.Start, Last: math.MaxUint64}
	}
	return ranges
}

// warming is a shard that is to move here.
type warming struct {
	shard topology.ShardID
	epoch topology.Epoch
	done  bool
}

func (a *agent) followWarmings(shards []topology.Shard, self topology.BackendID) {
	wanted := make(map[topology.ShardID]topology.Epoch)
	for _, shard := range shards {
		if shard.Target == self && shard.Phase == topology.ShardWarming {
			wanted[shard.ID] = shard.Epoch
		}
	}
	for id, running := range a.warmings {
		if epoch, ok := wanted[id]; !ok || epoch != running.epoch {
			delete(a.warmings, id)
		}
	}
	for _, id := range sortedShards(wanted) {
		if _, ok := a.warmings[id]; !ok {
			a.startWarming(id, wanted[id])
		}
	}
}

func (a *agent) startWarming(id topology.ShardID, epoch topology.Epoch) {
	started := &warming{shard: id, epoch: epoch}
	a.warmings[id] = started
	server, life := a.backend, a.life
	a.cluster.network.send(a.process, server.process, func() {
		server.after(coldStart, func() {
			server.warm[id] = true
			a.cluster.network.answer(server.process, a.process, life, func() {
				started.done = true
				if a.warmings[id] == started {
					a.sendWarmed(started)
				}
			})
		})
	}, nil)
}

func (a *agent) sendWarmed(finished *warming) {
	a.send(wire.ToController{Warmed: &wire.Warmed{Shard: finished.shard, Epoch: finished.epoch}})
}
