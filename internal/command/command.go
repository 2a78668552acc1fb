package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"

	"github.com/quartzdock/quartzdock/internal/admin"
	"github.com/quartzdock/quartzdock/internal/metrics"
	"github.com/quartzdock/quartzdock/internal/settings"
)

// Exit statuses.
const (
	exitSuccess = 0
	exitFailure = 1
	exitUsage   = 2
)

// errUsage marks errors in the command line.
var errUsage = errors.New("usage")

// Main parses arguments and environment, runs the selected command and
// returns the exit status.
func Main(ctx context.Context, arguments []string, out, errOut io.Writer) int {
	root := newRoot(out, errOut)
	err := root.ParseAndRun(ctx, arguments, ff.WithEnvVarPrefix(settings.EnvironmentPrefix))
	return reportError(root, err, errOut)
}

// newRoot returns the root of the command tree.
func newRoot(out, errOut io.Writer) *ff.Command {
	root := &ff.Command{
		Name:      "quartzdock",
		Usage:     "quartzdock SUBCOMMAND ...",
		ShortHelp: "route requests to the one back end that owns their key",
	}
	root.Subcommands = append(root.Subcommands, roleCommands(out, errOut)...)
	root.Subcommands = append(root.Subcommands, admin.Command(out), explainCommand(out), versionCommand(out))
	return root
}

// versionCommand returns the command that prints the build's revision.
func versionCommand(out io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "version",
		Usage:     "quartzdock version",
		ShortHelp: "print the version",
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprintln(out, metrics.Version())
			return err
		},
	}
}

// reportError prints an error and returns the exit status.
func reportError(root *ff.Command, err error, errOut io.Writer) int {
	var findings settings.Findings
	switch {
	case err == nil:
		return exitSuccess
	case errors.Is(err, ff.ErrHelp):
		fmt.Fprintln(errOut, ffhelp.Command(root.GetSelected()))
		return exitSuccess
	case errors.As(err, &findings):
		fmt.Fprintln(errOut, findings.Error())
		fmt.Fprintf(errOut, "%d finding(s); nothing was started\n", len(findings))
		return exitUsage
	case isUsageError(err):
		fmt.Fprintln(errOut, ffhelp.Command(root.GetSelected()))
		fmt.Fprintln(errOut, "error:", err)
		return exitUsage
	default:
		fmt.Fprintln(errOut, "error:", err)
		return exitFailure
	}
}

// isUsageError reports whether an error was caused by the command line.
func isUsageError(err error) bool {
	for _, target := range []error{errUsage, admin.ErrUsage, ff.ErrUnknownFlag, ff.ErrNoExec, ff.ErrDuplicateFlag} {
		if errors.Is(err, target) {
			return true
		}
	}
	return false
}
