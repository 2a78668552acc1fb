// Command quartzdock runs one role of the system, or the operators' client:
//
//	quartzdock controller --config controller.yaml
//	quartzdock router --config router.yaml
//	quartzdock agent --config agent.yaml
//	quartzdock admin ...
//
// It exits with status 0 after a planned stop or a successful command, 1 after a
// failure, and 2 if settings or arguments are invalid.
package main

import (
	"context"
	"os"

	"github.com/quartzdock/quartzdock/internal/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
