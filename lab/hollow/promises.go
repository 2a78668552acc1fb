package hollow

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// TwoOwnersError says that two agents would both have admitted work for one
// shard in an order that no change of owner explains.
type TwoOwnersError struct {
	Earlier, Later claim
}

// Error implements error.
func (e *TwoOwnersError) Error() string {
	return fmt.Sprintf("shard %s: back end %d admitted at epoch %d, then back end %d at epoch %d",
		e.Later.Shard, e.Earlier.Backend, e.Earlier.Epoch, e.Later.Backend, e.Later.Epoch)
}

// checkClaims reports each shard that was claimed by two agents, unless the
// later claim is of a higher epoch and the owner has simply changed.
func checkClaims(claims []claim) error {
	ordered := slices.Clone(claims)
	slices.SortStableFunc(ordered, func(a, b claim) int { return a.At.Compare(b.At) })
	latest := make(map[topology.ShardID]claim, len(ordered))
	var findings []error
	for _, later := range ordered {
		earlier, claimed := latest[later.Shard]
		if claimed && earlier.Backend != later.Backend && earlier.Epoch >= later.Epoch {
			findings = append(findings, &TwoOwnersError{earlier, later})
		}
		if !claimed || later.Epoch > earlier.Epoch {
			latest[later.Shard] = later
		}
	}
	return errors.Join(findings...)
}

// Promises is what a check of a settled fleet found in order.
type Promises struct {
	// Claims is how many shards agents would admit work for.
	Claims int
	// Nodes at the last revision, which is Revision.
	Nodes    int
	Revision topology.Revision
}

// promises checks a settled fleet: one owner per shard, no table older than
// the one before, every node at the last revision.
func (f *hollowFleet) promises(ctx context.Context) (Promises, error) {
	if err := f.settle(ctx); err != nil {
		return Promises{}, err
	}
	claims, err := f.claims()
	if err != nil {
		return Promises{}, err
	}
	samples, err := f.sampleWorkers()
	if err != nil {
		return Promises{}, err
	}
	found := Promises{
		Claims:   len(claims),
		Nodes:    samples.agents.Nodes + samples.routers.Nodes + samples.single.Nodes,
		Revision: min(samples.agents.Lowest, samples.routers.Lowest, samples.single.Lowest),
	}
	findings := []error{checkClaims(claims)}
	if reverted := samples.agents.Reverted + samples.routers.Reverted + samples.single.Reverted; reverted > 0 {
		findings = append(findings, fmt.Errorf("%d tables were older than the one before", reverted))
	}
	if found.Claims > samples.routers.Shards {
		findings = append(findings, fmt.Errorf("%d claims for %d shards", found.Claims, samples.routers.Shards))
	}
	return found, errors.Join(findings...)
}
