package main

import (
	"context"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/lab/platformstandin/soak"
)

// defaultSoakDuration is how long a soak test runs.
const defaultSoakDuration = time.Minute

func soakCommand() *ff.Command {
	config := soak.Config{Output: os.Stdout}
	flags := ff.NewFlagSet("soak")
	flags.Uint64Var(&config.Seed, 0, "seed", 1, "seed of the random strikes")
	flags.DurationVar(&config.Duration, 0, "duration", defaultSoakDuration, "how long callers send requests")
	flags.StringVar(&config.Program, 0, "program", "", "path of the quartzdock-node binary; empty builds it")
	flags.StringListVar(&config.Kinds, 0, "kind", "kind of strike, all if none is given; may be repeated")
	flags.StringVar((*string)(&config.Grants), 0, "grants", string(soak.ByCall), "how back ends are granted their keys: call or heartbeat")
	flags.IntVar(&config.Size.Gateways, 0, "gateways", 0, "number of gateways, each with its own back end; 0 takes as many as the strikes need")
	flags.IntVar(&config.Size.Keyed, 0, "keyed", 0, "how many of the back ends hold keys; requires --gateways")
	flags.IntVar(&config.Size.Controllers, 0, "controllers", 0, "number of controllers; 0 takes the default")
	flags.IntVar(&config.Size.Callers, 0, "callers", 0, "maximum number of callers of all gateways together; 0 takes the default")
	flags.DurationVar(&config.MeanPause, 0, "mean-pause", 0, "mean pause between two strikes; 0 takes the default")
	flags.IntVar(&config.Ending, 0, "poison", 0, "number of distinct requests that crash every back end that runs them, each sent repeatedly")
	flags.StringVar(&config.KeepIn, 0, "keep-logs", "", "folder in which the logs of a failed seed are kept")
	flags.BoolVar(&config.JSON, 0, "json", "write the report as JSON")
	return &ff.Command{
		Name: "soak", ShortHelp: "inject faults into a fleet on the users' platform and check its promises", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error { return soak.Run(ctx, config) },
	}
}
