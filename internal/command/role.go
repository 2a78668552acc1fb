package command

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"

	"github.com/quartzdock/quartzdock/internal/ops"
	"github.com/quartzdock/quartzdock/internal/settings"
)

// roleSettings is a pointer to the settings struct of a role.
type roleSettings[T any] interface {
	*T
	settings.Schema
	// Common returns the settings that all roles share.
	Common() *settings.Process
}

// role describes one role of the binary; T is its settings struct.
type role[T any, S roleSettings[T]] struct {
	name      string
	shortHelp string
	// run runs the role until the context ends.
	run func(context.Context, *process, S) error
}

// command returns the role's subcommand.
func (r role[T, S]) command(out, errOut io.Writer) *ff.Command {
	overrides := settings.NewOverrides(r.name, S(new(T)))
	return &ff.Command{
		Name:      r.name,
		Usage:     fmt.Sprintf("quartzdock %s --config FILE [--check] [--section.field VALUE ...]", r.name),
		ShortHelp: r.shortHelp,
		Flags:     overrides.Flags(),
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return fmt.Errorf("%w: unexpected argument %q", errUsage, arguments[0])
			}
			return r.exec(ctx, overrides, out, errOut)
		},
	}
}

// exec loads the settings and runs the role; with --check it only validates them.
func (r role[T, S]) exec(ctx context.Context, overrides *settings.Overrides, out, errOut io.Writer) error {
	loader := &settings.Loader{File: overrides.Config, Overrides: overrides}
	loaded := S(new(T))
	current, err := loader.Load(loaded)
	if err != nil {
		return err
	}
	if overrides.Check {
		_, err := fmt.Fprintf(out, "%s: settings are valid\n", overrides.Config)
		return err
	}
	p, err := newProcess(r.name, loaded.Common(), errOut)
	if err != nil {
		return err
	}
	reload := func() { r.reload(p, loader, current) }
	work := func(ctx context.Context) error { return r.run(ctx, p, loaded) }
	return p.run(ctx, work, reload)
}

// reload reloads the settings and the certificates on SIGHUP.
func (r role[T, S]) reload(p *process, loader *settings.Loader, current *settings.FieldSet) {
	p.certificates.reload()
	loaded := S(new(T))
	fields, err := loader.Load(loaded)
	if err != nil {
		p.log.Error("reload of settings failed, keeping the previous ones", "findings", err)
		return
	}
	changed, needRestart := current.Adopt(fields)
	if err := ops.SetLevel(p.level, loaded.Common().Log.Level); err != nil {
		p.log.Error("failed to change the log level", "error", err)
	}
	p.log.Info("settings reloaded", "changed", changed, "need_restart", needRestart)
}
