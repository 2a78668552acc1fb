package placement

import (
	"cmp"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Decide returns the moves to begin now, most urgent first. No shard is part of
// two of them. Shards that are already moving are not changed unless their owner
// is lost.
func Decide(input Input) []Move {
	return Evaluate(input).Moves
}

// Evaluate returns the moves of Decide and the findings for the operator.
func Evaluate(input Input) Decision {
	byService := backendsByService(input.Backends)
	var decision Decision
	for index := range input.Services {
		service := &input.Services[index]
		planner := newPlanner(input.Now, service, byService[service.Service.ID])
		planner.assignOwners()
		planner.drain()
		planner.balance()
		planner.reshard()
		planner.report()
		decision.Moves = append(decision.Moves, planner.moves...)
		decision.Findings = append(decision.Findings, planner.findings...)
		decision.Deferred += planner.deferred
	}
	return decision
}

// backendsByService groups back ends by service and sorts each group by ID, so
// that the order of the input has no influence.
func backendsByService(backends []BackendInput) map[topology.ServiceID][]*BackendInput {
	groups := make(map[topology.ServiceID][]*BackendInput)
	for index := range backends {
		backend := &backends[index]
		groups[backend.Backend.Service] = append(groups[backend.Backend.Service], backend)
	}
	for _, group := range groups {
		slices.SortFunc(group, func(left, right *BackendInput) int {
			return cmp.Compare(left.Backend.ID, right.Backend.ID)
		})
	}
	return groups
}
