package main

import (
	"context"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/lab/experiment"
)

func experimentCommand() *ff.Command {
	flags, options := experiment.Flags()
	return &ff.Command{
		Name: "experiment", ShortHelp: "emulate placement in virtual time and compare policies", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error { return options.Run(ctx, os.Stdout, os.Stderr) },
	}
}
