// Package settings reads the settings of a process from a YAML file, the
// environment and command line flags.
//
// Each role has one struct (Controller, Router, Agent) that declares its
// fields once: name, default, unit, bounds and explanation. The file, the
// flags, the environment variables and the example files under examples/ all
// derive from that declaration. A field "tls.ca-file" is
//
//	tls:
//	  ca-file: /etc/quartzdock/ca.pem     in the file,
//	--tls.ca-file                         as a flag,
//	QUARTZDOCK_TLS_CA_FILE                in the environment.
//
// A flag overrides the environment, which overrides the file, which overrides
// the default. Every problem is collected as a Finding with its place and
// field; Load returns all of them together as Findings.
package settings
