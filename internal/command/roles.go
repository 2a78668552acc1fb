package command

import (
	"io"

	"github.com/peterbourgon/ff/v4"
)

// roleCommands returns one subcommand per role.
func roleCommands(out, errOut io.Writer) []*ff.Command {
	return []*ff.Command{}
}
