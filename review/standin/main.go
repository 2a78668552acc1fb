package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit statuses, as the issue names them.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	runLimit     = 115 * time.Second
	startTimeout = 25 * time.Second
)

// runCase is one case: it returns the breaks of the rule that it saw.
type runCase func(ctx context.Context, r *record, folder string, trouble bool) (breaks int, err error)

// runCases has the cases by name; each file registers its own.
var runCases = map[string]runCase{}

func main() {
	if len(os.Args) != 3 || runCases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(runCases[os.Args[1]], os.Args[2]))
}

// playCase plays one case and returns the exit status.
func playCase(play runCase, path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	folder, err := os.MkdirTemp("", "quartzdock-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(folder)
	} else {
		fmt.Println("logs are kept in", folder)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	breaks, err := play(ctx, r, folder, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.add("verdict", "the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case breaks > 0:
		r.add("verdict", "the rule was broken %d times", breaks)
		fmt.Printf("broken: %d times\n", breaks)
		return exitBroken
	}
	r.add("verdict", "the rule held")
	fmt.Println("held")
	return exitHeld
}

// startFleet starts a fleet with its back ends and its configuration.
func startFleet(ctx context.Context, f *fleet, configuration string, startBackends func() error) error {
	if err := f.startAll(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := startBackends(); err != nil {
		return err
	}
	if err := f.put(ctx, configuration); err != nil {
		return err
	}
	return f.awaitReady(ctx)
}

const limitsText = `"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeout":"3000ms","idleTimeout":"15000ms"}`
