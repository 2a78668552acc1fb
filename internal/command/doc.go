// Package command is the command tree of the quartzdock binary: one
// subcommand per role, and admin. A role's subcommand loads settings, starts
// what all roles share (log, metrics, certificates, monitoring listener,
// signals) and hands over to the role's package.
package command
