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

// exitUsage is the exit status for invalid settings or arguments.
const exitUsage = 2

// run runs a command and returns its exit status, standard output and standard
// error.
func run(t *testing.T, arguments ...string) (status int, out, errOut string) {
	t.Helper()
	var output, errors bytes.Buffer
	status = command.Main(context.Background(), arguments, &output, &errors)
	return status, output.String(), errors.String()
}

func TestCheckAcceptsExamples(t *testing.T) {
	for _, role := range []string{"controller", "agent", "router"} {
		example := filepath.Join("..", "..", "examples", role+".yaml")
		status, out, errOut := run(t, role, "--config", example, "--check")
		assert.Equal(t, status, 0, errOut)
		assert.Assert(t, strings.Contains(out, "settings are valid"), out)
	}
}

// TestInvalidSettingsOfAllSourcesAreReported checks that mistakes in the file, a
// flag and the environment are reported together, and that nothing is started.
func TestInvalidSettingsOfAllSourcesAreReported(t *testing.T) {
	file := filepath.Join(t.TempDir(), "router.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("name: x\nnmae: y\nlocation: {region: r}\n"), 0o600))
	t.Setenv("QUARTZDOCK_STOP_TIMEOUT", "soon")
	status, _, errOut := run(t, "router", "--config", file, "--log.level", "loud")
	assert.Equal(t, status, exitUsage)
	for _, part := range []string{file + ":2:1: nmae", "location.zone", "QUARTZDOCK_STOP_TIMEOUT", "log.level", "nothing was started"} {
		assert.Assert(t, strings.Contains(errOut, part), "%q is missing in:\n%s", part, errOut)
	}
}

func TestUnknownSubcommandIsAUsageError(t *testing.T) {
	status, _, errOut := run(t, "controler")
	assert.Equal(t, status, exitUsage, errOut)
}
