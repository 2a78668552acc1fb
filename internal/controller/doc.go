// Package controller implements the process that holds the control state. It
// applies the replicated log and serves sessions of routers and agents and
// operators' calls. The leader also grants leases and moves shards.
//
// # Goroutines
//
// The replica's control goroutine owns the control state, the coordinator, the
// log of deltas and the table of agents' sessions; other goroutines access them
// through Replicator.Post. Each session has one goroutine that receives and one
// that sends; they read only published views. Operators' calls run on their own
// goroutines.
//
// # Sessions
//
// Routers are served by any controller that is in contact with the leader,
// agents only by the leader. Each session's sender knows the revision that it
// sent last and requests one delta from there to the newest revision from the
// published view, or takes a snapshot if that is smaller. No session has a
// queue of deltas, so a slow session uses no extra memory and catches up with
// one message.
//
// # Revisions in force everywhere
//
// Subscribers confirm the revision that they have in force. A follower forwards
// the confirmations to the leader over a session of its own (relay.go). A
// revision is in force everywhere once every subscriber has confirmed it or has
// been silent for so long that it no longer uses older routing data
// (wire.MaxRoutingStaleness).
package controller
