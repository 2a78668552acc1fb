// Command quartzdock-lab is the bench: stand-in servers and callers, faults,
// whole fleets of real processes, experiments and simulations. It is never
// installed on racks. Unlike the product it starts other processes.
//
// It ends with status 0 when all went well, 1 when something failed or broke,
// and 2 where arguments are wrong.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/quartzdock/quartzdock/lab/simulate"
)

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), endSignals()...)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// endSignals are what ends the lab with its fleets. One that is to outlive its
// terminal (nohup) goes on without it.
func endSignals() []os.Signal {
	signals := []os.Signal{os.Interrupt, syscall.SIGTERM}
	if !signal.Ignored(syscall.SIGHUP) {
		signals = append(signals, syscall.SIGHUP)
	}
	return signals
}

func run(ctx context.Context, arguments []string) int {
	root := rootCommand()
	err := root.Parse(arguments)
	if errors.Is(err, ff.ErrHelp) {
		fmt.Fprint(os.Stdout, ffhelp.Command(root))
		return 0
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s\nerror: %v\n", ffhelp.Command(root), err)
		return exitUsage
	}
	err = root.Run(ctx)
	if errors.Is(err, ff.ErrNoExec) {
		fmt.Fprint(os.Stderr, ffhelp.Command(root))
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitFailure
	}
	return 0
}

func rootCommand() *ff.Command {
	return &ff.Command{
		Name:      "quartzdock-lab",
		Usage:     "quartzdock-lab COMMAND [FLAGS]",
		ShortHelp: "the bench of quartzdock",
		Subcommands: []*ff.Command{
			demoCommand(),
			experimentCommand(),
			faultsCommand(),
			simulate.Command(os.Stdout),
			backendCommand(),
			loadCommand(),
			machinesCommand(),
			faultProxyCommand(),
			soakCommand(),
		},
	}
}
