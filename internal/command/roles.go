package command

import (
	"io"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/internal/settings"
)

// roleCommands returns one subcommand per role.
func roleCommands(out, errOut io.Writer) []*ff.Command {
	return []*ff.Command{
		role[settings.Controller, *settings.Controller]{
			name:      "controller",
			shortHelp: "run a controller, a replica of the control state",
			run:       runController,
		}.command(out, errOut),
		role[settings.Agent, *settings.Agent]{
			name:      "agent",
			shortHelp: "run an agent, which guards one back end",
			run:       runAgent,
		}.command(out, errOut),
		role[settings.Router, *settings.Router]{
			name:      "router",
			shortHelp: "run a router, which takes callers' requests",
			run:       runRouter,
		}.command(out, errOut),
	}
}
