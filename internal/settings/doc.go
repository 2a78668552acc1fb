// Package settings reads the settings of a process from a YAML file, the
// environment and command line flags.
//
// Each role has one struct (Controller, Router, Agent) that declares its
// fields once: name, default, unit, limits and description. The file format, the
// flags, the environment variables and the example files under examples/ are all
// derived from that declaration. A field "tls.ca-file" is
//
//	tls:
//	  ca-file: /etc/quartzdock/ca.pem     in the file,
//	--tls.ca-file                         as a flag,
//	QUARTZDOCK_TLS_CA_FILE                in the environment.
//
// A flag overrides the environment, which overrides the file, which overrides
// the default. Each problem is a Finding with its position and field; Load
// returns all of them together as Findings.
package settings
