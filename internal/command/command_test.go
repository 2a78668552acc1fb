package command_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/quartzdock/quartzdock/internal/command"
)

// exitFindings is the status for settings or arguments that can't be used.
const exitFindings = 2

// run returns the status and both outputs of a command.
func run(t *testing.T, arguments ...string) (status int, out, errOut string) {
	t.Helper()
	var output, errors bytes.Buffer
	status = command.Main(context.Background(), arguments, &output, &errors)
	return status, output.String(), errors.String()
}

func TestCheckAcceptsTheExamples(t *testing.T) {
	for _, role := range []string{"controller", "agent", "router"} {
		example := filepath.Join("..", "..", "examples", role+".yaml")
		status, out, errOut := run(t, role, "--config", example, "--check")
		assert.Equal(t, status, 0, errOut)
		assert.Assert(t, strings.Contains(out, "settings are valid"), out)
	}
}

// TestFindingsOfAllSourcesEndWithStatusTwo: from the file, a flag and the
// environment together; nothing is started.
func TestFindingsOfAllSourcesEndWithStatusTwo(t *testing.T) {
	file := filepath.Join(t.TempDir(), "router.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("name: x\nnmae: y\nlocation: {region: r}\n"), 0o600))
	t.Setenv("QUARTZDOCK_STOP_TIMEOUT", "soon")
	status, _, errOut := run(t, "router", "--config", file, "--log.level", "loud")
	assert.Equal(t, status, exitFindings)
	for _, part := range []string{file + ":2:1: nmae", "location.zone", "QUARTZDOCK_STOP_TIMEOUT", "log.level", "nothing was started"} {
		assert.Assert(t, strings.Contains(errOut, part), "%q is missing in:\n%s", part, errOut)
	}
}

func TestUnknownSubcommandEndsWithStatusTwo(t *testing.T) {
	status, _, errOut := run(t, "controler")
	assert.Equal(t, status, exitFindings, errOut)
}
