// Package deployments carries the deployment files of the lab: one for each of
// the users' deployments at today's sizes, and a small one for a first try.
package deployments

import "embed"

// Files holds gatukarta.yaml, roamlink.yaml and small.yaml.
//
//go:embed *.yaml
var Files embed.FS
