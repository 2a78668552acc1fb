package hollow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"
)

// ladder repeats a measurement at several sizes.
type ladder struct {
	name string
	// sizeName is what the size counts.
	sizeName string
	usual    []int
	// fresh starts a fleet for each size; grow then sets the size in the plan.
	grow func(plan Plan, size int) Plan
	// step measures at one size of a fleet.
	step func(ctx context.Context, f *hollowFleet, size int) ([]Value, error)
}

var ladders = []ladder{
	{name: "", sizeName: "nodes", usual: []int{0}, step: measureSteady},
	{name: "nodes", sizeName: "agents", usual: []int{50, 200, 500, 800, 1100}, grow: growNodes, step: measureSteady},
	{name: "shards", sizeName: "shards", usual: []int{1000, 10000, 30000, 75000}, grow: growShards, step: measureSteady},
	{name: "changes", sizeName: "changes a minute", usual: []int{0, 30, 60, 120}, step: measureChanges},
	{name: "shifts", sizeName: "shifts a minute", usual: []int{0, 12, 24, 48}, step: measureShifts},
	{name: "loss", sizeName: "agents lost", usual: []int{1, 5, 20, 58}, step: measureLoss},
	{name: "storm", sizeName: "agents restarted", usual: []int{1, 20, 58, 240}, step: measureStorm},
}

func growNodes(plan Plan, size int) Plan {
	plan.Agents = size
	return plan
}

func growShards(plan Plan, size int) Plan {
	plan.Shards = size
	return plan
}

func ladderNamed(name string) (ladder, error) {
	for _, candidate := range ladders {
		if candidate.name == name {
			return candidate, nil
		}
	}
	return ladder{}, fmt.Errorf("ladder %q is not known", name)
}

// climb measures at each size. What was measured before an error is returned
// with it.
func (l ladder) climb(ctx context.Context, plan Plan, settings Settings, sizes []int, progress io.Writer) (Result, error) {
	result := Result{Ladder: l.name, SizeName: l.sizeName, Plan: plan}
	var f *hollowFleet
	defer func() {
		if f != nil {
			f.stop(!settings.KeepFiles)
		}
	}()
	for _, size := range sizes {
		if l.grow != nil && f != nil {
			f.stop(!settings.KeepFiles)
			f = nil
		}
		row, err := l.rung(ctx, &f, plan, settings, size, progress)
		if err != nil {
			return result, fmt.Errorf("ladder %s at %d: %w", l.name, size, err)
		}
		result.Rows = append(result.Rows, row)
	}
	return result, nil
}

// rung measures at one size and checks the promises there.
func (l ladder) rung(ctx context.Context, f **hollowFleet, plan Plan, settings Settings, size int, progress io.Writer) (Row, error) {
	if l.grow != nil {
		plan = l.grow(plan, size)
	}
	if *f == nil {
		began := time.Now()
		fmt.Fprintf(progress, "starting %d controllers, %d agents, %d routers, %d services, %d shards\n",
			plan.Controllers, plan.Agents, plan.Routers, plan.Services, plan.Shards)
		started, err := startFleet(ctx, plan, settings, progress)
		if err != nil {
			return Row{}, err
		}
		*f = started
		fmt.Fprintf(progress, "settled after %.1f s\n", time.Since(began).Seconds())
	}
	values, err := l.step(ctx, *f, size)
	if err != nil {
		return Row{}, err
	}
	kept, err := (*f).promises(ctx)
	if err != nil {
		return Row{}, fmt.Errorf("promise broken: %w", err)
	}
	fmt.Fprintf(progress, "%s %d: %d shards have one owner, %d nodes are at revision %d\n",
		l.sizeName, size, kept.Claims, kept.Nodes, kept.Revision)
	return Row{Size: float64(size), Values: values}, nil
}

// measureSteady measures a fleet at the rates of the settings and then follows
// single changes.
func measureSteady(ctx context.Context, f *hollowFleet, _ int) ([]Value, error) {
	steady, err := f.steady(ctx, f.settings.Window, f.usualRates)
	if err != nil {
		return nil, err
	}
	values := steady.values()
	var all []Propagation
	for number := range f.settings.Propagations {
		one, err := f.propagation(ctx, number)
		if err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return append(values, propagationValues(all)...), nil
}

// usualRates makes changes and shifts as the settings say.
func (f *hollowFleet) usualRates(ctx context.Context) error {
	return f.atRates(ctx, f.settings.Changes, f.settings.Shifts)
}

// atRates makes changes and shifts side by side until the window is over.
// Changes of the configuration carry the revision of the one before, so both
// take turns.
func (f *hollowFleet) atRates(ctx context.Context, changes, shifts float64) error {
	random := rand.New(rand.NewPCG(f.settings.Seed, 0))
	if changes > 0 && shifts > 0 {
		return errors.New("changes and shifts are measured one at a time")
	}
	return errors.Join(
		f.changes(ctx, changes, f.settings.Window),
		f.shifts(ctx, shifts, f.settings.Window, random),
	)
}

func measureChanges(ctx context.Context, f *hollowFleet, size int) ([]Value, error) {
	steady, err := f.steady(ctx, f.settings.Window, func(ctx context.Context) error {
		return f.atRates(ctx, float64(size), 0)
	})
	return steady.values(), err
}

func measureShifts(ctx context.Context, f *hollowFleet, size int) ([]Value, error) {
	before, err := f.operator.committed(ctx)
	if err != nil {
		return nil, err
	}
	steady, err := f.steady(ctx, f.settings.Window, func(ctx context.Context) error {
		return f.atRates(ctx, 0, float64(size))
	})
	if err != nil {
		return nil, err
	}
	after, err := f.operator.committed(ctx)
	revisions := float64(after-before) / steady.Window.Seconds()
	return append(steady.values(), Value{"revisions", "1/s", revisions}), err
}

func measureLoss(ctx context.Context, f *hollowFleet, size int) ([]Value, error) {
	// Agents that were lost before have fewer shards than others, so each
	// loss takes another zone.
	lost := f.plan.agentsOf(LossZone, f.losses%zones)
	f.losses++
	if size > len(lost) {
		return nil, fmt.Errorf("the zone has %d agents", len(lost))
	}
	times, err := f.lose(ctx, lost[:size])
	if err != nil {
		return nil, err
	}
	return []Value{
		{"shards lost", "", float64(times.Shards)},
		{"first new owner", "ms", milliseconds(times.First)},
		{"last new owner", "ms", milliseconds(times.Last)},
		{"at half of the nodes", "ms", milliseconds(times.Everywhere.Median)},
		{"at all nodes", "ms", milliseconds(times.Everywhere.Last)},
		{"controllers' processor", "core s", times.GroupProcessor.Seconds()},
	}, nil
}

func measureStorm(ctx context.Context, f *hollowFleet, size int) ([]Value, error) {
	var restarted []int
	for agent := range min(size, f.plan.Agents) {
		restarted = append(restarted, agent)
	}
	cost, err := f.storm(ctx, restarted)
	if err != nil {
		return nil, err
	}
	return []Value{
		{"until all lease again", "ms", milliseconds(cost.Took)},
		{"received by an agent", "KB", cost.BytesEach / 1e3},
		{"controllers' processor", "core s", cost.GroupProcessor.Seconds()},
		{"controller memory peak", "MB", float64(cost.ResidentPeak) / 1e6},
	}, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
