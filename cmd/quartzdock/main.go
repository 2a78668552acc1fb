// Command quartzdock runs one role of the system, or the operators' client:
//
//	quartzdock controller --config controller.yaml
//	quartzdock router --config router.yaml
//	quartzdock agent --config agent.yaml
//	quartzdock admin ...
//
// It ends with status 0 after a planned stop or a command that was carried
// out, 1 after a failure, and 2 where settings or arguments are wrong.
package main

import (
	"context"
	"os"

	"github.com/quartzdock/quartzdock/internal/command"
)

func main() {
	os.Exit(command.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
