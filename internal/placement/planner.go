package placement

import (
	"math"
	"time"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// priorShare is the part of a service's load that is spread over its key space
// regardless of what was observed, so that shards without load still spread.
const priorShare = 0.01

// planner decides one service.
type planner struct {
	now     time.Duration
	service *ServiceInput
	policy  topology.PlacementPolicy
	nodes   []node
	// nodeOf finds a node by back end.
	nodeOf map[topology.BackendID]int
	// slots of all nodes that receive.
	slots float64
	// loads of the shards, with marks and prior.
	loads []float64
	// planned marks shards that have a move in this decision.
	planned  []bool
	moves    []Move
	findings []Finding
	// loadMovesLeft is what remains of the budget per minute.
	loadMovesLeft int
	// splits counts the splits decided.
	splits int
	// waiting counts wanted moves that the limit on moves at once holds back.
	waiting int
}

// node is a back end during a decision.
type node struct {
	input *BackendInput
	slots float64
	// load includes shards that are on their way to the node, and leaves out
	// those on their way from it.
	load float64
	// settled are the shards that the node owns and that are not moving.
	settled []int
	// moving counts moves in progress and decided from or to the node.
	moving int
	// receives says that the node may be given shards.
	receives bool
	// leaves says that the node's shards are to be handed over; restarts that
	// those are which would lose more by waiting for the node to return.
	leaves, restarts bool
}

// utilisation is load over slots.
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
	planner.receiveSomewhere()
	for index := range planner.nodes {
		if planner.nodes[index].receives {
			planner.slots += planner.nodes[index].slots
		}
	}
	planner.loads = shardLoads(now, service)
	planner.settleShards()
	return planner
}

func (planner *planner) addNode(backend *BackendInput) {
	waits := WaitsForRestart(planner.policy)
	leaves := backend.Backend.State == topology.BackendDraining || backend.Leaving && !waits
	planner.nodeOf[backend.Backend.ID] = len(planner.nodes)
	planner.nodes = append(planner.nodes, node{
		input:  backend,
		slots:  math.Max(1, float64(backend.Backend.Slots)),
		leaves: leaves, restarts: backend.Leaving && !leaves,
		receives: mayReceive(backend) && !leaves && backend.FailureShare <= maximumFailureShare,
	})
}

func mayReceive(backend *BackendInput) bool {
	return backend.Live && !backend.Leaving && backend.Backend.State == topology.BackendActive
}

// receiveSomewhere lets nodes receive whose requests failed, where there are no
// others: they may have recovered, and without an owner every request fails.
func (planner *planner) receiveSomewhere() {
	for index := range planner.nodes {
		if planner.nodes[index].receives {
			return
		}
	}
	for index := range planner.nodes {
		node := &planner.nodes[index]
		node.receives = mayReceive(node.input) && !node.leaves
	}
}

// shardLoads returns the load of each shard: what was observed, raised to what
// a mark announces, plus a prior in proportion to the keys.
func shardLoads(now time.Duration, service *ServiceInput) []float64 {
	loads := make([]float64, len(service.Shards))
	var total float64
	for index := range service.Shards {
		loads[index] = math.Max(0, service.Shards[index].Load)
		total += loads[index]
	}
	raiseMarked(now, service, loads)
	prior := priorShare * total
	if total == 0 {
		prior = 1
	}
	for index := range loads {
		loads[index] += prior * keyShare(service.Shards, index)
	}
	return loads
}

// raiseMarked raises the loads of shards whose keys are marked as hot.
func raiseMarked(now time.Duration, service *ServiceInput, loads []float64) {
	for _, mark := range service.Marks {
		if now < mark.From-markLead || now > mark.Until {
			continue
		}
		expected := make(map[int]float64)
		for _, key := range mark.Keys {
			expected[shardIndex(service.Shards, key)] += mark.Load
		}
		for index, load := range expected {
			if index >= 0 {
				loads[index] = math.Max(loads[index], load)
			}
		}
	}
}

// settleShards attributes each shard's load to the node that owns it or will.
func (planner *planner) settleShards() {
	for index := range planner.service.Shards {
		shard := &planner.service.Shards[index].Shard
		owner, owned := planner.nodeOf[shard.Owner]
		if !owned {
			continue
		}
		if !isMoving(shard) {
			planner.nodes[owner].load += planner.loads[index]
			planner.nodes[owner].settled = append(planner.nodes[owner].settled, index)
			continue
		}
		planner.nodes[owner].moving++
		if target, known := planner.nodeOf[shard.Target]; known {
			planner.nodes[target].moving++
			planner.nodes[target].load += planner.loads[index]
		}
	}
}

func isMoving(shard *topology.Shard) bool {
	return shard.Phase == topology.ShardWarming || shard.Phase == topology.ShardReleasing
}

// keyShare returns the part of the key space that a shard covers.
func keyShare(shards []ShardInput, index int) float64 {
	return float64(rangeWidth(shards, index)) / math.MaxUint64
}

// rangeWidth returns the number of positions in a shard's range. The whole
// space counts as the greatest number.
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

// shardIndex returns the shard that holds a key, or -1.
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

// take records a move and its effect on the nodes' loads.
func (planner *planner) take(index int, move Move) {
	planner.planned[index] = true
	planner.moves = append(planner.moves, move)
	if from, known := planner.nodeOf[move.From]; known && move.From != move.To {
		planner.nodes[from].load -= planner.loads[index]
		planner.nodes[from].moving++
	}
	if to, known := planner.nodeOf[move.To]; known && move.From != move.To {
		planner.nodes[to].load += planner.loads[index]
		planner.nodes[to].moving++
	}
}

// meanUtilisation is the service's load over the slots of the nodes that may
// receive, or 0 if there are none.
func (planner *planner) meanUtilisation() float64 {
	var load, slots float64
	for index := range planner.nodes {
		node := &planner.nodes[index]
		load += node.load
		if node.receives {
			slots += node.slots
		}
	}
	if slots == 0 {
		return 0
	}
	return load / slots
}
