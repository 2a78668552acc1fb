package experiment

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"golang.org/x/sync/errgroup"

	"github.com/quartzdock/quartzdock/lab/deployment"
)

// all selects every scenario or policy.
const all = "all"

// options of the command.
type options struct {
	deployments []string
	scenarios   []string
	policies    []string
	firstSeed   uint64
	seeds       int
	parallel    int
	json        bool
	report      string
	trace       bool
}

// Run is the command "quartzdock-lab experiment": it emulates scenarios and
// writes what was measured, as a table, as JSON or as a page with plots.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) error {
	options, err := parseOptions(arguments, stderr)
	if errors.Is(err, ff.ErrHelp) {
		return nil
	}
	if err != nil {
		return err
	}
	configs, err := options.configs()
	if err != nil {
		return err
	}
	if options.trace {
		options.parallel = 1
		for index := range configs {
			configs[index].Trace = stderr
		}
	}
	results, err := emulateAll(ctx, configs, options.parallel)
	if err != nil {
		return err
	}
	if options.report != "" {
		if err := writeReport(options.report, results); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	if options.json {
		return writeJSON(stdout, results)
	}
	return writeTable(stdout, results)
}

func parseOptions(arguments []string, stderr io.Writer) (*options, error) {
	flags := ff.NewFlagSet("quartzdock-lab experiment")
	deployments := flags.StringLong("deployment", "gatukarta", "built-in deployment or file; several with commas")
	scenarios := flags.StringLong("scenario", "steady", "built-in scenario or file; several with commas; all")
	policies := flags.StringLong("policy", "quartzdock", "policy; several with commas; all")
	against := flags.StringLong("against", "", "another policy to compare with")
	seed := flags.Uint64Long("seed", 1, "first seed; equal seeds give equal output")
	seeds := flags.IntLong("seeds", 1, "number of seeds, counted up from the first")
	parallel := flags.IntLong("parallel", 4, "runs at once")
	asJSON := flags.BoolLong("json", "write each run as JSON")
	report := flags.StringLong("report", "", "folder for a page with plots")
	trace := flags.BoolLong("trace", "write each move and its reason to the error output; one run at a time")
	if err := ff.Parse(flags, arguments); err != nil {
		fmt.Fprintln(stderr, ffhelp.Flags(flags))
		return nil, err
	}
	result := &options{
		deployments: split(*deployments), scenarios: split(*scenarios), policies: split(*policies),
		firstSeed: *seed, seeds: *seeds, parallel: *parallel, json: *asJSON, report: *report, trace: *trace,
	}
	if *against != "" {
		result.policies = append(result.policies, *against)
	}
	return result, nil
}

func split(list string) []string { return strings.Split(list, ",") }

// configs returns one configuration per deployment, scenario, policy and seed.
func (o *options) configs() ([]Config, error) {
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

func (o *options) selectPolicies() ([]Policy, error) {
	if len(o.policies) == 1 && o.policies[0] == all {
		return Policies(), nil
	}
	var selected []Policy
	for _, name := range o.policies {
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
