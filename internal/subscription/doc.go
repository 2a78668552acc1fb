// Package subscription is the client of a controller session, as routers and
// agents use it. It finds a controller, keeps a routing.Table at the newest
// revision, confirms what is in force, renews an agent's lease and measures how
// fresh the table is.
//
// # Sessions
//
// session.chart gives the states of a session. A client tries the controllers
// one after the other, beginning at a place drawn at random, and follows the
// address of the leader that Welcome or Redirect names. A router stays with any
// controller that hears from a leader; an agent needs the leader itself, which
// alone grants leases. A session that brought neither fresh routing data nor a
// lease counts as failed, and the next attempt waits: exponential back-off with
// full jitter (Brooker, "Exponential Backoff And Jitter", AWS Architecture
// Blog, 2015). Any other lost session is replaced at once.
//
// # Revisions
//
// The table's revision never goes back. A snapshot or delta below it ends the
// session, whichever controller sent it. A delta that starts elsewhere than at
// the table's revision ends the session too; the next Hello names the table's
// revision, so that the controller sends what is missing, and asks for a whole
// snapshot when the same happens again.
//
// # Freshness
//
// Freshness is the age of the last proof that the table was the newest. The
// proof is the answer to a question that the process asked, a Renew or a
// router's Ping, and its age counts from the moment of asking, less the
// controller's own LeaderContact. So neither a paused process nor a message
// that was held up on its way can make old data look new. The leader relies on
// it: wire.StopRelyingAfter after a change was accepted, no router serves by
// older data, whether it was heard or not.
//
// # Goroutines
//
// Two goroutines serve a client: one connects and receives, and calls OnTable
// and OnWelcome; one sends and renews. Table and Freshness may be called from
// any goroutine.
package subscription
