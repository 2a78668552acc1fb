package command

import (
	"io"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/internal/settings"
)

// roleCommands returns one subcommand per role.
func roleCommands(out, errOut io.Writer) []*ff.Command {
	return []*ff.Command{
		role[settings.Router, *settings.Router]{
			name:      "router",
			shortHelp: "run a router, which takes callers' requests",
			run:       runRouter,
		}.command(out, errOut),
	}
}
