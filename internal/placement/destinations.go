package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// destinations finds the least utilised eligible node in O(zones + log nodes),
// with a preference for a near zone.
type destinations struct {
	planner *planner
	zones   []zoneHeap
	zoneOf  map[topology.ZoneName]int
	mean    float64
}

// zoneHeap is a heap of the nodes of one zone, ordered by utilisation, then ID.
type zoneHeap struct {
	nodes   []node
	members []int
}

func (zone *zoneHeap) Len() int { return len(zone.members) }
func (zone *zoneHeap) Less(left, right int) bool {
	a, b := &zone.nodes[zone.members[left]], &zone.nodes[zone.members[right]]
	if order := cmp.Compare(a.utilisation(), b.utilisation()); order != 0 {
		return order < 0
	}
	return zone.members[left] < zone.members[right]
}
func (zone *zoneHeap) Swap(left, right int) {
	zone.members[left], zone.members[right] = zone.members[right], zone.members[left]
}
func (zone *zoneHeap) Push(member any) { zone.members = append(zone.members, member.(int)) }
func (zone *zoneHeap) Pop() any {
	last := len(zone.members) - 1
	member := zone.members[last]
	zone.members = zone.members[:last]
	return member
}

func newDestinations(planner *planner) *destinations {
	result := &destinations{planner: planner, zoneOf: make(map[topology.ZoneName]int), mean: planner.meanUtilisation()}
	for index := range planner.nodes {
		if !planner.nodes[index].eligible {
			continue
		}
		zone := planner.nodes[index].input.Backend.Location.Zone
		position, known := result.zoneOf[zone]
		if !known {
			position = len(result.zones)
			result.zoneOf[zone] = position
			result.zones = append(result.zones, zoneHeap{nodes: planner.nodes})
		}
		result.zones[position].members = append(result.zones[position].members, index)
	}
	for position := range result.zones {
		heap.Init(&result.zones[position])
	}
	return result
}

// leastUtilised returns the index of the zone whose first node is the least
// utilised, or of the near zone if its first node is within nearTolerance of it;
// -1 if there is no node.
func (destinations *destinations) leastUtilised(near topology.ZoneName) int {
	best, bestUtilisation := -1, 0.0
	for position := range destinations.zones {
		utilisation, some := destinations.leastUtilisation(position)
		if some && (best < 0 || utilisation < bestUtilisation) {
			best, bestUtilisation = position, utilisation
		}
	}
	position, known := destinations.zoneOf[near]
	if !known || best < 0 {
		return best
	}
	utilisation, some := destinations.leastUtilisation(position)
	if some && utilisation-bestUtilisation <= nearTolerance*destinations.mean {
		return position
	}
	return best
}

func (destinations *destinations) leastUtilisation(position int) (utilisation float64, some bool) {
	zone := &destinations.zones[position]
	if len(zone.members) == 0 {
		return 0, false
	}
	return zone.nodes[zone.members[0]].utilisation(), true
}

// leastUtilisedNode returns the first, least utilised node of a zone.
func (destinations *destinations) leastUtilisedNode(position int) *node {
	zone := &destinations.zones[position]
	return &zone.nodes[zone.members[0]]
}

// reorder restores the heap order after the load of a zone's first node changed.
func (destinations *destinations) reorder(position int) { heap.Fix(&destinations.zones[position], 0) }

// popLeast removes the first node of a zone from the destinations.
func (destinations *destinations) popLeast(position int) { heap.Pop(&destinations.zones[position]) }

// byLoadDescending sorts shard indices by load, largest first, then by index.
func (planner *planner) byLoadDescending(shards []int) {
	slices.SortFunc(shards, func(left, right int) int {
		if order := cmp.Compare(planner.loads[right], planner.loads[left]); order != 0 {
			return order
		}
		return cmp.Compare(left, right)
	})
}
