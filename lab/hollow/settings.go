package hollow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/lab/fleet"
)

// Settings of the tool, beside the plan of the fleet.
type Settings struct {
	Binaries fleet.Binaries
	// Folder for data folders and logs; empty is the system's.
	Folder string
	// KeepFiles leaves data folders and logs behind.
	KeepFiles bool
	// Window of each steady measurement.
	Window time.Duration
	// Changes and Shifts a minute during steady measurements.
	Changes, Shifts float64
	// LoadEvery is after how many renewals an agent reports load, Requests what
	// it reports of each shard then.
	LoadEvery, Requests int
	// Propagations is how many single changes are followed to all nodes.
	Propagations int
	// Seed of the choice of keys.
	Seed uint64
}

// errNotHollow says that the command has no other kind of fleet yet.
var errNotHollow = errors.New("only hollow fleets can be run: give --hollow")

// flags are the values of the command line.
type flags struct {
	hollow   bool
	worker   string
	ladder   string
	sizes    []string
	plan     Plan
	settings Settings
}

// Command returns the subcommand "fleet".
func Command(stdout, stderr io.Writer) *ff.Command {
	var values flags
	set := ff.NewFlagSet("fleet")
	values.declare(set)
	return &ff.Command{
		Name:      "fleet",
		Usage:     "quartzdock-lab fleet --hollow [FLAGS]",
		ShortHelp: "measure how the control plane grows, on hollow agents and routers",
		Flags:     set,
		Exec: func(ctx context.Context, _ []string) error {
			return values.run(ctx, stdout, stderr)
		},
	}
}

// Run parses the arguments of the subcommand and carries it out.
func Run(ctx context.Context, arguments []string, stdout, stderr io.Writer) error {
	return Command(stdout, stderr).ParseAndRun(ctx, arguments)
}

func (values *flags) declare(set *ff.FlagSet) {
	plan, settings := &values.plan, &values.settings
	set.BoolVar(&values.hollow, 0, "hollow", "agents and routers without traffic, many to a process")
	set.StringVar(&values.worker, 0, "worker", "", "run as a worker that takes orders from this address (used by the tool itself)")
	set.StringVar(&values.ladder, 0, "ladder", "", "ladder to climb: nodes, shards, changes, shifts, loss or storm; empty measures one fleet")
	set.StringListVar(&values.sizes, 0, "size", "a size of the ladder; may be repeated; none takes the ladder's usual ones")
	set.IntVar(&plan.Controllers, 0, "controllers", 3, "replicas of the group")
	set.IntVar(&plan.Agents, 0, "nodes", 200, "agents, each with a back end")
	set.IntVar(&plan.Routers, 0, "routers", 20, "routers")
	set.IntVar(&plan.Services, 0, "services", 20, "services")
	set.IntVar(&plan.Shards, 0, "shards", 5000, "shards of all services together")
	set.StringVar(&settings.Binaries.Product, 0, "program", "", "path of quartzdock; empty is the one beside this program")
	set.StringVar(&settings.Folder, 0, "folder", "", "folder for data and logs; empty is the system's")
	set.BoolVar(&settings.KeepFiles, 0, "keep-files", "leave data and logs behind")
	set.DurationVar(&settings.Window, 0, "window", 5*time.Second, "length of a steady measurement")
	set.Float64Var(&settings.Changes, 0, "changes", 0, "changes of configuration a minute")
	set.Float64Var(&settings.Shifts, 0, "shifts", 0, "marked shifts of load a minute")
	set.IntVar(&settings.LoadEvery, 0, "load-every", 4, "renewals between two load reports of an agent")
	set.IntVar(&settings.Requests, 0, "requests", 67, "requests of a usual shard between two load reports; 67 are 10 million a second over 75,000 shards at 2 reports a second")
	set.IntVar(&settings.Propagations, 0, "propagations", 5, "single changes followed to all nodes")
	set.Uint64Var(&settings.Seed, 0, "seed", 1, "seed of the choice of keys")
}

func (values *flags) run(ctx context.Context, stdout, stderr io.Writer) error {
	if !values.hollow {
		return errNotHollow
	}
	if values.worker != "" {
		return runWorker(ctx, values.worker)
	}
	settings, err := values.settings.withPrograms()
	if err != nil {
		return err
	}
	chosen, err := ladderNamed(values.ladder)
	if err != nil {
		return err
	}
	sizes, err := parseSizes(values.sizes, chosen.usual)
	if err != nil {
		return err
	}
	result, err := chosen.climb(ctx, values.plan, settings, sizes, stderr)
	result.write(stdout)
	return err
}

// withPrograms fills in the programs to start.
func (settings Settings) withPrograms() (Settings, error) {
	if settings.Binaries.Lab == "" {
		self, err := os.Executable()
		if err != nil {
			return Settings{}, err
		}
		settings.Binaries.Lab = self
	}
	if settings.Binaries.Product == "" {
		settings.Binaries.Product = filepath.Join(filepath.Dir(settings.Binaries.Lab), "quartzdock")
	}
	if _, err := os.Stat(settings.Binaries.Product); err != nil {
		return Settings{}, fmt.Errorf("program to measure: %w", err)
	}
	return settings, nil
}

func parseSizes(texts []string, usual []int) ([]int, error) {
	if len(texts) == 0 {
		return usual, nil
	}
	var sizes []int
	var findings []error
	for _, text := range texts {
		size, err := strconv.Atoi(text)
		if err != nil || size < 0 {
			findings = append(findings, fmt.Errorf("size %q: want a whole number, zero or more", text))
		}
		sizes = append(sizes, size)
	}
	return sizes, errors.Join(findings...)
}
