// Command quartzdock-lab is the test bench: stand-in servers and callers, fault
// injection, fleets of real processes, experiments and simulations. It is never
// installed in production. Unlike the product it starts other processes.
//
// It exits with status 0 on success, 1 if something failed or a promise was
// broken, and 2 if arguments are invalid.
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
	ctx, stop := signal.NotifyContext(context.Background(), shutdownSignals()...)
	defer stop()
	os.Exit(run(ctx, os.Args[1:]))
}

// shutdownSignals returns the signals that stop the lab and its fleets. SIGHUP is
// not among them if it is ignored, as under nohup.
func shutdownSignals() []os.Signal {
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
		ShortHelp: "test bench of quartzdock",
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
