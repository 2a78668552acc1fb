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
//		answer(ready.Reads)
//		core.Advance(ready)
//	}
//
// The same core so runs in the process, in the simulator and in the tests, and
// an equal seed gives an equal run.
//
// # What is durable when
//
// A vote, a granted answer and an acknowledgement are in Ready.Messages, which
// leave after the write is synced. Early messages say nothing that depends on
// an unsynced write: a leader's Append may travel while the leader's own disk
// still writes, and the leader counts itself only once Advance tells that the
// write is done.
//
// # Roles
//
// The roles and the events between them are in replica.chart, which
// internal/statechart checks and compiles.
//
// # Time
//
// A follower that heard the leader at some time refuses votes for
// ElectionTimeout. A leader whose heartbeat, sent at s, was answered by a
// quorum may therefore act alone until s + ElectionTimeout*(1-MaxClockDrift).
// A replica that was just started refuses votes for one ElectionTimeout, since
// it may have heard the leader right before, unless all members have started
// anew and none has heard a leader since (unled.go). A leader that has heard no quorum
// for an ElectionTimeout steps down, also when it finds so on waking from a
// pause.
package consensus
