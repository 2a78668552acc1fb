// Package controller is the process that holds the control state. It applies
// the replicated log, serves sessions of routers and agents and the operators'
// calls, and, at the leader, grants leases and moves shards.
//
// # Goroutines
//
// The replica's control goroutine owns the control state, the coordinator, the
// log of deltas and the table of agents' sessions; everything else reaches them
// by Post. Each session has a goroutine that receives and one that sends; they
// read published views only. Calls of operators run on their own goroutines.
//
// # Sessions
//
// Routers are served by any controller that keeps contact with the leader,
// agents by the leader alone. Each session's sender knows the revision that it
// sent last and asks the published view for one delta from there to the newest,
// or takes the snapshot where that is smaller. No session has a queue of
// deltas, so a slow one costs nothing and catches up with one message.
//
// # In force everywhere
//
// Subscribers confirm what they have in force. A controller that follows passes
// this on to the leader over a session of its own (relay.go). A revision is in
// force everywhere once every subscriber has confirmed it or has been silent
// for so long that it serves by older routing data no more
// (wire.StopRelyingAfter).
package controller
