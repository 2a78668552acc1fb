package experiment

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

const (
	// virtualNodes per back end on the ring.
	virtualNodes = 128
	// boundedFactor is the greatest load over the mean that bounded loads
	// allow.
	boundedFactor = 1.25
	// greedyFactor is the load over the mean above which greedy moves a shard.
	greedyFactor = 1.10
)

// members are the back ends that may own shards, ordered by identity.
type members []placement.BackendInput

func serving(input *placement.Input, service topology.ServiceID) members {
	var result members
	for _, backend := range input.Backends {
		active := backend.Backend.State == topology.BackendActive && !backend.Leaving
		if backend.Live && active && backend.Backend.Service == service {
			result = append(result, backend)
		}
	}
	slices.SortFunc(result, func(left, right placement.BackendInput) int {
		return cmp.Compare(left.Backend.ID, right.Backend.ID)
	})
	return result
}

// hashRule returns the owner, by index of its member, of each shard.
type hashRule func(shards []placement.ShardInput, members members) []int

// byHash makes a policy of a rule: whatever is not at its place moves there.
func byHash(rule hashRule) func(placement.Input) placement.Decision {
	return func(input placement.Input) placement.Decision {
		var moves []placement.Move
		for _, service := range input.Services {
			serving := serving(&input, service.Service.ID)
			if len(serving) == 0 {
				continue
			}
			owners := rule(service.Shards, serving)
			for index, owner := range owners {
				moves = appendMove(moves, &input, &service.Shards[index].Shard, serving[owner].Backend.ID)
			}
		}
		return placement.Decision{Moves: moves}
	}
}

// appendMove adds the move of a shard to its new owner, if it is settled
// elsewhere.
func appendMove(moves []placement.Move, input *placement.Input, shard *topology.Shard, to topology.BackendID) []placement.Move {
	if shard.Owner == to {
		return moves
	}
	move := placement.Move{Shard: shard.ID, From: shard.Owner, To: to, Kind: placement.KindDrain, Reason: "rule of the baseline"}
	switch {
	case shard.Owner == 0:
		move.Kind = placement.KindAssign
	case !isLive(input, shard.Owner):
		move.Kind = placement.KindRecover
	case shard.Phase != topology.ShardOwned:
		return moves
	}
	return append(moves, move)
}

func isLive(input *placement.Input, id topology.BackendID) bool {
	for index := range input.Backends {
		if input.Backends[index].Backend.ID == id {
			return input.Backends[index].Live
		}
	}
	return false
}

// hashOf mixes two numbers.
func hashOf(first, second uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], first)
	binary.LittleEndian.PutUint64(buffer[8:], second)
	return xxhash.Sum64(buffer[:])
}

// modulo takes the shard's position in order modulo the number of members.
func modulo(shards []placement.ShardInput, members members) []int {
	owners := make([]int, len(shards))
	for index := range shards {
		owners[index] = int(hashOf(uint64(shards[index].Shard.Start), 0) % uint64(len(members)))
	}
	return owners
}

// point is a virtual node on the ring.
type point struct {
	position uint64
	member   int
}

func ring(members members) []point {
	points := make([]point, 0, virtualNodes*len(members))
	for index := range members {
		for number := range virtualNodes {
			position := hashOf(uint64(members[index].Backend.ID), uint64(number))
			points = append(points, point{position: position, member: index})
		}
	}
	slices.SortFunc(points, func(left, right point) int { return cmp.Compare(left.position, right.position) })
	return points
}

// successor is the index of the first point at or after a position.
func successor(points []point, position uint64) int {
	index, _ := slices.BinarySearchFunc(points, position, func(at point, wanted uint64) int {
		return cmp.Compare(at.position, wanted)
	})
	return index % len(points)
}

// consistent is consistent hashing (Karger et al., STOC 1997).
func consistent(shards []placement.ShardInput, members members) []int {
	points := ring(members)
	owners := make([]int, len(shards))
	for index := range shards {
		owners[index] = points[successor(points, hashOf(uint64(shards[index].Shard.Start), 1))].member
	}
	return owners
}

// rendezvous is highest random weight (Thaler and Ravishankar, 1996).
func rendezvous(shards []placement.ShardInput, members members) []int {
	owners := make([]int, len(shards))
	for index := range shards {
		best := uint64(0)
		for number := range members {
			weight := hashOf(uint64(shards[index].Shard.Start), uint64(members[number].Backend.ID))
			if weight >= best {
				best, owners[index] = weight, number
			}
		}
	}
	return owners
}

// bounded is consistent hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2018): a shard goes on round the ring while the member found
// would carry more than boundedFactor of the mean.
func bounded(shards []placement.ShardInput, members members) []int {
	points := ring(members)
	loads := make([]float64, len(members))
	total := 0.0
	for index := range shards {
		total += shardWeight(shards, index)
	}
	limit := boundedFactor * total / float64(len(members))
	owners := make([]int, len(shards))
	for index := range shards {
		weight := shardWeight(shards, index)
		at := successor(points, hashOf(uint64(shards[index].Shard.Start), 1))
		for range points {
			if loads[points[at].member]+weight <= limit {
				break
			}
			at = (at + 1) % len(points)
		}
		owners[index] = points[at].member
		loads[owners[index]] += weight
	}
	return owners
}

// shardWeight is a shard's observed load, or its part of the keys where no load
// was seen.
func shardWeight(shards []placement.ShardInput, index int) float64 {
	return shards[index].Load + 1e-3/float64(len(shards))
}

// greedy moves the hottest shard that fits from the most to the least loaded
// member, one at a time, without regard to cost.
func greedy(input placement.Input) placement.Decision {
	var moves []placement.Move
	for index := range input.Services {
		service := &input.Services[index]
		members := serving(&input, service.Service.ID)
		if len(members) == 0 {
			continue
		}
		moves = append(moves, greedyService(&input, service, members)...)
	}
	return placement.Decision{Moves: moves}
}

func greedyService(input *placement.Input, service *placement.ServiceInput, members members) []placement.Move {
	loads := make(map[topology.BackendID]float64)
	total := 0.0
	for index := range service.Shards {
		shard := &service.Shards[index]
		weight := shardWeight(service.Shards, index)
		total += weight
		loads[holderOf(&shard.Shard)] += weight
	}
	var moves []placement.Move
	for index := range service.Shards {
		shard := &service.Shards[index].Shard
		if shard.Owner == 0 || !isMember(members, shard.Owner) {
			to := leastLoaded(members, loads)
			before := len(moves)
			moves = appendMove(moves, input, shard, to)
			if len(moves) > before {
				loads[to] += shardWeight(service.Shards, index)
			}
		}
	}
	mean := total / float64(len(members))
	if len(moves) > 0 || mean == 0 {
		return moves
	}
	return greedyStep(service, members, loads, mean)
}

// greedyStep moves the hottest shard that does not make the least loaded member
// the most loaded.
func greedyStep(service *placement.ServiceInput, members members, loads map[topology.BackendID]float64, mean float64) []placement.Move {
	from, to := mostLoaded(members, loads), leastLoaded(members, loads)
	if loads[from] <= greedyFactor*mean {
		return nil
	}
	best := -1
	for index := range service.Shards {
		shard := &service.Shards[index].Shard
		fits := shard.Owner == from && shard.Phase == topology.ShardOwned &&
			loads[to]+shardWeight(service.Shards, index) < loads[from]
		if fits && (best < 0 || service.Shards[index].Load > service.Shards[best].Load) {
			best = index
		}
	}
	if best < 0 {
		return nil
	}
	return []placement.Move{{
		Shard: service.Shards[best].Shard.ID, From: from, To: to,
		Kind: placement.KindBalance, Reason: "hottest shard that fits",
	}}
}

// holderOf is where a shard's load is or will be.
func holderOf(shard *topology.Shard) topology.BackendID {
	if shard.Target != 0 {
		return shard.Target
	}
	return shard.Owner
}

func isMember(members members, id topology.BackendID) bool {
	for index := range members {
		if members[index].Backend.ID == id {
			return true
		}
	}
	return false
}

func leastLoaded(members members, loads map[topology.BackendID]float64) topology.BackendID {
	best, least := topology.BackendID(0), math.Inf(1)
	for index := range members {
		if id := members[index].Backend.ID; loads[id] < least {
			best, least = id, loads[id]
		}
	}
	return best
}

func mostLoaded(members members, loads map[topology.BackendID]float64) topology.BackendID {
	best, most := topology.BackendID(0), math.Inf(-1)
	for index := range members {
		if id := members[index].Backend.ID; loads[id] > most {
			best, most = id, loads[id]
		}
	}
	return best
}
