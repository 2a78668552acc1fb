package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v4"
	"golang.org/x/sync/errgroup"

	"github.com/quartzdock/quartzdock/lab/deployment"
)

// all selects every scenario or policy.
const all = "all"

// Options of the command "quartzdock-lab experiment".
type Options struct {
	deployments list
	scenarios   list
	policies    list
	against     list
	firstSeed   uint64
	seeds       int
	parallel    int
	json        bool
	report      string
	trace       bool
	real        bool
	rateFactor  float64
}

// list is a flag of names with commas between them.
type list []string

// Set implements flag.Value.
func (l *list) Set(text string) error {
	*l = strings.Split(text, ",")
	return nil
}

// String implements flag.Value.
func (l *list) String() string { return strings.Join(*l, ",") }

// Flags returns the flags of the command and the options that they set.
func Flags() (*ff.FlagSet, *Options) {
	options := &Options{deployments: list{"gatukarta"}, scenarios: list{"steady"}, policies: list{"quartzdock"}}
	flags := ff.NewFlagSet("experiment")
	flags.ValueLong("deployment", &options.deployments, "built-in deployment or file; several with commas")
	flags.ValueLong("scenario", &options.scenarios, "built-in scenario or file; several with commas; all")
	flags.ValueLong("policy", &options.policies, "policy; several with commas; all")
	flags.ValueLong("against", &options.against, "other policies to compare with")
	flags.Uint64Var(&options.firstSeed, 0, "seed", 1, "first seed; equal seeds give equal output")
	flags.IntVar(&options.seeds, 0, "seeds", 1, "number of seeds, counted up from the first")
	flags.IntVar(&options.parallel, 0, "parallel", 4, "runs at once")
	flags.BoolVar(&options.json, 0, "json", "write each run as JSON")
	flags.StringVar(&options.report, 0, "report", "", "folder for a page with plots")
	flags.BoolVar(&options.trace, 0, "trace", "write each move and its reason to the error output; one run at a time")
	flags.BoolVar(&options.real, 0, "real", "also run each scenario with real processes and compare")
	flags.Float64Var(&options.rateFactor, 0, "rate", 0.1, "part of the deployment's rates that is offered with --real")
	return flags, options
}

// Run emulates scenarios and writes what was measured, as a table, as JSON or
// as a page with plots.
func (o *Options) Run(ctx context.Context, stdout, stderr io.Writer) error {
	configs, err := o.configs()
	if err != nil {
		return err
	}
	if o.real {
		return o.runReal(ctx, configs, stdout)
	}
	if o.trace {
		o.parallel = 1
		for index := range configs {
			configs[index].Trace = stderr
		}
	}
	results, err := emulateAll(ctx, configs, o.parallel)
	if err != nil {
		return err
	}
	if o.report != "" {
		if err := writeReport(o.report, results); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	if o.json {
		return writeJSON(stdout, results)
	}
	return writeTable(stdout, results)
}

// runReal compares with real processes, one scenario after the other.
func (o *Options) runReal(ctx context.Context, configs []Config, stdout io.Writer) error {
	for _, config := range configs {
		if config.Seed != o.firstSeed {
			continue
		}
		if err := compareReal(ctx, stdout, config, o.rateFactor, o.seeds); err != nil {
			return fmt.Errorf("%s, %s: %w", config.Deployment.Name, config.Scenario.Name, err)
		}
	}
	return nil
}

// configs returns one configuration per deployment, scenario, policy and seed.
func (o *Options) configs() ([]Config, error) {
	policies, err := o.selectPolicies()
	if err != nil {
		return nil, err
	}
	if len(o.scenarios) == 1 && o.scenarios[0] == all {
		o.scenarios = ScenarioNames
	}
	var configs []Config
	for _, deploymentName := range o.deployments {
		loaded, err := deployment.Load(deploymentName)
		if err != nil {
			return nil, err
		}
		for _, scenarioName := range o.scenarios {
			scenario, err := LoadScenario(scenarioName)
			if err != nil {
				return nil, err
			}
			for _, policy := range policies {
				for number := range o.seeds {
					configs = append(configs, Config{
						Deployment: loaded, Scenario: scenario, Policy: policy, Seed: o.firstSeed + uint64(number),
					})
				}
			}
		}
	}
	return configs, nil
}

func (o *Options) selectPolicies() ([]Policy, error) {
	if len(o.policies) == 1 && o.policies[0] == all {
		return Policies(), nil
	}
	var selected []Policy
	for _, name := range slices.Concat(o.policies, o.against) {
		policy, err := PolicyByName(name)
		if err != nil {
			return nil, err
		}
		selected = append(selected, policy)
	}
	return selected, nil
}

// emulateAll runs configurations side by side; results are in their order.
func emulateAll(ctx context.Context, configs []Config, parallel int) ([]*Result, error) {
	results := make([]*Result, len(configs))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, parallel))
	for index, config := range configs {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			result, err := Emulate(config)
			if err != nil {
				return fmt.Errorf("%s, %s, %s, seed %d: %w",
					config.Deployment.Name, config.Scenario.Name, config.Policy.Name, config.Seed, err)
			}
			results[index] = result
			return nil
		})
	}
	return results, group.Wait()
}

func writeJSON(to io.Writer, results []*Result) error {
	encoder := json.NewEncoder(to)
	encoder.SetIndent("", " ")
	if len(results) == 1 {
		return encoder.Encode(results[0])
	}
	return encoder.Encode(results)
}
