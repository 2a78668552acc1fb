package main

import (
	"context"
	"os"
	"time"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/lab/demo"
)

func demoCommand() *ff.Command {
	config := demo.Config{Output: os.Stdout}
	flags := ff.NewFlagSet("demo")
	flags.StringVar(&config.Deployment, 0, "deployment", "small", "name or path of a deployment")
	flags.DurationVar(&config.Duration, 0, "duration", 16*time.Second, "duration of the load")
	flags.Uint64Var(&config.Seed, 0, "seed", 1, "seed of the load")
	flags.BoolVar(&config.Keep, 0, "keep", "keep logs and ledgers")
	return &ff.Command{
		Name: "demo", ShortHelp: "start a small fleet, run load, kill processes and check the promises", Flags: flags,
		Exec: func(ctx context.Context, _ []string) error { return demo.Run(ctx, config) },
	}
}
