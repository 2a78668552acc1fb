package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// destinations finds the least utilised node that may receive, in
// O(zones + log nodes), with a preference for a near zone.
type destinations struct {
	planner *planner
	zones   []zoneHeap
	zoneOf  map[topology.ZoneName]int
	mean    float64
}

// zoneHeap orders the nodes of one zone by utilisation, then identity.
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
		if !planner.nodes[index].receives {
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

// least returns the zone whose first node is the least utilised, or the near
// zone if its first node is about as little utilised; -1 if there is none.
func (destinations *destinations) least(near topology.ZoneName) int {
	best, bestUtilisation := -1, 0.0
	for position := range destinations.zones {
		utilisation, some := destinations.first(position)
		if some && (best < 0 || utilisation < bestUtilisation) {
			best, bestUtilisation = position, utilisation
		}
	}
	position, known := destinations.zoneOf[near]
	if !known || best < 0 {
		return best
	}
	utilisation, some := destinations.first(position)
	if some && utilisation-bestUtilisation <= nearTolerance*destinations.mean {
		return position
	}
	return best
}

func (destinations *destinations) first(position int) (utilisation float64, some bool) {
	zone := &destinations.zones[position]
	if len(zone.members) == 0 {
		return 0, false
	}
	return zone.nodes[zone.members[0]].utilisation(), true
}

// node returns the first node of a zone.
func (destinations *destinations) node(position int) *node {
	zone := &destinations.zones[position]
	return &zone.nodes[zone.members[0]]
}

// changed restores the order after the load of a zone's first node changed.
func (destinations *destinations) changed(position int) { heap.Fix(&destinations.zones[position], 0) }

// dropFirst takes a zone's first node out of consideration.
func (destinations *destinations) dropFirst(position int) { heap.Pop(&destinations.zones[position]) }

// byLoadDescending orders shard indices by load, largest first, then by
// position.
func (planner *planner) byLoadDescending(shards []int) {
	slices.SortFunc(shards, func(left, right int) int {
		if order := cmp.Compare(planner.loads[right], planner.loads[left]); order != 0 {
			return order
		}
		return cmp.Compare(left, right)
	})
}
