package hollow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/quartzdock/quartzdock/internal/topology"
)

// Spread is how long something took at the nodes.
type Spread struct {
	Median, Last time.Duration
}

// propagation changes the configuration once and measures how long the change
// takes to all nodes, counted from before the call, and until the controllers
// know of it.
func (f *hollowFleet) propagation(ctx context.Context, number int) (Propagation, error) {
	service := f.service(number % f.plan.Services)
	service.Rules[0].Timeout = durationpb.New(time.Second + time.Duration(number+1)*time.Millisecond)
	began := time.Now()
	revision, err := f.operator.change(ctx, service)
	if err != nil {
		return Propagation{}, err
	}
	result := Propagation{Accepted: time.Since(began)}
	everywhere, err := f.operator.waitInForce(ctx, revision)
	if err != nil {
		return Propagation{}, err
	}
	if !everywhere {
		return Propagation{}, fmt.Errorf("revision %d is not in force everywhere", revision)
	}
	result.Known = time.Since(began)
	result.InForce, err = f.reached(ctx, revision, began)
	return result, err
}

// Propagation is the time of one change from its call.
type Propagation struct {
	// Accepted by the group, InForce at the nodes, Known to be in force.
	Accepted time.Duration
	InForce  Spread
	Known    time.Duration
}

// reached waits until all nodes that are not frozen have a revision and
// returns how long after a time they had it.
func (f *hollowFleet) reached(ctx context.Context, revision topology.Revision, since time.Time, except ...string) (Spread, error) {
	var spread Spread
	err := f.wait(ctx, fmt.Sprintf("revision %d at all nodes", revision), func() (bool, string, error) {
		var took []time.Duration
		missing := -len(except)
		for _, worker := range f.workers() {
			answer, err := worker.ask(order{Reached: &reachedOrder{revision}})
			if err != nil {
				return false, "", err
			}
			missing += answer.Reached.Missing
			for _, at := range answer.Reached.Times {
				took = append(took, at.Sub(since))
			}
		}
		if missing > 0 || len(took) == 0 {
			return false, fmt.Sprintf("%d nodes missing", missing), nil
		}
		slices.Sort(took)
		spread = Spread{Median: took[len(took)/2], Last: took[len(took)-1]}
		return true, "", nil
	})
	return spread, err
}

// LossTimes are counted from the moment when the agents froze.
type LossTimes struct {
	Agents, Shards int
	// First and Last new owner committed, as the first router knew.
	First, Last time.Duration
	// Everywhere is when all nodes that live on had the last new owner in force.
	Everywhere Spread
	// GroupProcessor is what the controllers used until then.
	GroupProcessor time.Duration
}

// lose freezes agents all at once, as if their machines had gone, and measures
// the time to new owners. Afterwards they go on as if nothing had happened.
func (f *hollowFleet) lose(ctx context.Context, lost []int) (LossTimes, error) {
	var names []string
	var backends []topology.BackendID
	for _, agent := range lost {
		names = append(names, agentSpec(agent).Name)
		backends = append(backends, f.backends[agent])
	}
	if _, err := f.routers.ask(order{Watch: &watchOrder{backends}}); err != nil {
		return LossTimes{}, err
	}
	before, err := f.snapshot()
	if err != nil {
		return LossTimes{}, err
	}
	claims, err := f.claims()
	if err != nil {
		return LossTimes{}, err
	}
	began := time.Now()
	if _, err := f.agents.ask(order{Freeze: &namesOrder{names}}); err != nil {
		return LossTimes{}, err
	}
	times, err := f.newOwners(ctx, began, names)
	times.Agents = len(lost)
	after, snapshotErr := f.snapshot()
	afterLoss, claimsErr := f.claims()
	_, thawErr := f.agents.ask(order{Thaw: &namesOrder{names}})
	afterReturn, returnErr := f.claims()
	if err := errors.Join(err, snapshotErr, claimsErr, thawErr, returnErr); err != nil {
		return LossTimes{}, err
	}
	times.GroupProcessor = compare(before, after, 0).GroupProcessor
	return times, checkClaims(slices.Concat(claims, afterLoss, afterReturn))
}

// claims asks all agents, frozen ones too, what they would admit now.
func (f *hollowFleet) claims() ([]claim, error) {
	answer, err := f.agents.ask(order{Claims: &claimsOrder{}})
	return answer.Claims, err
}

// newOwners waits until none of the watched shards is left with the lost.
func (f *hollowFleet) newOwners(ctx context.Context, began time.Time, lost []string) (LossTimes, error) {
	var seen Watched
	err := f.wait(ctx, "new owners", func() (bool, string, error) {
		answer, err := f.routers.ask(order{Watched: &watchedOrder{}})
		if err != nil {
			return false, "", err
		}
		seen = *answer.Watched
		return seen.Done != 0, fmt.Sprintf("first at revision %d", seen.First), nil
	})
	if err != nil {
		return LossTimes{}, err
	}
	everywhere, err := f.reached(ctx, seen.Done, began, lost...)
	if seen.Before == 0 {
		return LossTimes{}, errors.New("the lost agents owned no shard")
	}
	return LossTimes{
		Shards: seen.Before, First: seen.FirstAt.Sub(began), Last: seen.DoneAt.Sub(began), Everywhere: everywhere,
	}, err
}

// StormCost is what the restart of nodes at once costs.
type StormCost struct {
	Restarted int
	// Took until all had a lease and the newest table again.
	Took time.Duration
	// BytesEach is what a restarted agent received until then.
	BytesEach float64
	// GroupProcessor of all controllers, and the highest resident memory of
	// any since its start.
	GroupProcessor time.Duration
	ResidentPeak   uint64
}

// storm stops agents at once and starts them anew, with no table.
func (f *hollowFleet) storm(ctx context.Context, restarted []int) (StormCost, error) {
	var names []string
	var specs []NodeSpec
	for _, agent := range restarted {
		names = append(names, agentSpec(agent).Name)
		specs = append(specs, agentSpec(agent))
	}
	before, err := f.snapshot()
	if err != nil {
		return StormCost{}, err
	}
	began := time.Now()
	if _, err := f.agents.ask(order{Stop: &namesOrder{names}}); err != nil {
		return StormCost{}, err
	}
	if _, err := f.agents.ask(order{Start: &startOrder{Nodes: specs}}); err != nil {
		return StormCost{}, err
	}
	if err := f.settle(ctx); err != nil {
		return StormCost{}, err
	}
	took := time.Since(began)
	after, err := f.snapshot()
	if err != nil {
		return StormCost{}, err
	}
	received := after.workers.agents.Sessions.BytesReceived - before.workers.agents.Sessions.BytesReceived
	cost := StormCost{
		Restarted: len(restarted), Took: took,
		BytesEach:      float64(received) / float64(max(len(restarted), 1)),
		GroupProcessor: compare(before, after, 0).GroupProcessor,
	}
	for _, usage := range after.controllers {
		cost.ResidentPeak = max(cost.ResidentPeak, usage.ResidentPeak)
	}
	return cost, nil
}

// shifts makes marked shifts of load at a rate until the window is over.
func (f *hollowFleet) shifts(ctx context.Context, perMinute float64, window time.Duration, random *rand.Rand) error {
	if perMinute <= 0 {
		return nil
	}
	const length = 30 * time.Second
	pause := time.Duration(float64(time.Minute) / perMinute)
	var hot []topology.ShardID
	for end := time.Now().Add(window); time.Now().Before(end); {
		service := random.IntN(f.plan.Services)
		key := fmt.Sprintf("key-%d", random.Uint64())
		if err := f.operator.markShift(ctx, serviceName(service), []string{key}, length, hotFactor); err != nil {
			return err
		}
		hot = append(hot, topology.ShardID{
			Service: topology.ServiceID(service + 1),
			Shard:   topology.ShardNumber(random.IntN(f.plan.shardsOf(service)) + 1),
		})
		keep := int(length / pause)
		hot = hot[max(len(hot)-keep-1, 0):]
		if _, err := f.agents.ask(order{SetHot: &hotOrder{hot}}); err != nil {
			return err
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// changes makes changes of configuration at a rate until the window is over.
func (f *hollowFleet) changes(ctx context.Context, perMinute float64, window time.Duration) error {
	if perMinute <= 0 {
		return nil
	}
	pause := time.Duration(float64(time.Minute) / perMinute)
	number := 0
	for next, end := time.Now(), time.Now().Add(window); next.Before(end); next = next.Add(pause) {
		select {
		case <-time.After(time.Until(next)):
		case <-ctx.Done():
			return ctx.Err()
		}
		service := f.service(number % f.plan.Services)
		service.Rules[0].Timeout = durationpb.New(2*time.Second + time.Duration(number)*time.Millisecond)
		if _, err := f.operator.change(ctx, service); err != nil {
			return err
		}
		number++
	}
	return nil
}
