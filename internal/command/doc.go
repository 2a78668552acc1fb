// Package command implements the command line of the quartzdock binary: one
// subcommand per role, and the tools for operators. The subcommand of a role loads
// the settings, sets up what all roles share (log, metrics, certificates,
// monitoring listener, signals) and runs the role's package.
package command
