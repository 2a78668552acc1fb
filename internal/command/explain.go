package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/internal/requesthistory"
)

// minExplainArguments counts a request id and one log file.
const minExplainArguments = 2

// explainCommand returns the command that reconstructs the history of a request
// from log files.
func explainCommand(out io.Writer) *ff.Command {
	return &ff.Command{
		Name:      "explain-request",
		Usage:     "quartzdock explain-request REQUEST-ID LOG-FILE ...",
		ShortHelp: "tell from the logs of several processes what became of a request, and why",
		Exec: func(_ context.Context, arguments []string) error {
			if len(arguments) < minExplainArguments {
				return fmt.Errorf("%w: want a request id and at least one log file", errUsage)
			}
			var lines []requesthistory.Line
			for _, path := range arguments[1:] {
				read, err := readLog(path)
				if err != nil {
					return err
				}
				lines = append(lines, read...)
			}
			history, err := requesthistory.Find(arguments[0], lines)
			if err != nil {
				return fmt.Errorf("%s: %w", arguments[0], err)
			}
			return history.Write(out)
		},
	}
}

func readLog(path string) ([]requesthistory.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines, err := requesthistory.Read(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return lines, nil
}
