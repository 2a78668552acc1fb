package hollow

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quartzdock/quartzdock/internal/ownership"
	"github.com/quartzdock/quartzdock/internal/routing"
	"github.com/quartzdock/quartzdock/internal/subscription"
	"github.com/quartzdock/quartzdock/internal/topology"
	"github.com/quartzdock/quartzdock/internal/wire"
)

// answersRepeat is after how many renewals an unheeded answer is sent again.
const answersRepeat = 8

// keptArrivals is how many revisions a node remembers the arrival of.
const keptArrivals = 512

// NodeSpec says what a hollow node is.
type NodeSpec struct {
	Role     topology.Role
	Name     string
	Address  string
	Location topology.Location
	// Services limits the routing data; empty asks for all.
	Services []topology.ServiceID
}

// arrival is when a node had a revision in force.
type arrival struct {
	revision topology.Revision
	at       time.Time
}

// node is one hollow agent or router.
type node struct {
	spec   NodeSpec
	clock  func() time.Duration
	client *subscription.Client
	holder *ownership.Holder // nil for a router
	loads  *loadSource
	frozen gate

	backend atomic.Uint32
	service atomic.Uint32
	// owned is what the agent's table says that it owns, awaited what waits
	// for its word. Both slices are never changed once stored.
	owned   atomic.Pointer[[]topology.Shard]
	awaited atomic.Pointer[[]topology.Shard]
	// reports counts Renews, on the session's sending goroutine.
	reports int
	// reverted counts tables older than the one before.
	reverted atomic.Uint64

	mutex    sync.Mutex
	arrivals []arrival
}

// startNode opens a node's session.
func startNode(spec NodeSpec, worker *worker) (*node, error) {
	n := &node{spec: spec, clock: worker.clock, loads: worker.loads}
	config := subscription.Config{
		Group:       worker.group,
		Role:        spec.Role,
		Name:        spec.Name,
		Location:    spec.Location,
		Address:     spec.Address,
		Controllers: worker.controllers,
		Services:    spec.Services,
		OnTable:     n.onTable,
		Now:         worker.clock,
	}
	if worker.tables != nil {
		config.Tables = worker.tables
	}
	if spec.Role == topology.RoleAgent {
		n.holder = ownership.NewHolder(ownership.DefaultClockDrift)
		config.Lease = n.holder
		config.Report = n.report
		config.OnWelcome = n.onWelcome
	}
	client, err := subscription.Start(config)
	if err != nil {
		return nil, err
	}
	n.client = client
	return n, nil
}

func (n *node) onWelcome(welcome wire.Welcome) {
	n.backend.Store(uint32(welcome.Backend))
	n.service.Store(uint32(welcome.Service))
}

// onTable runs on the session's goroutine. A frozen node waits here.
func (n *node) onTable(table *routing.Table) {
	n.frozen.pass()
	n.recordArrival(table.Revision())
	if n.holder != nil {
		n.takePart(table)
	}
}

func (n *node) recordArrival(revision topology.Revision) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if last := len(n.arrivals) - 1; last >= 0 && revision < n.arrivals[last].revision {
		n.reverted.Add(1)
	}
	if len(n.arrivals) == keptArrivals {
		n.arrivals = append(n.arrivals[:0], n.arrivals[keptArrivals/2:]...)
	}
	n.arrivals = append(n.arrivals, arrival{revision, time.Now()})
}

// reached returns when the node first had a revision, or a later one, in force.
func (n *node) reached(revision topology.Revision) (time.Time, bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, entry := range n.arrivals {
		if entry.revision >= revision {
			return entry.at, true
		}
	}
	return time.Time{}, false
}

// takePart sets the agent's grants and answers what its shards' phases ask for:
// a shard that comes is warm at once, and one that goes has nothing running.
func (n *node) takePart(table *routing.Table) {
	self := topology.BackendID(n.backend.Load())
	service, known := table.Service(topology.ServiceID(n.service.Load()))
	if !known || self == 0 {
		return
	}
	var owned, awaited []topology.Shard
	for shard := range service.Shards() {
		if shard.Owner == self {
			owned = append(owned, *shard)
		}
		if awaits(shard, self) {
			awaited = append(awaited, *shard)
		}
	}
	n.owned.Store(&owned)
	n.awaited.Store(&awaited)
	n.holder.SetShards(slices.Values(owned), self)
	n.answerPhases(awaited)
}

// awaits says whether the shard's phase waits for this agent's word.
func awaits(shard *topology.Shard, self topology.BackendID) bool {
	warming := shard.Phase == topology.ShardWarming && shard.Target == self
	releasing := shard.Phase == topology.ShardReleasing && shard.Owner == self
	return warming || releasing
}

func (n *node) answerPhases(awaited []topology.Shard) {
	for _, shard := range awaited {
		var answer wire.ToController
		if shard.Phase == topology.ShardWarming {
			answer.Warmed = &wire.Warmed{Shard: shard.ID, Epoch: shard.Epoch}
		} else {
			answer.Released = &wire.Released{Shard: shard.ID, Epoch: shard.Epoch, RecordMoved: true}
		}
		_ = n.client.Send(answer) // repeated by report until the phase changes
	}
}

// report fills a Renew; a frozen agent waits here and renews nothing.
func (n *node) report() wire.Renew {
	n.frozen.pass()
	n.reports++
	if awaited := n.awaited.Load(); awaited != nil && n.reports%answersRepeat == 0 {
		n.answerPhases(*awaited)
	}
	owned := n.owned.Load()
	if owned == nil || n.loads == nil || n.reports%n.loads.every != 0 {
		return wire.Renew{LoadOmitted: true}
	}
	return n.loads.report(*owned)
}

func (n *node) stop() {
	n.frozen.open()
	n.client.Stop()
}

// gate stops whoever passes while it is shut.
type gate struct {
	mutex sync.Mutex
	shut  chan struct{}
}

func (g *gate) close() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.shut == nil {
		g.shut = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.shut != nil {
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) pass() {
	g.mutex.Lock()
	shut := g.shut
	g.mutex.Unlock()
	if shut != nil {
		<-shut
	}
}
