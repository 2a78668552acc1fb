// Package router is the process that takes callers' HTTP requests and forwards
// each to the back end that owns its key.
//
// # The way of a request
//
//  1. classify: the first path segment names the service; the first rule that
//     matches gives key, class, timeout and whether the request is
//     non-repeatable. A request that fits no rule or lacks its key or id is
//     answered at once.
//  2. body: up to Config.BufferedBodyBytes are read before anything is sent, so
//     that a slow sender holds no slot of a back end and the request can be
//     sent again.
//  3. target: a keyed request goes to the owner of its key's shard. While the
//     shard is between owners, the request is held, within its deadline, until
//     the routing table names a new one. A non-repeatable request without key
//     is keyed by its request id, so that the record of ids is with one shard.
//     Other requests go to the better of two back ends drawn at random.
//  4. attempt: one HTTP exchange with the owner's agent, through
//     internal/upstream, which writes a request at most once.
//  5. answer: verified and passed on, or a typed refusal.
//
// # Outcomes
//
// Every answer carries a wire.Outcome. "not-run" is said only with proof:
// nothing was sent, or the agent refused. The retry loop in forward.go is the
// only place in the product that sends a request again; see
// docs/decisions/009-retries-and-outcomes.md.
//
// # Goroutines
//
// publish makes a view from each routing table, on the goroutine that receives
// tables. Goroutines that carry requests read the newest view from an
// atomic.Pointer and never change it.
package router
