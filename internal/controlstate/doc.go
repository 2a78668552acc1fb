// Package controlstate is the replicated state of a group of controllers:
// services, back ends, shards and their owners, marked load shifts, the
// addresses of controllers, and the answers to operators' changes.
//
// It is a deterministic state machine. The log carries commands; Apply takes
// them in order and returns a result for whoever proposed the command and the
// difference for routers and agents. It reads no clock and draws nothing at
// random: commands carry the proposer's time, used for display only.
//
// # Operators' changes
//
// Each carries a request id, a digest of its content and the revision of the
// configuration that its author has seen. Apply checks in this order:
//
//  1. A known request id with the same digest gets the first answer again; with
//     another digest it is refused.
//  2. The configuration's revision must be the expected one. So of changes that
//     carry equal numbers exactly one is accepted, and the others are told the
//     revision and the author that won.
//  3. All fields are checked and every violation is reported; nothing changes.
//
// Answers are kept for the last MaximumAnswers requests. A resend that comes
// after its answer was dropped carries an old revision and is refused by the
// second check, so it never runs twice.
//
// # Ownership
//
// Changes of ownership come from the leader in batches. Each names the epoch
// that it saw, and is skipped where the shard has gone on since. The states and
// events are those of internal/ownership/shard.chart.
package controlstate
