package experiment

import (
	"fmt"
	"strings"

	"github.com/quartzdock/quartzdock/internal/placement"
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
	Decide   func(placement.Input) []placement.Move
}

// Policies lists the policies by name, ours first.
func Policies() []Policy {
	return []Policy{
		{Name: "quartzdock", Title: "quartzdock, present", Handover: true, Decide: placement.Decide},
		{Name: "modulo", Title: "hash modulo", Baseline: true, Decide: byHash(modulo)},
		{Name: "consistent", Title: "consistent hashing, 128 virtual nodes", Baseline: true, Decide: byHash(consistent)},
		{Name: "rendezvous", Title: "rendezvous hashing", Baseline: true, Decide: byHash(rendezvous)},
		{Name: "bounded", Title: "consistent hashing with bounded loads, 1.25", Baseline: true, Decide: byHash(bounded)},
		{Name: "greedy", Title: "greedy least-loaded", Baseline: true, Decide: greedy},
		{Name: "greedy-handover", Title: "greedy least-loaded, with hand-over", Handover: true, Baseline: true, Decide: greedy},
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
