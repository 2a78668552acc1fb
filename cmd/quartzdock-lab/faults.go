package main

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/lab/faults"
)

func faultsCommand() *ff.Command {
	config := faults.Config{Output: os.Stdout}
	flags := ff.NewFlagSet("faults")
	flags.IntVar(&config.Seeds, 0, "seeds", 5, "number of strikes of each kind of fault")
	flags.StringListVar(&config.Kinds, 0, "kind", "kind of fault, all if none is given; may be repeated")
	flags.BoolVar(&config.Keep, 0, "keep", "keep logs and ledgers")
	return &ff.Command{
		Name: "faults", ShortHelp: "measure unavailable time for each kind of fault", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error { return faults.Run(ctx, config) },
	}
}
