package placement

import (
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// priorLoadShare is the fraction of a service's load that is added evenly over
// its key space, so that shards without observed load are also spread over the
// back ends.
const priorLoadShare = 0.01

// planner holds the state of the decision for one service.
type planner struct {
	now     time.Duration
	service *ServiceInput
	policy  topology.PlacementPolicy
	nodes   []node
	// nodeOf finds a node by back end.
	nodeOf map[topology.BackendID]int
	// slots is the total number of slots of the eligible nodes.
	slots float64
	// loads holds the load of each shard, with announced shifts and prior load.
	loads []float64
	// planned tells which shards have a move in this decision.
	planned  []bool
	moves    []Move
	findings []Finding
	// loadMovesLeft is how many load moves the limit per minute still allows.
	loadMovesLeft int
	// splits counts the splits decided.
	splits int
	// deferred counts the moves of Decision.Deferred.
	deferred int
}

// node is the state of a back end during a decision.
type node struct {
	input *BackendInput
	slots float64
	// load includes shards that are moving to the node and excludes those that
	// are moving away from it.
	load float64
	// stableShards are the shards that the node owns and that are not moving.
	stableShards []int
	// moveCount counts moves from or to the node, in progress or decided.
	moveCount int
	// eligible says that the node may receive shards.
	eligible bool
	// evacuating says that all shards of the node are to be handed over.
	// restarting says that only those are for which waiting for the node's restart
	// would cost more.
	evacuating, restarting bool
}

// utilisation returns load divided by slots.
func (node *node) utilisation() float64 { return node.load / node.slots }

func newPlanner(now time.Duration, service *ServiceInput, backends []*BackendInput) *planner {
	policy := WithDefaults(service.Service.Placement)
	planner := &planner{
		now:     now,
		service: service,
		policy:  policy,
		nodeOf:  make(map[topology.BackendID]int, len(backends)),
		planned: make([]bool, len(service.Shards)),
	}
	budget := int(policy.MovesPerMinute)
	if service.Service.Placement.MovesPerMinute == 0 {
		budget = max(budget, DefaultMovesPerBackend*len(backends))
	}
	planner.loadMovesLeft = max(0, budget-int(service.RecentLoadMoves))
	for _, backend := range backends {
		planner.addNode(backend)
	}
	planner.allowFailingDestinations()
	for index := range planner.nodes {
		if planner.nodes[index].eligible {
			planner.slots += planner.nodes[index].slots
		}
	}
	planner.loads = shardLoads(now, service)
	planner.attributeShardLoads()
	return planner
}

func (planner *planner) addNode(backend *BackendInput) {
	waits := WaitsForRestart(planner.policy)
	leaves := backend.Backend.State == topology.BackendDraining || backend.Leaving && !waits
	planner.nodeOf[backend.Backend.ID] = len(planner.nodes)
	planner.nodes = append(planner.nodes, node{
		input:      backend,
		slots:      math.Max(1, float64(backend.Backend.Slots)),
		evacuating: leaves, restarting: backend.Leaving && !leaves,
		eligible: isEligible(backend) && !leaves && backend.FailureShare <= maximumFailureShare,
	})
}

func isEligible(backend *BackendInput) bool {
	return backend.Live && !backend.Leaving && backend.Backend.State == topology.BackendActive
}

// allowFailingDestinations makes nodes with a high share of failed requests
// eligible if there are no others: they may have recovered, and without an owner
// every request fails.
func (planner *planner) allowFailingDestinations() {
	for index := range planner.nodes {
		if planner.nodes[index].eligible {
			return
		}
	}
	for index := range planner.nodes {
		node := &planner.nodes[index]
		node.eligible = isEligible(node.input) && !node.evacuating
	}
}

// shardLoads returns the load of each shard: the observed load, raised to the
// load of announced shifts, plus prior load in proportion to the shard's part of
// the key space.
func shardLoads(now time.Duration, service *ServiceInput) []float64 {
	loads := make([]float64, len(service.Shards))
	var total float64
	for index := range service.Shards {
		loads[index] = math.Max(0, service.Shards[index].Load)
		total += loads[index]
	}
	raiseAnnouncedLoads(now, service, loads)
	prior := priorLoadShare * total
	if total == 0 {
		prior = 1
	}
	for index := range loads {
		loads[index] += prior * keyShare(service.Shards, index)
	}
	return loads
}

// raiseAnnouncedLoads raises the loads of shards with keys of announced load
// shifts to the load expected on these keys.
func raiseAnnouncedLoads(now time.Duration, service *ServiceInput, loads []float64) {
	for _, shift := range service.AnnouncedShifts {
		if now < shift.From-announcedShiftLead || now > shift.Until {
			continue
		}
		expected := make(map[int]float64)
		for _, key := range shift.Keys {
			expected[shardIndex(service.Shards, key)] += shift.Load
		}
		for index, load := range expected {
			if index >= 0 {
				loads[index] = math.Max(loads[index], load)
			}
		}
	}
}

// attributeShardLoads adds each shard's load to the node that owns it or that it
// is moving to.
func (planner *planner) attributeShardLoads() {
	for index := range planner.service.Shards {
		shard := &planner.service.Shards[index].Shard
		owner, owned := planner.nodeOf[shard.Owner]
		if !owned {
			continue
		}
		if !isMoving(shard) {
			planner.nodes[owner].load += planner.loads[index]
			planner.nodes[owner].stableShards = append(planner.nodes[owner].stableShards, index)
			continue
		}
		planner.nodes[owner].moveCount++
		if target, known := planner.nodeOf[shard.Target]; known {
			planner.nodes[target].moveCount++
			planner.nodes[target].load += planner.loads[index]
		}
	}
}

func isMoving(shard *topology.Shard) bool {
	return shard.Phase == topology.ShardWarming || shard.Phase == topology.ShardReleasing
}

// keyShare returns the fraction of the key space that a shard covers.
func keyShare(shards []ShardInput, index int) float64 {
	return float64(rangeWidth(shards, index)) / math.MaxUint64
}

// rangeWidth returns the number of key hashes in a shard's range. For the whole
// key space it returns math.MaxUint64, which is one less than the number.
func rangeWidth(shards []ShardInput, index int) uint64 {
	start := uint64(shards[index].Shard.Start)
	if index+1 < len(shards) {
		return uint64(shards[index+1].Shard.Start) - start
	}
	if start == 0 {
		return math.MaxUint64
	}
	return -start
}

// shardIndex returns the index of the shard that holds a key, or -1.
func shardIndex(shards []ShardInput, key topology.KeyHash) int {
	low, high := 0, len(shards)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if shards[middle].Shard.Start <= key {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low - 1
}

// addMove adds a move to the decision and updates the loads of its nodes.
func (planner *planner) addMove(index int, move Move) {
	planner.planned[index] = true
	planner.moves = append(planner.moves, move)
	if from, known := planner.nodeOf[move.From]; known && move.From != move.To {
		planner.nodes[from].load -= planner.loads[index]
		planner.nodes[from].moveCount++
	}
	if to, known := planner.nodeOf[move.To]; known && move.From != move.To {
		planner.nodes[to].load += planner.loads[index]
		planner.nodes[to].moveCount++
	}
}

// meanUtilisation returns the service's load divided by the slots of the
// eligible nodes, or 0 if there are none.
func (planner *planner) meanUtilisation() float64 {
	var load, slots float64
	for index := range planner.nodes {
		node := &planner.nodes[index]
		load += node.load
		if node.eligible {
			slots += node.slots
		}
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}
