package main

import (
	"context"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/lab/platformstandin/soak"
)

// defaultSoak is how long a soak lasts.
const defaultSoak = time.Minute

func soakCommand() *ff.Command {
	config := soak.Config{Output: os.Stdout}
	flags := ff.NewFlagSet("soak")
	flags.Uint64Var(&config.Seed, 0, "seed", 1, "what the strikes are drawn from")
	flags.DurationVar(&config.Duration, 0, "duration", defaultSoak, "how long callers are at work")
	flags.StringVar(&config.Program, 0, "program", "", "binary of the users' platform; empty builds it")
	flags.StringListVar(&config.Kinds, 0, "kind", "kind of strike, all if none is given; may be repeated")
	flags.StringVar((*string)(&config.Grants), 0, "grants", string(soak.ByCall), "how keyed back ends get their keys: call or heartbeat")
	flags.IntVar(&config.Size.Gateways, 0, "gateways", 0, "gateways, each with a back end beside it; 0 is as many as the strikes need")
	flags.IntVar(&config.Size.Keyed, 0, "keyed", 0, "how many of the gateways' back ends hold keys; with --gateways")
	flags.IntVar(&config.Size.Controllers, 0, "controllers", 0, "controllers; 0 is the usual number")
	flags.IntVar(&config.Size.Callers, 0, "callers", 0, "callers at the most, over all gateways; 0 is the usual number")
	flags.DurationVar(&config.MeanPause, 0, "mean-pause", 0, "mean pause between two strikes; 0 is the usual one")
	flags.IntVar(&config.Ending, 0, "poison", 0, "distinct requests that end each back end that begins them, and are sent again and again")
	flags.StringVar(&config.KeepIn, 0, "keep-logs", "", "folder for the logs of a failing seed")
	flags.BoolVar(&config.JSON, 0, "json", "write the report as JSON")
	return &ff.Command{
		Name: "soak", ShortHelp: "strike a fleet on the users' platform with faults and check its promises", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error { return soak.Run(ctx, config) },
	}
}
