package fleet

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
)

// Binaries are the programs that a fleet starts.
type Binaries struct {
	// Product is the path of quartzdock.
	Product string
	// Lab is the path of quartzdock-lab.
	Lab string
}

// Build builds both programs into a folder. It runs the go command in the
// module's root, wherever in the module the caller runs.
func Build(ctx context.Context, folder string) (Binaries, error) {
	root, err := moduleRoot(ctx)
	if err != nil {
		return Binaries{}, err
	}
	command := exec.CommandContext(ctx, "go", "build", "-o", folder+string(filepath.Separator), "./cmd/...")
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return Binaries{}, fmt.Errorf("build: %w\n%s", err, output)
	}
	return Binaries{
		Product: filepath.Join(folder, "quartzdock"),
		Lab:     filepath.Join(folder, "quartzdock-lab"),
	}, nil
}

func moduleRoot(ctx context.Context) (string, error) {
	output, err := exec.CommandContext(ctx, "go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("find the module's root: %w", err)
	}
	return strings.TrimSpace(string(output)), nil
}
