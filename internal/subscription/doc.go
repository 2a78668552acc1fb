// Package subscription is the client side of a controller session, for routers
// and agents. It finds a controller, keeps a routing.Table at the newest
// revision, confirms applied revisions, renews an agent's lease and measures how
// fresh the table is.
//
// # Sessions
//
// session.chart gives the states of a session. A client tries the controllers
// in round-robin order from a random start, and follows the address of the leader
// that Welcome or Redirect names. A router stays with any controller that is in
// contact with a leader; an agent needs the leader itself, which alone grants
// leases. A session that brought no applied delta, proof of freshness or lease
// counts as failed, and the next attempt waits: exponential back-off with full
// jitter (Brooker, "Exponential Backoff And Jitter", AWS Architecture Blog,
// 2015). Any other lost session is replaced at once.
//
// # Revisions
//
// The table's revision never decreases. A snapshot or delta of an older revision
// ends the session, whichever controller sent it. A delta that does not start at
// the table's revision ends the session too; the next Hello names the table's
// revision, so that the controller sends the missing deltas. After a second gap
// in a row, the Hello requests a full snapshot.
//
// # Freshness
//
// Freshness is the age of the last proof that the table was the newest. The
// proof is the answer to a request of this process, an agent's Renew or a
// router's Ping. Its age counts from when that request was sent; for a Ping, the
// controller's own LeaderContact is added. So neither a paused process nor a
// delayed message can make old data look fresh. The leader relies on this:
// wire.MaxRoutingStaleness after a change was accepted, no router serves by older
// data, whether the change reached it or not.
//
// # Goroutines
//
// A client has two goroutines: one connects and receives, and calls OnTable and
// OnWelcome; one sends messages and renewals. Table and Freshness may be called from
// any goroutine.
package subscription
