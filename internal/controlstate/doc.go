// Package controlstate implements the replicated state of a controller group:
// services, back ends, shards and their owners, announced load shifts, the
// addresses of controllers, and the cached results of operator commands.
//
// It is a deterministic state machine. The log entries are commands; Apply runs
// them in order and returns a result for the proposer and a delta of the routing
// data for routers and agents. It reads no clock and uses no random numbers: the
// time of a command is that of its proposer.
//
// # Operator commands
//
// Each operator command carries a request ID, a digest of its content and the
// revision of the configuration that its author has seen. Apply checks it in
// this order:
//
//  1. If the request ID is known and the digest is the same, the original result
//     is returned again. If the digest differs, the command is rejected.
//  2. The expected revision must be the revision of the configuration. So of
//     concurrent commands with the same expected revision exactly one is
//     accepted. The others get the revision and the author of the change that
//     was accepted.
//  3. All fields are validated. If any are invalid, all violations are reported
//     and nothing is changed.
//
// The results of the last MaximumCachedResults commands are kept. A command that
// is resent after its result was evicted has an outdated expected revision and
// is rejected by the second check, so it is never applied twice.
//
// # Ownership
//
// The leader proposes ownership changes in batches. Each change carries the
// epoch of the shard that the leader saw, and is skipped if the epoch has
// changed since. The states and events are defined in
// internal/ownership/shard.chart.
package controlstate
