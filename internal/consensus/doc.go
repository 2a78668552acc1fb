// Package consensus replicates a log of commands among the replicas of a
// group. It follows Raft (Ongaro and Ousterhout, "In Search of an
// Understandable Consensus Algorithm", 2014; Ongaro, "Consensus: Bridging
// Theory and Practice", 2014) with pre-vote, check-quorum, a leader lease,
// learners and single-server membership changes.
//
// # A pure core
//
// Core has no clock, goroutine, random source or I/O of its own. The driver
// passes in the time (Tick), messages of other replicas (Step) and requests
// (Propose, ProposeMembership, ReadIndex), and asks for work:
//
//	core.Tick(now)
//	for core.HasReady() {
//		ready := core.Ready()
//		send(ready.Early)
//		write(ready.Snapshot, ready.HardState, ready.Entries) // and sync
//		send(ready.Messages)
//		apply(ready.Committed)
//		serve(ready.Reads)
//		core.Advance(ready)
//	}
//
// So the same core runs in the process, in the simulator and in the tests, and
// runs with equal seeds are identical.
//
// # Durability
//
// Vote requests, votes and acknowledgements are in Ready.Messages, which are
// sent after the write is synced. Early messages do not depend on an unsynced
// write: a leader may send an Append while it still writes the entries to its
// own disk, and it counts itself toward the quorum only once Advance reports
// that the write is done.
//
// # Roles
//
// The roles and the events between them are in replica.chart, which
// internal/statechart checks and compiles.
//
// # Time
//
// A follower refuses votes for ElectionTimeout after each message of the
// leader. A leader whose heartbeat, sent at s, was answered by a quorum
// therefore holds a lease until s + ElectionTimeout*(1-MaxClockDrift): no other
// replica can have been elected before then. A replica refuses votes for one
// ElectionTimeout after its start, since it may have heard the leader just
// before it stopped. The exception is a cold start, where all members have
// restarted and none has heard a leader since (coldstart.go). A leader that has
// not heard a quorum for an ElectionTimeout steps down; after a pause it checks
// this before anything else.
package consensus
