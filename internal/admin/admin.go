package admin

import (
	"io"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/internal/settings"
)

// Command returns the admin command with its subcommands, which print to out.
func Command(out io.Writer) *ff.Command {
	s := &session{overrides: settings.NewOverrides("admin", &settings.Admin{}), out: out}
	return &ff.Command{
		Name:      "admin",
		Usage:     "quartzdock admin [--rpc.controllers IP:port,...] [--json] SUBCOMMAND ...",
		ShortHelp: "operate the system: services, back ends, ownership, controllers",
		Flags:     s.overrides.Flags(),
		Subcommands: []*ff.Command{
			s.serviceCommands(),
			s.backendCommands(),
			s.shardCommands(),
			s.explainCommands(),
			s.shiftCommands(),
			s.controllerCommands(),
			s.revisionCommand(),
			s.subscribersCommand(),
			s.waitCommand(),
			s.watchCommand(),
		},
	}
}
