package experiment

import (
	"fmt"
	"strings"

	"github.com/quartzdock/quartzdock/internal/placement"
	"github.com/quartzdock/quartzdock/internal/topology"
)

// Policy decides owners in a run.
type Policy struct {
	Name string
	// Title in a few words.
	Title string
	// Handover says that a target is made warm while the owner still serves,
	// and that the owner finishes what runs. Without it the target starts cold
	// after the owner stopped.
	Handover bool
	// Baseline marks policies of others.
	Baseline bool
	Evaluate func(placement.Input) placement.Decision
	// WaitsForRestart says that a planned restart keeps its shards instead of
	// handing them over; nil is never.
	WaitsForRestart func(topology.PlacementPolicy) bool
}

// Policies lists the policies by name, ours first.
func Policies() []Policy {
	return []Policy{
		{Name: "quartzdock", Title: "quartzdock, present", Handover: true, Evaluate: placement.Evaluate, WaitsForRestart: placement.WaitsForRestart},
		{Name: "modulo", Title: "hash modulo", Baseline: true, Evaluate: byHash(modulo)},
		{Name: "consistent", Title: "consistent hashing, 128 virtual nodes", Baseline: true, Evaluate: byHash(consistent)},
		{Name: "rendezvous", Title: "rendezvous hashing", Baseline: true, Evaluate: byHash(rendezvous)},
		{Name: "bounded", Title: "consistent hashing with bounded loads, 1.25", Baseline: true, Evaluate: byHash(bounded)},
		{Name: "greedy", Title: "greedy least-loaded", Baseline: true, Evaluate: greedy},
		{Name: "greedy-handover", Title: "greedy least-loaded, with hand-over", Handover: true, Baseline: true, Evaluate: greedy},
	}
}

// PolicyByName finds a policy.
func PolicyByName(name string) (Policy, error) {
	var names []string
	for _, policy := range Policies() {
		if policy.Name == name {
			return policy, nil
		}
		names = append(names, policy.Name)
	}
	return Policy{}, fmt.Errorf("policy %q is unknown; known are %s", name, strings.Join(names, ", "))
}
