package simulate

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/peterbourgon/ff/v4"
	"golang.org/x/sync/errgroup"

	"github.com/quartzdock/quartzdock/lab/deployment"
)

// ErrViolations says that a promise was broken.
var ErrViolations = errors.New("promises were broken")

// Defaults of the command.
const (
	defaultDuration   = 60 * time.Second
	defaultDeployment = "gatukarta"
)

// options are the command's flags.
type options struct {
	seed       uint64
	seeds      int
	duration   time.Duration
	faults     string
	deployment string
	defect     string
	defects    bool
	json       bool
	parallel   int
}

// Command returns the lab's subcommand.
func Command(out io.Writer) *ff.Command {
	var o options
	flags := ff.NewFlagSet("simulate")
	flags.Uint64Var(&o.seed, 0, "seed", 1, "first seed")
	flags.IntVar(&o.seeds, 0, "seeds", 1, "how many seeds, counted up from the first")
	flags.DurationVar(&o.duration, 0, "duration", defaultDuration, "virtual time of each simulation")
	flags.StringVar(&o.faults, 0, "faults", PlanAll, "file of faults, or a built-in plan: all, elections")
	flags.StringVar(&o.deployment, 0, "deployment", defaultDeployment, "deployment: a file, or the name of a built-in one")
	flags.StringVar(&o.defect, 0, "defect", "", "switch on a deliberate defect")
	flags.BoolVar(&o.defects, 0, "defects", "list the deliberate defects and end")
	flags.BoolVar(&o.json, 0, "json", "print results as JSON, the total last")
	flags.IntVar(&o.parallel, 0, "parallel", max(runtime.NumCPU()/2, 1), "simulations at once")
	return &ff.Command{
		Name:      "simulate",
		Usage:     "quartzdock-lab simulate [FLAGS]",
		ShortHelp: "run all roles on virtual time under seeded faults and check the promises",
		Flags:     flags,
		Exec:      func(ctx context.Context, _ []string) error { return o.run(ctx, out) },
	}
}

func (o *options) run(ctx context.Context, out io.Writer) error {
	if o.defects {
		return listDefects(out)
	}
	config, err := o.config()
	if err != nil {
		return err
	}
	results, err := Run(ctx, config, o.seeds, o.parallel)
	if err != nil {
		return err
	}
	total := Sum(results)
	if o.json {
		err = printJSON(out, results, total)
	} else {
		err = printTable(out, results, total)
	}
	if err == nil && total.Violated() > 0 {
		err = fmt.Errorf("%w: %d violations in %d of %d seeds", ErrViolations, total.Violated(), total.SeedsViolated, total.Seeds)
	}
	return err
}

func (o *options) config() (Config, error) {
	described, deploymentErr := deployment.Load(o.deployment)
	plan, planErr := LoadFaults(o.faults)
	config := Config{Seed: o.seed, Duration: o.duration, Deployment: described, Faults: plan}
	var defectErr error
	if o.defect != "" {
		config.Defect, defectErr = FindDefect(o.defect)
	}
	return config, errors.Join(deploymentErr, planErr, defectErr)
}

func listDefects(out io.Writer) error {
	for _, defect := range Defects {
		if _, err := fmt.Fprintf(out, "%-20s breaks %-18s --faults %-10s %s\n", defect.Name, defect.Breaks, defect.Plan, defect.What); err != nil {
			return err
		}
	}
	return nil
}

// Run simulates seeds, counted up from the configured one, a number of them
// at once. Results are in order of seeds.
func Run(ctx context.Context, config Config, seeds, parallel int) ([]*Result, error) {
	results := make([]*Result, seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(parallel, 1))
	for i := range seeds {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			one := config
			one.Seed += uint64(i)
			result, err := Simulate(one)
			results[i] = result
			return err
		})
	}
	return results, group.Wait()
}

// Total is the sum of several simulations.
type Total struct {
	Seed          uint64            `json:"seed"`
	Seeds         int               `json:"seeds"`
	SeedsViolated int               `json:"seeds_violated"`
	Steps         uint64            `json:"steps"`
	Faults        map[FaultKind]int `json:"faults"`
	Violations    map[Promise]int   `json:"violations"`
	Digest        string            `json:"digest"`
	Requests      uint64            `json:"requests"`
	Answered      int               `json:"answered"`
	Changes       int               `json:"changes"`
	InForce       int               `json:"in_force"`
	Repairs       int               `json:"repairs"`
}

// Violated counts the violations.
func (t *Total) Violated() int { return sum(t.Violations) }

// Sum adds results up.
func Sum(results []*Result) *Total {
	total := &Total{Seeds: len(results), Faults: make(map[FaultKind]int), Violations: make(map[Promise]int)}
	digest := newWorld(0).digest
	for i, result := range results {
		if i == 0 {
			total.Seed = result.Seed
		}
		if result.Violated() > 0 {
			total.SeedsViolated++
		}
		total.Steps += result.Steps
		total.Requests += result.Requests
		total.Answered += result.Answered
		total.Changes += result.Changes
		total.InForce += result.InForce
		total.Repairs += result.Repairs
		for kind, count := range result.Faults {
			total.Faults[kind] += count
		}
		for promise, count := range result.Violations {
			total.Violations[promise] += count
		}
		_, _ = digest.WriteString(result.Digest)
	}
	total.Digest = fmt.Sprintf("%016x", digest.Sum64())
	return total
}

func printJSON(out io.Writer, results []*Result, total *Total) error {
	encoder := json.NewEncoder(out)
	if len(results) == 1 {
		return encoder.Encode(results[0])
	}
	for _, result := range results {
		if result.Violated() == 0 {
			continue
		}
		if err := encoder.Encode(result); err != nil {
			return err
		}
	}
	return encoder.Encode(total)
}

func printTable(out io.Writer, results []*Result, total *Total) error {
	for _, result := range results {
		for _, example := range result.Examples {
			fmt.Fprintf(out, "seed %d at %v: %s: %s\n", result.Seed, example.At, example.Promise, example.What)
		}
	}
	fmt.Fprintf(out, "%d seeds from %d, %d steps, digest %s\n", total.Seeds, total.Seed, total.Steps, total.Digest)
	fmt.Fprintf(out, "%d requests, %d answered; %d changes accepted, %d known in force everywhere; %d disks replaced\n",
		total.Requests, total.Answered, total.Changes, total.InForce, total.Repairs)
	for _, kind := range kinds() {
		fmt.Fprintf(out, "%8d %s\n", total.Faults[kind], kind)
	}
	for _, promise := range Promises {
		if _, err := fmt.Fprintf(out, "%8d violations of %s\n", total.Violations[promise], promise); err != nil {
			return err
		}
	}
	return nil
}
