// Package router implements the router process. It accepts HTTP requests from
// callers and forwards each one to the back end that owns its key.
//
// # Request processing
//
//  1. Classification: the first path segment names the service. The first
//     matching rule determines key, class, timeout and whether the request is
//     non-repeatable. A request for an unknown service, or without the key or
//     id that it needs, is answered immediately with an error.
//  2. Request body: up to Config.BufferedBodyBytes are read before anything is
//     sent, so that a slow sender does not occupy a connection to a back end and
//     the request can be retried.
//  3. Target: a keyed request goes to the owner of its key's shard. While the
//     shard has no serving owner, the request is held, within its deadline,
//     until the routing table names one. A non-repeatable request without a key
//     is keyed by its request id, so that all requests with this id reach the
//     same shard, which records the ids it has seen. Any other request goes to
//     the better of two randomly chosen back ends.
//  4. Attempt: one HTTP exchange with the agent of the back end, through
//     internal/upstream, which writes a request at most once.
//  5. Response: the back end's response is verified and relayed to the caller,
//     or the router returns an error response that states outcome and reason.
//
// # Outcomes
//
// Every response carries a wire.Outcome. "not-run" is stated only with proof:
// nothing was sent, or the agent rejected the request. The retry loop in
// forward.go is the only place in the product that sends a request again; see
// docs/decisions/009-retries-and-outcomes.md.
//
// # Planned stops
//
// A planned stop is a graceful shutdown: the router drains the requests in
// progress before it exits.
//
// # Goroutines
//
// publish builds a view from each routing table, on the goroutine that receives
// the tables. Goroutines that handle requests load the newest view from an
// atomic.Pointer and never modify it.
package router
